"""Records of a run in which operators change the same objects."""

from enum import Enum
from typing import Any

import msgspec

from acaciapier.admin.bodies import ObjectBody
from acaciapier.objects import Change


class PatchOutcome(Enum):
    """What one sending of a patch received."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FINDINGS = "findings"
    UNAVAILABLE = "unavailable"
    LOST = "lost"
    UNEXPECTED = "unexpected"


class PatchAnswer(msgspec.Struct, frozen=True):
    """The answer to one sending.

    Parameters
    ----------
    admin : str
        The administration instance.
    outcome : PatchOutcome
        What was received.
    sent_ms, ended_ms : float
        When, since the Unix epoch.
    number, version : int
        Of the change and of the object, as told with an acceptance.
    may_have_landed : bool
        Whether the change may be accepted in spite of the answer.
    message : str
        What an unexpected answer said.
    """

    admin: str
    outcome: PatchOutcome
    sent_ms: float
    ended_ms: float
    number: int = 0
    version: int = 0
    may_have_landed: bool = False
    message: str = ""


class PatchRecord(msgspec.Struct, frozen=True):
    """One patch, which sets one field, with the answers to all its sendings."""

    patch_id: str
    kind: str
    name: str
    base_version: int
    field: str
    value: Any
    answers: list[PatchAnswer]


class NumberRecord(msgspec.Struct, frozen=True):
    """The number that an instance had in the status shown by `source`.

    Parameters
    ----------
    source, instance : str
        The administration instance that was asked, and the instance shown.
    source_process, process : int
        Their process ids, to tell one incarnation from the next.
    number : int
        Number of the configuration in force.
    at_ms : float
        When the status was received, since the Unix epoch.
    """

    source: str
    source_process: int
    instance: str
    process: int
    number: int
    at_ms: float


class OperatorHistory(msgspec.Struct, frozen=True):
    """All that is known of a run.

    Parameters
    ----------
    patches : list of PatchRecord
        What operators asked for and were told.
    numbers : list of NumberRecord
        Numbers of the instances, in the order in which they were received.
    changes : list of Change
        The whole log at the end, oldest first.
    objects : list of ObjectBody
        The objects in force at the end.
    settled_ms : float or None
        Time from the end of all faults until every entry had the newest number;
        None if some never had it.
    """

    patches: list[PatchRecord]
    numbers: list[NumberRecord]
    changes: list[Change]
    objects: list[ObjectBody]
    settled_ms: float | None
