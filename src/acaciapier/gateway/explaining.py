"""Tells where a request would go now, and why, without sending it.

Operators ask it with `acaciapier explain`. It plans the request with the code that
serves requests, and asks the dispatchers of its services what they would answer.
"""

from collections.abc import Callable, Iterable
from functools import partial

from msgspec.structs import replace

from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..http.caller import IncomingRequest
from ..wire.messages.explain import (
    DispatcherQuestion,
    ExplainAdmission,
    ExplainRequest,
    ExplainSlot,
    ExplainStage,
    Explanation,
    ServiceExplanation,
)
from ..wire.messages.gateway import RunPieces
from ..wire.network import PeerNetwork
from .dispatch.dispatcher import Dispatcher
from .final_responses import retry_after_s
from .models import (
    AttemptId,
    RequestMetadata,
    ServiceName,
    WorkspaceRule,
)
from .pipeline import make_admission_message, piece_counts
from .prompt_parts import PartId, PromptPart, PromptParts
from .relay import BLOCKED_RETRY_S, Relay
from .request_plan import Rejection, make_acquire_message
from .request_state import RequestState
from .stage_times import StageTimes

DISPATCHER_TIMEOUT_MS = 1_000.0
"""Time in which a dispatcher must answer: several message delays, far less than an
operator waits."""

MAX_AT_ONCE = 4
"""Explanations that an instance makes at a time; each takes a few milliseconds."""

MAX_SERVICES = 8
"""Candidate services, and first stages, that are asked for one explanation."""


class RequestExplainer:
    """Answers `ExplainRequest`.

    It handles single questions of operators, also under overload: it waits for nothing
    but its dispatchers, holds no slots and changes nothing that requests depend on.

    Parameters
    ----------
    relay : Relay
        Serves the requests; the explainer uses what it plans them with.
    dispatcher : Dispatcher
        Dispatcher of this instance.
    network : PeerNetwork
        Connections to other dispatchers.
    store_reachable : callable
        Returns whether the store answers.
    """

    def __init__(
        self,
        relay: Relay,
        dispatcher: Dispatcher,
        network: PeerNetwork,
        store_reachable: Callable[[], bool],
    ):
        self._planner = relay.planner
        self._dispatch_client = relay.dispatch_client
        self._times: StageTimes = relay.times.view(
            partial(relay.dispatch_client.engine_estimate, remember=False)
        )
        self._catalogue = relay.catalogue
        self._dispatcher = dispatcher
        self._network = network
        self._quarantine = relay.quarantine
        self._store_reachable = store_reachable
        self._clock = relay.clock
        self._observer = relay.observer
        self._running = 0

    async def explain(self, peer: InstanceId, message: ExplainRequest) -> Explanation:
        """Return where a request would go now."""
        if self._running >= MAX_AT_ONCE:
            answer = self._answer("busy", cause="too many explanations at once")
        else:
            self._running += 1
            try:
                answer = await self._explain(message)
            finally:
                self._running -= 1
        self._observer.decided(
            "request_explained",
            "",
            peer=peer,
            outcome=answer.outcome,
            route=answer.route,
            workspace=answer.workspace,
            services=[
                [one.service, one.outcome, one.worker] for one in answer.services
            ],
        )
        return answer

    async def _explain(self, message: ExplainRequest) -> Explanation:
        workspace: WorkspaceRule | None = None
        table = self._planner.route_table()
        if message.workspace is not None and table is not None:
            workspace = table.named_workspace(message.workspace)
            if workspace is None:
                cause = f"there is no workspace {message.workspace}"
                return self._answer("malformed", cause=cause)
        start_s = self._clock.monotonic_s()
        request = IncomingRequest(
            message.method.encode("latin-1", "replace"),
            message.path.encode("latin-1", "replace"),
            [],
            {},
            b"",
            start_s,
        )
        state = self._planner.plan(
            message.host,
            request,
            _metadata(message),
            start_s,
            lambda route: route.services[0][0],
            workspace,
        )
        if isinstance(state, Rejection):
            return self._answer(
                state.outcome,
                status=state.status,
                cause=str(state.fields.get("cause", "")),
                retry_after_ms=(state.retry_after_s or 0.0) * 1_000.0,
                route=state.fields.get("route", ""),
            )
        blocked = self._quarantine.blocked_parts(state.metadata.shared_part_ids)
        if blocked:
            return self._describe(
                state,
                "blocked",
                status=503,
                cause=f"part {blocked[0]} of the prompt",
                retry_after_ms=BLOCKED_RETRY_S * 1_000.0,
            )
        stages = [
            await self._ask(one.run.service, one, state)
            for one in self._stage_messages(state, message.max_workers)
        ]
        admission = await self._explain_admission(state)
        services = []
        for service, _ in state.route.services[:MAX_SERVICES]:
            state.service = service
            acquire = make_acquire_message(
                state, self._times, self._locate, self._clock.monotonic_s()
            )
            acquire = replace(acquire, body_bytes=message.body_bytes)
            slot = ExplainSlot(acquire, message.max_workers)
            services.append(await self._ask(service, slot, state))
        return self._describe(
            state,
            "placed",
            services=tuple(services),
            stages=tuple(stages),
            admission=admission,
        )

    async def _explain_admission(
        self, state: RequestState
    ) -> ServiceExplanation | None:
        now_s = self._clock.monotonic_s()
        enter = make_admission_message(
            state.route,
            ServiceName(state.service),
            state.metadata,
            self._times,
            due_ms=(state.due_s - now_s) * 1_000.0,
            expires_ms=(state.abandon_at_s - now_s) * 1_000.0,
            priority=state.priority,
            fingerprint="",
            workspace=state.workspace or "",
            allowed_regions=tuple(state.allowed_regions),
        )
        if enter is None:
            return None
        return await self._ask(enter.service, ExplainAdmission(enter), state)

    def _stage_messages(
        self, state: RequestState, max_workers: int
    ) -> Iterable[ExplainStage]:
        """Return the questions for the stages that read no results of others."""
        route, counts = state.route, piece_counts(state.route, state.metadata)
        now_s = self._clock.monotonic_s()
        engine_ms = self._times.engine_ms(ServiceName(state.service), state.metadata)
        due_ms = (state.due_s - now_s) * 1_000.0
        expires_ms = (state.abandon_at_s - now_s) * 1_000.0
        first = [
            number
            for number, stage in enumerate(route.stages)
            if not stage.after and counts[number]
        ]
        for number in first[:MAX_SERVICES]:
            stage = route.stages[number]
            window = self._times.window(
                route, engine_ms, counts, number, due_ms, expires_ms
            )
            run = RunPieces(
                service=stage.service,
                attempt="",
                stage=number,
                count=counts[number],
                key="",
                inputs=(),
                result_bytes=stage.result_bytes,
                due_ms=window.due_ms,
                latest_ms=window.latest_ms,
                expires_ms=window.expires_ms,
                priority=state.priority,
                value=state.value,
                data_centre="",
                workspace=state.workspace or "",
                allowed_regions=tuple(state.allowed_regions),
            )
            yield ExplainStage(run, max_workers)

    async def _ask(
        self,
        service: str,
        message: DispatcherQuestion,
        state: RequestState,
    ) -> ServiceExplanation:
        """Ask the dispatcher of a service, with the Retry-After that callers get."""
        instance = self._dispatch_client.dispatcher_of(service)
        own = self._network.identity.instance_id
        try:
            if instance == own:
                found = await self._dispatcher.explain(own, message)
            else:
                found = await self._network.call(
                    instance, message, DISPATCHER_TIMEOUT_MS
                )
        except PeerUnavailable as error:
            cause = f"the dispatcher does not explain: {error}"
            return ServiceExplanation(service, instance, "unknown", cause=cause)
        if not isinstance(found, ServiceExplanation):
            cause = f"the dispatcher answered {type(found).__name__}"
            return ServiceExplanation(service, instance, "unknown", cause=cause)
        if found.outcome != "refused":
            return found
        left_s = state.deadline_s - self._clock.monotonic_s()
        after_s = retry_after_s(found.retry_after_ms, left_s)
        return replace(found, retry_after_ms=after_s * 1_000.0)

    def _locate(self, handle: str) -> str:
        return self._catalogue.locate(handle.partition("/")[0])

    def _describe(self, state: RequestState, outcome: str, **fields) -> Explanation:
        left_s = state.deadline_s - self._clock.monotonic_s()
        return self._answer(
            outcome,
            route=state.route.name,
            kind=state.route.kind.value,
            workspace=state.workspace or "",
            priority=state.priority,
            deadline_ms=left_s * 1_000.0,
            weights=tuple(state.route.services),
            **fields,
        )

    def _answer(self, outcome: str, **fields) -> Explanation:
        return Explanation(
            instance=self._network.identity.instance_id,
            outcome=outcome,
            configuration_version=self._catalogue.version,
            configuration_age_ms=self._catalogue.configuration_age_ms,
            workers_age_ms=self._catalogue.workers_age_ms,
            store_reachable=self._store_reachable(),
            **fields,
        )


def _metadata(message: ExplainRequest) -> RequestMetadata:
    return RequestMetadata(
        attempt=AttemptId(""),
        deadline_ms=message.deadline_ms,
        key=message.key,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        parts=PromptParts(PromptPart(PartId(n), count) for n, count in message.parts),
        piece_counts=message.piece_counts,
    )
