"""Finds what the configuration says of a request, and what its dispatcher is asked.

Both the relay, which serves requests, and `explaining`, which only tells what would
happen to one, use it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

from ..http.caller import IncomingRequest
from ..platform import requests as request_format
from ..wire.messages.gateway import AcquireWorker
from .catalogue import Catalogue
from .dispatch.refusal import NO_WORKER_RETRY_MS
from .dispatch.slot_requests import MAX_PLACEMENT_PARTS
from .models import (
    RequestKind,
    RequestMetadata,
    Resumption,
    RouteRule,
    ServiceName,
    WorkspaceRule,
)
from .request_state import RequestState, request_fingerprint
from .routing import RouteTable, abandon_after_ms, allowed_regions, request_priority
from .stage_times import StageTimes

DEFAULT_DEADLINE_MS = 30_000.0
"""Deadline of a request without one: twice the longest in the users' specifications."""

NO_CONFIGURATION_RETRY_S = 1.0
"""An instance without a configuration loads one within about a second."""


@dataclass(frozen=True)
class Rejection:
    """Final response to a request that no dispatcher is asked for."""

    status: int
    outcome: str
    fields: dict[str, Any] = field(default_factory=dict)
    """Fields of its log line."""
    retry_after_s: float | None = None


class RequestPlanner:
    """Finds the route, workspace, deadline and regions of requests.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    """

    def __init__(self, catalogue: Catalogue):
        self._catalogue = catalogue
        self._table: RouteTable | None = None

    def route_table(self) -> RouteTable | None:
        """Return the routes of the configuration in force; None if none is known."""
        configuration = self._catalogue.configuration
        if not self._catalogue.complete or configuration is None:
            return None
        if self._table is None or self._table.configuration is not configuration:
            self._table = RouteTable(configuration)
        return self._table

    def plan(
        self,
        host: str,
        request: IncomingRequest,
        metadata: RequestMetadata,
        start_s: float,
        choose_service: Callable[[RouteRule], ServiceName],
        known_workspace: WorkspaceRule | None = None,
    ) -> RequestState | Rejection:
        """Return the state of a new request, or the response if it has no route.

        `known_workspace` replaces that of the request's key.
        """
        table = self.route_table()
        if table is None:
            fields = {"cause": "no_configuration"}
            return Rejection(503, "refused", fields, NO_CONFIGURATION_RETRY_S)
        version = table.configuration.version
        route = table.find_route(host, request.target.decode("latin-1"))
        if route is None:
            return Rejection(404, "no_route", {"host": host, "version": version})
        workspace = known_workspace or table.find_workspace(metadata.key)
        if table.needs_key(route) and workspace is None:
            fields = {"route": route.name, "version": version}
            return Rejection(401, "unknown_key", fields)
        try:
            resumption = _resumption_of(request, route)
        except ValueError as error:
            fields = {"route": route.name, "error": str(error)}
            return Rejection(400, "malformed", fields)
        regions = allowed_regions(route, workspace)
        if regions is None:
            fields = {"cause": "no_common_region", "route": route.name}
            return Rejection(503, "refused", fields, NO_WORKER_RETRY_MS / 1_000.0)
        deadline_ms = min(metadata.deadline_ms or DEFAULT_DEADLINE_MS, route.timeout_ms)
        return RequestState(
            request=request,
            metadata=metadata,
            route=route,
            workspace=workspace.name if workspace is not None else None,
            priority=request_priority(route, workspace),
            service=choose_service(route),
            deadline_s=start_s + deadline_ms / 1_000.0,
            due_s=start_s + route.objective_ms / 1_000.0,
            abandon_at_s=start_s + abandon_after_ms(route, deadline_ms) / 1_000.0,
            fingerprint=request_fingerprint(request, metadata.key),
            resumption=resumption,
            allowed_regions=regions,
        )


def make_acquire_message(
    state: RequestState,
    times: StageTimes,
    locate: Callable[[str], str],
    now_s: float,
    hedge_wait_ms: float | None = None,
) -> AcquireWorker:
    """Return the request for a slot, without the name of its permit.

    `locate` returns the data centre in which a stage result is stored. With
    `hedge_wait_ms` only a worker that was not tried is asked for, for this time.
    """
    only_untried = hedge_wait_ms is not None
    latest_s = _latest_start_s(state, times)
    expires_ms = (latest_s - now_s) * 1_000.0
    # The objective is met by the first event; the next one is due later.
    due_s = state.due_s if state.last_event_id is None else latest_s
    return AcquireWorker(
        service=state.service,
        permit="",
        prompt_tokens=state.metadata.prompt_tokens,
        output_tokens=state.metadata.output_tokens,
        parts=tuple(
            (part.id, part.tokens)
            for part in islice(state.metadata.parts, MAX_PLACEMENT_PARTS)
        ),
        input_bytes=_input_bytes(state, locate),
        priority=state.priority,
        value=state.value,
        due_ms=(due_s - now_s) * 1_000.0,
        expires_ms=min(expires_ms, hedge_wait_ms) if only_untried else expires_ms,
        avoid=tuple(state.tried_workers),
        repeat=state.sends > 0,
        software_version=state.bound_version,
        begins=state.software_version is None,
        any_version=not state.route.resumes_streams,
        whole=state.route.kind is not RequestKind.STREAMING and not only_untried,
        only_untried=only_untried,
        workspace=state.workspace or "",
        allowed_regions=tuple(state.allowed_regions),
        route=state.route.name,
        body_bytes=len(state.request.body),
    )


def _latest_start_s(state: RequestState, times: StageTimes) -> float:
    """Return the latest time at which a worker can start and still be useful.

    Callers of a stream abandon it only while it has not delivered an event.
    """
    if state.route.kind is not RequestKind.STREAMING:
        return state.deadline_s
    engine_ms = times.engine_ms(state.service, state.metadata)
    return state.abandon_at_s - engine_ms / 1_000.0


def _input_bytes(
    state: RequestState, locate: Callable[[str], str]
) -> tuple[tuple[str, int], ...]:
    """Return the bytes of stage results in each data centre."""
    if state.stages is None:
        return ()
    sizes: dict[str, int] = {}
    for handle, size in state.stages.final_results():
        data_centre = locate(handle)
        sizes[data_centre] = sizes.get(data_centre, 0) + size
    return tuple(sizes.items())


def _resumption_of(request: IncomingRequest, route: RouteRule) -> Resumption | None:
    """Return which stream a request resumes, if its route allows that.

    Raises
    ------
    ValueError
        If the request names the stream in a malformed way.
    """
    if not route.resumes_streams:
        return None
    return request_format.decode_resumption(request.headers)
