"""The administration API as an ASGI application."""

from collections.abc import Iterable

import msgspec
import trio

from ..configuration import ConfigurationLog
from ..core.clock import Clock, to_s
from ..exceptions import AcaciapierError, StoreUnavailable
from ..http.asgi import BodyError, HttpRequest, read_body, send_json
from ..observability import get_logger
from ..settings.models import OperatorToken
from .configuration import ConfigurationHandlers, unavailable
from .errors import ApiError, ErrorKind
from .operations import FleetControls, OperationHandlers
from .operators import Operator, Operators
from .routes import Call, Router

log = get_logger("acaciapier.admin")

MAX_BODY_BYTES = 512 * 1024
MAX_OPEN_CALLS = 64
CALL_TIMEOUT_MS = 10_000.0


class AdminApplication:
    """ASGI application through which operators change and observe the system.

    Parameters
    ----------
    configuration : ConfigurationLog
        The log of accepted changes.
    operators : iterable of OperatorToken
        Operators who may call, with their roles.
    clock : Clock
        Time source of the rate limits.
    controls : FleetControls, optional
        Implementations of status, drains, releases and costs.

    Examples
    --------
    >>> app = AdminApplication(configuration, settings.operators, clock)
    ... # doctest: +SKIP
    >>> await HttpListener(app, settings.listen).run()  # doctest: +SKIP
    """

    def __init__(
        self,
        configuration: ConfigurationLog,
        operators: Iterable[OperatorToken],
        clock: Clock,
        controls: FleetControls = FleetControls(),
    ):
        self._operators = Operators(operators, clock)
        self._open_calls = 0
        self._router = Router()
        ConfigurationHandlers(configuration).add_to(self._router)
        OperationHandlers(configuration, controls).add_to(self._router)

    async def __call__(self, scope, receive, send) -> None:
        """Answer one HTTP request."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._answer_http(HttpRequest.from_scope(scope), receive, send)

    async def _answer_http(self, request: HttpRequest, receive, send) -> None:
        self._open_calls += 1
        try:
            status, body = await self._answer(request, receive)
        finally:
            self._open_calls -= 1
        retry_after_ms = getattr(body, "retry_after_ms", 0.0)
        headers = {}
        if retry_after_ms:
            headers["retry-after"] = str(max(1, round(to_s(retry_after_ms))))
        await send_json(send, status, body, headers)

    async def _answer(
        self, request: HttpRequest, receive
    ) -> tuple[int, msgspec.Struct]:
        operator = self._operators.authenticate(request.bearer_token)
        try:
            with trio.move_on_after(to_s(CALL_TIMEOUT_MS)):
                return 200, await self._handle(request, operator, receive)
            error = ApiError(ErrorKind.UNAVAILABLE, "timed out", may_have_landed=True)
        except ApiError as raised:
            error = raised
        except StoreUnavailable as outage:
            error = unavailable(outage)
        except AcaciapierError as failure:
            log.error("{} {} failed: {}", request.method, request.path, failure)
            error = ApiError(ErrorKind.INTERNAL, str(failure))
        except Exception:
            log.exception("{} {} failed", request.method, request.path)
            error = ApiError(ErrorKind.INTERNAL, "see this instance's log")
        self._audit(request, operator, error.kind.code)
        return error.kind.status, error.body()

    async def _handle(
        self, request: HttpRequest, operator: Operator | None, receive
    ) -> msgspec.Struct:
        self._check_rate(operator)
        if operator is None:
            raise ApiError(ErrorKind.UNAUTHENTICATED, "no operator has this token")
        route, path = self._router.find(request)
        if not operator.role.includes(route.role):
            message = f"this needs the role {route.role.value}"
            raise ApiError(ErrorKind.FORBIDDEN, message)
        body = await _read_bounded(receive)
        answer = await route.handler(Call(operator, path, dict(request.query), body))
        if request.method != "GET":
            self._audit(request, operator, "done")
        return answer

    def _check_rate(self, operator: Operator | None) -> None:
        wait_ms = self._operators.acquire_call(operator)
        if wait_ms > 0 or self._open_calls > MAX_OPEN_CALLS:
            raise ApiError(
                ErrorKind.RATE_LIMIT, "too many calls", retry_after_ms=wait_ms or 1_000
            )

    def _audit(
        self, request: HttpRequest, operator: Operator | None, outcome: str
    ) -> None:
        """Log the operator, the request and its outcome.

        Accepted changes additionally store their author.
        """
        name = operator.name if operator else "(unknown)"
        log.info(
            "operator {} requested {} {}: {}",
            name,
            request.method,
            request.path,
            outcome,
        )


async def _read_bounded(receive) -> bytes:
    try:
        return await read_body(receive, MAX_BODY_BYTES)
    except BodyError as error:
        kind = ErrorKind.TOO_LARGE if error.too_large else ErrorKind.BAD_REQUEST
        raise ApiError(kind, str(error)) from error


async def _answer_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
