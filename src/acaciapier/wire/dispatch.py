"""Handlers of incoming messages, found by message type."""

from collections.abc import AsyncIterator, Awaitable, Callable

from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable, ProtocolError
from .messages.base import Message, message_tag

Handler = Callable[[InstanceId, Message], Awaitable[Message | None]]
StreamHandler = Callable[[InstanceId, Message], AsyncIterator[Message]]


class CallFailed(PeerUnavailable):
    """The peer received the call and answered with a failure."""


class Dispatcher:
    """Registry of the message handlers of one instance."""

    def __init__(self):
        self._handlers: dict[type[Message], Handler] = {}
        self._stream_handlers: dict[type[Message], StreamHandler] = {}

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Register `handler` for messages of `message_type`."""
        _register_once(self._handlers, message_type, handler)

    def register_stream(
        self, message_type: type[Message], handler: StreamHandler
    ) -> None:
        """Register the asynchronous generator `handler` for stream calls."""
        _register_once(self._stream_handlers, message_type, handler)

    def find_handler(self, message: Message) -> Handler:
        """Return the handler of `message`.

        Raises
        ------
        ProtocolError
            If no handler is registered for its type.
        """
        return _look_up(self._handlers, message)

    def find_stream_handler(self, message: Message) -> StreamHandler:
        """Return the stream handler of `message`, or raise `ProtocolError`."""
        return _look_up(self._stream_handlers, message)


def _register_once(table: dict, message_type: type[Message], handler) -> None:
    if message_type in table:
        raise ValueError(f"{message_tag(message_type)} already has a handler")
    table[message_type] = handler


def _look_up(table: dict, message: Message):
    handler = table.get(type(message))
    if handler is None:
        raise ProtocolError(f"nothing handles {message_tag(type(message))} here")
    return handler
