"""Tests of port allocation for processes that start later."""

import socket

from acaciapier_standins import ports
from acaciapier_standins.ports import free_ports

HOST = "127.0.0.1"


def test_a_port_is_allocated_only_once(monkeypatch):
    monkeypatch.setattr(ports, "PORTS", range(12_000, 12_040))
    monkeypatch.setattr(ports, "_allocated", set())
    allocated = [port for _ in range(5) for port in free_ports(HOST, 3)]
    assert len(set(allocated)) == 15


def test_a_port_in_use_is_not_allocated(monkeypatch):
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        port = taken.getsockname()[1]
        monkeypatch.setattr(ports, "PORTS", range(port, port + 8))
        monkeypatch.setattr(ports, "_allocated", set())
        assert port not in free_ports(HOST, 3)
