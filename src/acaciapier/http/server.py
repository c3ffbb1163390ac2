"""Serves ASGI applications with hypercorn on trio."""

from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from ..settings.models import ListenSettings

KEEP_ALIVE_TIMEOUT_S = 30.0
GRACEFUL_TIMEOUT_S = 5.0
STOP_MARGIN_S = 1.0
BACKLOG = 1024
MAX_REQUESTS_PER_CONNECTION = 2**31


class HttpListener:
    """Serves an ASGI application until it is stopped.

    Parameters
    ----------
    app : callable
        The ASGI application.
    listen : ListenSettings
        Address and optional TLS.
    """

    def __init__(self, app: Callable[..., Awaitable[None]], listen: ListenSettings):
        self._app = app
        self._listen = listen
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve; reports the bound URL when started."""
        bound = _FirstUrl(task_status)
        try:
            await serve(
                self._app,
                _make_config(self._listen),
                shutdown_trigger=self._stop_requested.wait,
                mode="asgi",
                task_status=bound,
            )
        finally:
            self._stopped.set()

    async def stop(self) -> None:
        """Stop accepting connections and wait for the requests in flight."""
        self._stop_requested.set()
        with trio.move_on_after(GRACEFUL_TIMEOUT_S + STOP_MARGIN_S):
            await self._stopped.wait()


class _FirstUrl:
    """Reports the first of the URLs that hypercorn has bound."""

    def __init__(self, task_status: trio.TaskStatus[str]):
        self._task_status = task_status

    def started(self, urls: list[str]) -> None:
        self._task_status.started(urls[0])


def _make_config(listen: ListenSettings) -> Config:
    config = Config()
    config.bind = [f"{listen.host}:{listen.port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.backlog = BACKLOG
    config.include_server_header = False
    if listen.tls is not None:
        config.certfile = listen.tls.certificate_path
        config.keyfile = listen.tls.key_path
        config.ca_certs = listen.tls.authority_path
    return config
