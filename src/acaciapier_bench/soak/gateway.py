"""Run a gateway that resolves the host name of the workers to an address of its own."""

import os
import socket

from acaciapier.gateway.main import main

WORKERS_HOST = "workers.soak"
ADDRESS_VARIABLE = "SOAK_WORKERS_ADDRESS"

_resolve = socket.getaddrinfo


def _resolve_for_gateway(host, *args, **kwargs):
    if host in (WORKERS_HOST, WORKERS_HOST.encode()):
        host = os.environ[ADDRESS_VARIABLE]
    return _resolve(host, *args, **kwargs)


if __name__ == "__main__":
    socket.getaddrinfo = _resolve_for_gateway
    main()
