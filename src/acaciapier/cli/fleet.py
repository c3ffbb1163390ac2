"""Commands that observe and control the running fleet."""

from dataclasses import dataclass
from typing import Annotated, Literal
from urllib.parse import quote

import cappa

from ..admin.bodies import CostsBody, DoneBody, DrainBody, ReleaseBody, StatusBody
from .options import SharedOptions
from .session import make_table


@cappa.command(name="status", help="Show which instance runs which configuration.")
@dataclass
class Status(SharedOptions):
    """Show the newest number, and which instance runs which."""

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            found = client.get("/v1/status", StatusBody)
            rows = [
                (
                    status.instance,
                    status.data_centre,
                    status.configuration_number,
                    found.number - status.configuration_number,
                    status.freshness,
                )
                for status in found.instances
            ]
            titles = ("instance", "data centre", "number", "behind", "freshness")
            session.show(found, make_table(titles, rows))


@cappa.command(name="drain", help="Take an instance or a target out of service.")
@dataclass
class Drain(SharedOptions):
    """Take an instance or a target out of service.

    Example: `acaciapier drain target lathe-2`.
    """

    kind: Literal["instance", "target"]
    id: str

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            body = DrainBody(self.kind, self.id)
            done = client.post("/v1/drains", body, DoneBody)
            session.show(done, done.message)


@cappa.command(name="release", help="Release a blocked fingerprint.")
@dataclass
class Release(SharedOptions):
    """Release a fingerprint that was blocked for crashing targets."""

    fingerprint: str

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            body = ReleaseBody(self.fingerprint)
            done = client.post("/v1/releases", body, DoneBody)
            session.show(done, done.message)


@cappa.command(name="costs", help="Show costs by workspace, pipeline and stage.")
@dataclass
class Costs(SharedOptions):
    """Show costs by workspace, pipeline and stage."""

    workspace: Annotated[str | None, cappa.Arg(long=True, help="only this one")] = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        query = f"?workspace={quote(self.workspace, safe='')}" if self.workspace else ""
        with session.client() as client:
            found = client.get(f"/v1/costs{query}", CostsBody)
            rows = [
                (
                    line.workspace,
                    line.pipeline,
                    line.stage,
                    line.share,
                    line.calls,
                    round(line.service_ms, 1),
                    ", ".join(f"{k} {v:g}" for k, v in line.units.items()),
                )
                for line in found.lines
            ]
            titles = ("workspace", "pipeline", "stage", "share", "calls", "ms", "units")
            session.show(found, make_table(titles, rows))
