"""Base class of all stand-ins and the HTTP server that runs them."""

import os
import random
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from pydantic import ValidationError

from .faults import FaultInjector
from .http import Application, Request, Response, error
from .settings import Settings

CRASH_STATUS = 137
KEEP_ALIVE_S = 3_600
MAX_REQUESTS_PER_CONNECTION = 2**31
BACKLOG = 1_024


class Standin:
    """Base class with the common routes, fault injection and life cycle.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.faults = FaultInjector(settings.faults, self.random)
        self.app = Application()
        self.app.add("POST", "/control", self._change_faults)
        self.app.add("GET", "/control", self._show_faults)
        self.app.add("GET", "/book", self._show_report)
        self.url = ""
        self.exits_on_crash = False
        self._crashed = trio.Event()

    def report(self) -> dict[str, Any]:
        """Return the response of `GET /book`."""
        raise NotImplementedError

    async def run(self) -> None:
        """Run background tasks while the server runs."""
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Refuse new work and wait until the running work has ended."""

    async def leave(self) -> None:
        """Clean up after the server has stopped."""

    def crash(self) -> None:
        """Exit the process at once, or only stop the server when embedded."""
        if self.exits_on_crash:
            os._exit(CRASH_STATUS)
        self._crashed.set()

    async def wait_for_crash(self) -> None:
        """Wait until `crash` is called."""
        await self._crashed.wait()

    async def _change_faults(self, request: Request) -> Response:
        try:
            self.faults.change(request.json(dict[str, Any]))
        except ValidationError as problem:
            return error(400, "bad_request", message=str(problem))
        if self.faults.current.crash:
            self.crash()
        return await self._show_faults(request)

    async def _show_faults(self, request: Request) -> Response:
        return Response(self.faults.current.model_dump(mode="json"))

    async def _show_report(self, request: Request) -> Response:
        return Response(self.report())


@singledispatch
def build_standin(settings: Settings) -> Standin:
    """Build the stand-in that `settings` describe."""
    raise NotImplementedError(f"no stand-in for {type(settings).__name__}")


@dataclass(frozen=True)
class Bound:
    """A running stand-in and the address on which it listens."""

    standin: Standin
    url: str
    port: int


async def serve_standin(
    settings: Settings,
    *,
    exits_on_crash: bool = False,
    task_status: trio.TaskStatus[Bound] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a stand-in until it is cancelled or crashes.

    Parameters
    ----------
    settings : Settings
        Validated settings; their type selects the kind of stand-in.
    exits_on_crash : bool
        Exit the whole process on a crash, instead of only stopping this server.
    task_status : trio.TaskStatus of Bound
        Started with the bound address once connections are accepted.

    Examples
    --------
    >>> async def show(nursery):
    ...     bound = await nursery.start(serve_standin, ObjectApiSettings())
    ...     print(bound.url)
    """
    standin = build_standin(settings)
    standin.exits_on_crash = exits_on_crash
    try:
        async with trio.open_nursery() as nursery:
            binds = await nursery.start(_serve_app, standin)
            standin.url = binds[0]
            port = int(standin.url.rpartition(":")[2])
            if settings.port_path:
                settings.port_path.write_text(str(port))
            nursery.start_soon(standin.run)
            task_status.started(Bound(standin, standin.url, port))
            await standin.wait_for_crash()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await standin.leave()


async def _serve_app(standin: Standin, *, task_status=trio.TASK_STATUS_IGNORED):
    config = server_config(standin.settings.host, standin.settings.port)
    await serve(standin.app, config, mode="asgi", task_status=task_status)


def server_config(host: str, port: int) -> Config:
    """Return a hypercorn configuration with long-lived connections and no logs."""
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    return config
