"""Handlers of incoming messages, found by message type."""

from collections.abc import AsyncIterator, Awaitable, Callable

from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable, ProtocolError
from .messages.base import Message, message_tag

Handler = Callable[[InstanceId, Message], Awaitable[Message | None]]
StreamHandler = Callable[[InstanceId, Message], AsyncIterator[Message]]


class CallFailed(PeerUnavailable):
    """The peer was reached but its handler gave no answer."""


class Dispatcher:
    """Table of the handlers of one instance."""

    def __init__(self):
        self._handlers: dict[type[Message], Handler] = {}
        self._stream_handlers: dict[type[Message], StreamHandler] = {}

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Let `handler` answer messages of `message_type`."""
        _set_once(self._handlers, message_type, handler)

    def register_stream(
        self, message_type: type[Message], handler: StreamHandler
    ) -> None:
        """Let the asynchronous generator `handler` answer stream calls."""
        _set_once(self._stream_handlers, message_type, handler)

    def handler_of(self, message: Message) -> Handler:
        """Return the handler of `message`.

        Raises
        ------
        ProtocolError
            If nothing handles its type here.
        """
        return _find(self._handlers, message)

    def stream_handler_of(self, message: Message) -> StreamHandler:
        """Return the stream handler of `message`, or raise `ProtocolError`."""
        return _find(self._stream_handlers, message)


def _set_once(table: dict, message_type: type[Message], handler) -> None:
    if message_type in table:
        raise ValueError(f"{message_tag(message_type)} already has a handler")
    table[message_type] = handler


def _find(table: dict, message: Message):
    handler = table.get(type(message))
    if handler is None:
        raise ProtocolError(f"nothing handles {message_tag(type(message))} here")
    return handler
