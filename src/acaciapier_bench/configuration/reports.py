"""Reports of the measurements of the configuration."""

import msgspec


class LogReport(msgspec.Struct):
    """Cost of accepting changes one after the other.

    Parameters
    ----------
    objects : int
        Declared objects in force.
    changes : int
        Changes that were accepted.
    changes_per_s : float
        Rate of one administration instance.
    calls_per_change : dict
        Calls of the object API by verb.
    sent_bytes_per_change, received_bytes_per_change : float
        Bytes to and from the object API.
    largest_head_bytes : int
        Largest size of the head.
    """

    objects: int
    changes: int
    changes_per_s: float
    calls_per_change: dict[str, float]
    sent_bytes_per_change: float
    received_bytes_per_change: float
    largest_head_bytes: int


class ForceReport(msgspec.Struct):
    """Time from the start of a change's call until it is in force everywhere.

    Parameters
    ----------
    instances, changes : int
        How many took part.
    p50_ms, p99_ms, max_ms : float
        Over all instances and changes.
    missing : int
        Pairs of instance and change that were not in force at the end.
    store_calls_per_s : float
        Calls of all daemons together.
    control_bytes_per_s : float
        Sent and received by one daemon, with its membership's messages.
    configuration_bytes_per_s : float
        The part of it in queries, answers and rumours of the configuration.
    """

    instances: int
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    missing: int
    store_calls_per_s: float
    control_bytes_per_s: float
    configuration_bytes_per_s: float


class OutageReport(msgspec.Struct):
    """What an outage of the object API does.

    Parameters
    ----------
    outage_s : float
        How long it was.
    freshness : dict
        Instances by freshness at the end of the outage.
    lowered : int
        Instances whose number went down.
    joined_number, newest_number : int
        What an instance that starts in the outage has, and the newest.
    current_after_ms : float
        Time from the end of the outage until every instance is current.
    change_after_ms : float
        Time from then until a new change is in force everywhere.
    """

    outage_s: float
    freshness: dict[str, int]
    lowered: int
    joined_number: int
    newest_number: int
    current_after_ms: float
    change_after_ms: float


class ConfigurationReport(msgspec.Struct):
    """All that was measured."""

    log: LogReport
    in_force: ForceReport
    outage: OutageReport
