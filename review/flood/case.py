"""Many callers whose chunked bodies stop just short of their end, and ordinary ones.

One gateway with 4,100 descriptors. With trouble, 3,700 connections are opened in 4 s, and 300
a second after that; each sends all but the end of a small chunked body and stays open. An
ordinary caller sends five requests a second on new connections, with 1.5 s for each.
"""

import socket
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from deployment import HOST, TROUBLE, ask, run_case  # noqa: E402

import trio  # noqa: E402
from acaciapier_standins.platform.example import KINDS, ROUTES, services  # noqa: E402
from acaciapier_standins.platform.platform import configuration  # noqa: E402

FIRST, FIRST_PER_S, PER_S = 3_700, 1_000.0, 300.0
LENGTH_S = 18.0
UNFINISHED = (
    b"POST /lookup/1 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: x\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n64\r\n" + b"x" * 90
)


async def play(platform, gateways, record, nursery) -> int:
    """Play the case and return the exit status."""
    for service, kind in KINDS.items():
        for number in (1, 2):
            await platform.add_worker(f"{service}-{number}", service, kind=kind)
    first = configuration(1, ROUTES, services(20.0, 1.0))
    first["limits"] |= {
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    platform.configure(first)
    gateways.start("edge-1")
    await gateways.wait_until_ready("edge-1")
    await trio.sleep(4.5)
    answers, checks, connections = Counter(), Counter(), []
    start_s = trio.current_time()

    async def send(number: int) -> None:
        answer = await ask(gateways.front("edge-1"), "/lookup/1", f"a{number}")
        late = trio.current_time() - start_s > 6.0
        answers["late" if late else "early", answer.status] += 1
        record.write(f"a{number}: {answer}, {len(connections)} unfinished")

    async def send_all() -> None:
        for number in range(int(5 * LENGTH_S)):
            nursery.start_soon(send, number)
            await trio.sleep(0.2)

    async def check() -> None:
        while True:
            await trio.sleep(1.0)
            checks[await gateways.is_ready("edge-1")] += 1

    nursery.start_soon(send_all)
    nursery.start_soon(check)
    due_s = start_s
    while TROUBLE and trio.current_time() < start_s + LENGTH_S:
        connection = socket.socket()
        connection.setblocking(False)
        try:
            connection.connect((HOST, gateways.front("edge-1")))
        except BlockingIOError:
            pass
        try:
            connection.send(UNFINISHED)
        except OSError:
            pass
        connections.append(connection)
        due_s += 1 / (PER_S if len(connections) > FIRST else FIRST_PER_S)
        await trio.sleep_until(due_s)
    await trio.sleep_until(start_s + LENGTH_S + 2.0)
    record.write("answers", dict(answers), "readiness checks", dict(checks))
    late = {status: n for (when, status), n in answers.items() if when == "late"}
    return 1 if late.get(200, 0) < 0.5 * sum(late.values()) else 0


run_case(FOLDER, play)
