"""Which engines of a pool start to load next."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from .allowance import most_out_of_service


@dataclass(frozen=True)
class EngineStatus:
    """One engine of a pool during a roll-out.

    Parameters
    ----------
    id : str
        Identity of the engine.
    needs_load : bool
        Whether it runs other weights than wanted.
    in_service : bool
        Whether it serves requests now.
    """

    id: str
    needs_load: bool
    in_service: bool


def choose_by_cap(
    engines: Sequence[EngineStatus], room: int, share_percent: float
) -> list[str]:
    """Return the engines to load now under a cap on those out of service.

    Engines that are out of service and need a load go first, because loading them
    takes nothing away; the others follow in the order of their ids.

    Parameters
    ----------
    engines : sequence of EngineStatus
        The whole pool.
    room : int
        Loads that the weight store's allowance still admits.
    share_percent : float
        Most engines that may be out of service at once.
    """
    waiting = sorted(
        (one for one in engines if one.needs_load),
        key=lambda one: (one.in_service, one.id),
    )
    out = sum(not one.in_service for one in engines)
    most = most_out_of_service(len(engines), share_percent)
    chosen: list[str] = []
    for one in waiting:
        if len(chosen) == room:
            break
        if not one.in_service:
            chosen.append(one.id)
        elif out < most:
            chosen.append(one.id)
            out += 1
    return chosen


def rank_of(holder: str, engine: str, holders: Iterable[str]) -> int:
    """Return the place of `holder` among `holders` for `engine`, from 0.

    Rendezvous hashing spreads engines over holders; it saves conflicts and is not
    needed for safety.
    """
    weights = {one: _weight(one, engine) for one in {*holders, holder}}
    own = weights.pop(holder)
    return sum(weight > own for weight in weights.values())


def _weight(holder: str, engine: str) -> int:
    return xxhash.xxh64_intdigest(f"{holder}\0{engine}".encode())
