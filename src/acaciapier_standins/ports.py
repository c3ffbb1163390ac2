"""Allocation of free ports for processes that are started later."""

import random
import socket

PORTS = range(12_000, 32_000)
"""Below the ephemeral range: an outgoing connection could take an ephemeral port
before the process that is to listen on it starts."""

_allocated: set[int] = set()
"""Ports already returned; their processes may not be listening yet."""


def free_ports(host: str, count: int) -> list[int]:
    """Return unused ports; never returns a port twice within this process."""
    chosen: list[int] = []
    rng = random.SystemRandom()
    while len(chosen) < count:
        port = rng.choice(PORTS)
        if port not in _allocated and _is_free(host, port):
            _allocated.add(port)
            chosen.append(port)
    return chosen


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
