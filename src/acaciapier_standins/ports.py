"""Ports for processes that are started later."""

import random
import socket

PORTS = range(12_000, 32_000)
"""Below the ports that the system gives to outgoing connections: one of these could
take a port between its choice and the start of the process that listens there."""

_given: set[int] = set()
"""Ports that were returned before: the process for one may not have started yet."""


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that nobody listens on, each only once in this process."""
    chosen: list[int] = []
    choice = random.SystemRandom()
    while len(chosen) < count:
        port = choice.choice(PORTS)
        if port not in _given and _is_free(host, port):
            _given.add(port)
            chosen.append(port)
    return chosen


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
