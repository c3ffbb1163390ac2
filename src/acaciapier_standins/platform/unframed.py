"""Answers that are framed by the end of their connection only."""

from acaciapier.http.caller import Exchange


class UnframedExchange:
    """An answer that ends with its connection; has the methods of `Exchange`."""

    def __init__(self, exchange: Exchange):
        self.ended = False
        self._exchange = exchange

    async def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> None:
        """Send a complete answer."""
        await self.start(status, headers)
        await self.send(body)
        await self.end()

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head."""
        lines = [f"HTTP/1.1 {status} Status".encode()]
        lines += [name + b": " + value for name, value in headers]
        await self._exchange.send_raw(b"\r\n".join(lines) + b"\r\n\r\n")

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._exchange.send_raw(data)

    async def send_raw(self, data: bytes) -> None:
        """Send bytes outside the protocol."""
        await self._exchange.send_raw(data)

    async def end(self) -> None:
        """Count the answer as complete; the server then closes the connection."""
        self.ended = True

    def abort(self) -> None:
        """Close the connection."""
        self._exchange.abort()
