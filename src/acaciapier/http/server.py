"""Serving of ASGI applications by hypercorn on trio."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from ..settings.models import ListenSettings

KEEP_ALIVE_TIMEOUT_S = 30.0
GRACEFUL_TIMEOUT_S = 5.0
BACKLOG = 1024


async def serve_app(
    app: Callable[..., Awaitable[None]],
    listen: ListenSettings,
    shutdown: Callable[[], Awaitable[Any]],
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` until `shutdown` returns; reports the bound URLs when started."""
    config = Config()
    config.bind = [f"{listen.host}:{listen.port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.backlog = BACKLOG
    config.include_server_header = False
    if listen.tls is not None:
        config.certfile = listen.tls.certificate_path
        config.keyfile = listen.tls.key_path
        config.ca_certs = listen.tls.authority_path
    await serve(
        app,
        config,
        shutdown_trigger=shutdown,
        mode="asgi",
        task_status=task_status,
    )
