"""Counters of the traffic between instances."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class TrafficCounters:
    """Counts messages and bytes by message tag, connections, drops and errors.

    Bytes include frame headers, but not the overhead of TCP, IP and TLS.
    """

    sent_messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received_messages: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)
    dropped_sends: int = 0
    late_answers: int = 0
    opened_connections: int = 0
    accepted_connections: int = 0
    failed_connections: int = 0
    rejected_handshakes: int = 0
    protocol_errors: int = 0
    refused_calls: int = 0

    def count_sent(self, tag: str, size_bytes: int) -> None:
        """Count one sent message."""
        self.sent_messages[tag] += 1
        self.sent_bytes[tag] += size_bytes

    def count_received(self, tag: str, size_bytes: int) -> None:
        """Count one received message."""
        self.received_messages[tag] += 1
        self.received_bytes[tag] += size_bytes
