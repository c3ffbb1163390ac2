"""Plans of local deployments for both of the example configurations."""

from pathlib import Path

from acaciapier.configuration.state import token_digest

from .deployment import Plan, Pool

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
ENGINE = {"step_ms": 8.0, "step_ms_per_stream": 0.1, "slots": 64}


OPERATOR_TOKEN = "local-operator-token"


def riviere_noire(
    entries: int = 3,
    engines: int = 2,
    others: tuple[str, ...] = (),
    seeded: bool = True,
) -> Plan:
    """Return a small plan of Rivière Noire's deployment.

    Parameters
    ----------
    entries, engines : int
        Number of entry instances and of model engines.
    others : tuple of str
        Roles beside the entry: ``admin`` and ``controller``, each as many times
        as there are instances.
    seeded : bool
        Whether the example configuration is accepted before the start.
    """
    operator = {
        "name": "local",
        "role": "admin",
        "token_sha256": token_digest(OPERATOR_TOKEN),
    }
    return Plan(
        others=others,
        seeded=seeded,
        admin={"operators": [operator]},
        bundle=EXAMPLES / "riviere-noire.jsonc",
        pools=(
            Pool("encode", "pool", 2, {"serves": "encode", "median_ms": 10}),
            Pool("retrieve", "pool", 2, {"serves": "retrieve", "median_ms": 15}),
            Pool("rerank", "pool", 2, {"serves": "rerank", "median_ms": 20}),
            Pool("generate", "engine", engines, ENGINE),
            Pool("order-book", "service", 1),
            Pool("blank-stock", "service", 1),
            Pool("lathe-schedule", "service", 1),
            Pool("dispatch", "service", 1),
        ),
        entries=entries,
        data_centres=("rn-a", "rn-b", "rn-c"),
        region="mauritius",
    )
