"""One request that names very many pieces, and the gateways that plan them.

Three gateways, model and stage workers, and callers that send four staged requests a
second. With trouble, one further caller sends six requests whose `Chunk-Count` names
five million pieces of the first stage, 5 s apart, each 250 bytes long. Like the platform,
the case asks each gateway for its readiness once a second, kills one that takes more
memory than `limits.memory_mb` of its settings, and starts it again.
"""

import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from deployment import TROUBLE, ask, run_case  # noqa: E402

import trio  # noqa: E402
from acaciapier_standins.platform.example import KINDS, ROUTES, services  # noqa: E402
from acaciapier_standins.platform.platform import configuration  # noqa: E402

MEMORY_MB = 300.0
PIECES = 5_000_000 if TROUBLE else 5
REQUESTS, PAUSE_S = 6, 5.0
RATE_PER_S = 4.0
RESTART_S = 0.3
ENDS, MACHINES = 3, 2
NAMES = ["edge-1", "edge-2", "edge-3"]


async def play(platform, gateways, record, nursery) -> int:
    """Play the case and return the exit status."""
    platform.memory_mb = MEMORY_MB
    for service, kind in KINDS.items():
        for number in (1, 2, 3):
            await platform.add_worker(f"{service}-{number}", service, kind=kind)
    platform.configure(configuration(1, ROUTES, services(20.0, 1.0)))
    for name in NAMES:
        gateways.start(name)
    await gateways.wait_until_ready(*NAMES)
    await trio.sleep(4.5)
    answers, ends, misses = Counter(), Counter(), Counter()

    async def send(number: int, attempt: str, pieces: int) -> None:
        name = NAMES[number % len(NAMES)]
        headers = (("Chunk-Count", f"{pieces},1"), ("Chunk-Key", "7c1e07a291bd"))
        answer = await ask(
            gateways.front(name),
            "/staged/1",
            attempt,
            deadline_ms=2_000,
            headers=headers,
        )
        if pieces < 100:
            answers[answer.status] += 1
        record.write(f"{attempt} to {name}, {pieces} pieces: {answer}")

    async def enforce_memory() -> None:
        while True:
            await trio.sleep(0.05)
            for name in NAMES:
                memory_mb = gateways.memory_mb(name)
                if memory_mb > MEMORY_MB and gateways.exit_status(name) is None:
                    record.write(f"{name} takes {memory_mb:.0f} MB and is killed")
                    gateways.signal(name, signal.SIGKILL)
                    while gateways.exit_status(name) is None:
                        await trio.sleep(0.02)
                    ends[name] += 1
                elif gateways.exit_status(name) is not None:
                    record.write(f"{name} has ended: {gateways.exit_status(name)}")
                    ends[name] += 1
                else:
                    continue
                await trio.sleep(RESTART_S)
                gateways.start(name)

    async def check_readiness(name: str) -> None:
        while True:
            await trio.sleep(1.0)
            if not await gateways.is_ready(name, 1.0):
                misses[name] += 1
                record.write(f"{name} is not ready")

    nursery.start_soon(enforce_memory)
    for name in NAMES:
        nursery.start_soon(check_readiness, name)
    start_s = trio.current_time()
    large_s = [start_s + 2.0 + PAUSE_S * number for number in range(REQUESTS)]
    until_s = large_s[-1] + 2 * PAUSE_S
    number = 0
    while trio.current_time() < until_s:
        if large_s and trio.current_time() >= large_s[0]:
            large_s.pop(0)
            nursery.start_soon(send, len(large_s), f"large{len(large_s)}", PIECES)
        nursery.start_soon(send, number, f"a{number}", 2)
        number += 1
        await trio.sleep_until(start_s + number / RATE_PER_S)
    await trio.sleep(2.5)
    record.write("answers by status", dict(answers), "ends", dict(ends))
    record.write("checks without an answer 200", dict(misses))
    broken = sum(count >= ENDS for count in ends.values()) >= MACHINES
    return 1 if broken else 0


run_case(FOLDER, play)
