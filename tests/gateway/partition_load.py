"""First tries of callers at all gateways while some reach no worker."""

from itertools import count

import trio

PERIOD_S = 0.15
"""Each gateway gets a request so often."""

SERVICES = {"lookup": "book", "confirm": "book", "mail": "model", "staged": "search"}
"""The service whose dispatcher is among the instances that are cut off."""

REQUESTS = {
    "lookup": ("GET", "/lookup/1", b"", {}),
    "confirm": ("POST", "/confirm/1", b"{}", {}),
    "mail": ("POST", "/mail/1", b"{}", {}),
    "staged": ("POST", "/staged/1", b"{}", {"Chunk_Count": "1,2", "Chunk_Key": "k"}),
}


def events_of(attempt: str) -> bytes:
    """Return the stream that a worker writes for an attempt."""
    return b"".join(
        f"id: {number}\ndata: {attempt} {number}\n\n".encode() for number in range(1, 5)
    )


class Load:
    """Sends first tries to all gateways and counts those that are served."""

    def __init__(self, world, kind: str):
        self._world = world
        self._kind = kind
        self._numbers = count(1)

    async def run(self, for_s: float) -> list[list[int]]:
        """Send for a time; return the numbers of served and of sent, by gateway."""
        counts = [[0, 0] for _ in self._world.gateways]
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(for_s):
                while True:
                    for number in range(len(counts)):
                        nursery.start_soon(self._request, number, counts[number])
                        await trio.sleep(PERIOD_S / len(counts))
        return counts

    async def _request(self, number: int, counts: list[int]) -> None:
        counts[1] += 1
        attempt = f"{self._kind}-{next(self._numbers)}"
        method, path, body, headers = REQUESTS[self._kind]
        caller = self._world.caller(number)
        with trio.move_on_after(2.5):
            answer = await caller.request(
                method, path, body, Attempt_Id=attempt, **headers
            )
            served = answer.status == 200 and answer.complete
            if self._kind in ("mail", "staged"):
                served = served and answer.body == events_of(attempt)
            counts[0] += served
        await caller.aclose()


def leader(world, service: str) -> int:
    """Return the index of the gateway that dispatches a service."""
    first = world.gateways[0].peers.rank(service, True)[0]
    names = [gateway.settings.instance for gateway in world.gateways]
    return names.index(first)


def check_shares(counts: list[list[int]], cut: set[int]) -> None:
    """Check the first tries at gateways that are cut off, and at the others."""
    there = [counts[number] for number in cut]
    others = [pair for number, pair in enumerate(counts) if number not in cut]
    served, sent = map(sum, zip(*there))
    served_others, sent_others = map(sum, zip(*others))
    shares = f"{served} of {sent} there, {served_others} of {sent_others} elsewhere"
    print(shares)
    assert sent - served <= 10 + sent // 50, shares
    assert served / sent >= 2 / 3 * served_others / sent_others, shares
    assert served_others >= 0.9 * sent_others, shares
