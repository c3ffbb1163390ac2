"""Asynchronous client of the platform's object API over HTTP."""

from collections import defaultdict
from random import Random
from typing import Any
from urllib.parse import quote

import httpcore
import msgspec
import trio

from ..core.clock import Clock, to_ms, to_s
from ..exceptions import (
    StoreError,
    StoreUnavailable,
    VersionConflict,
    WatchCompacted,
)
from .budget import CallCount, PriorityLimiter, Purpose, StoreBudget, Verb
from .circuit import CircuitBreaker
from .models import Listing, PutBody, StoredObject, VersionResponse, WatchBatch

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_WRITES = (Verb.PUT, Verb.DELETE)
DEFAULT_RETRY_AFTER_MS = 1_000.0


class ObjectStore:
    """Client of the object API; owns its connections.

    Parameters
    ----------
    url : str
        Root of the API, such as ``http://10.0.0.5:7000``.
    budget : StoreBudget
        Limits of this process.
    clock : Clock
        Source of time.
    random : Random
        Source of the backoff's jitter.

    Examples
    --------
    >>> async with ObjectStore(url, StoreBudget(), clock, random) as store:
    ...     version = await store.put("pool", "a", {}, 0, purpose=Purpose.LEASES)
    """

    def __init__(self, url: str, budget: StoreBudget, clock: Clock, random: Random):
        self._url = url.rstrip("/")
        self._budget = budget
        self._clock = clock
        self._circuit = CircuitBreaker(clock, random)
        self._limiter = PriorityLimiter(budget, clock)
        self._counts: dict[tuple[Purpose, Verb], CallCount] = defaultdict(CallCount)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=budget.max_connections,
            max_keepalive_connections=budget.max_connections,
            keepalive_expiry=30.0,
        )

    async def __aenter__(self) -> "ObjectStore":
        return self

    async def __aexit__(self, *exception) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    @property
    def reachable(self) -> bool:
        """Whether a call would be sent now; if not, refuse work that needs one."""
        return self._circuit.reachable

    @property
    def pause_ms(self) -> float:
        """Milliseconds until an unreachable store is tried again."""
        return self._circuit.pause_ms()

    @property
    def counts(self) -> dict[tuple[Purpose, Verb], CallCount]:
        """Calls, failures and bytes by purpose and verb."""
        return dict(self._counts)

    async def get(
        self, kind: str, name: str, *, purpose: Purpose
    ) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        path = _object_path(kind, name)
        response = await self._call(Verb.GET, "GET", path, purpose)
        if response.status == 404:
            return None
        return _decode(response, StoredObject)

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        if_version: int | None,
        *,
        purpose: Purpose,
    ) -> int:
        """Write an object and return its new version.

        Parameters
        ----------
        if_version : int or None
            Version that must be present; 0 if there must be none, None for any.

        Raises
        ------
        VersionConflict
            If another version is present.
        StoreUnavailable
            If there was no answer; `may_have_landed` tells if it may be written.
        """
        body = msgspec.json.encode(PutBody(value, if_version))
        path = _object_path(kind, name)
        response = await self._call(Verb.PUT, "PUT", path, purpose, body)
        return _read_version(response, f"{kind}/{name}")

    async def delete(
        self, kind: str, name: str, if_version: int, *, purpose: Purpose
    ) -> int:
        """Delete an object; return the version, 0 if it did not exist."""
        path = f"{_object_path(kind, name)}?if_version={if_version}"
        response = await self._call(Verb.DELETE, "DELETE", path, purpose)
        if response.status == 404:
            return 0
        return _read_version(response, f"{kind}/{name}")

    async def list(self, kind: str, prefix: str = "", *, purpose: Purpose) -> Listing:
        """Return all objects of `kind` whose names start with `prefix`."""
        path = f"/v1/objects/{quote(kind)}?prefix={quote(prefix, safe='')}"
        response = await self._call(Verb.LIST, "GET", path, purpose)
        return _decode(response, Listing)

    async def watch(
        self, kind: str, since: int, wait_ms: int, *, purpose: Purpose
    ) -> WatchBatch:
        """Wait up to `wait_ms` for changes after the revision `since`.

        Raises
        ------
        WatchCompacted
            If those changes are no longer retained.
        """
        path = f"/v1/watch/{quote(kind)}?since={since}&wait_ms={wait_ms}"
        response = await self._call(
            Verb.WATCH, "GET", path, purpose, extra_ms=float(wait_ms)
        )
        return _decode(response, WatchBatch)

    async def _call(
        self,
        verb: Verb,
        method: str,
        path: str,
        purpose: Purpose,
        body: bytes = b"",
        extra_ms: float = 0.0,
    ) -> httpcore.Response:
        """Send one call, subject to rate limit, circuit breaker and timeout."""
        count = self._counts[purpose, verb]
        attempt = _Attempt(verb)
        self._require_reachable(self._circuit.reachable)
        with trio.move_on_after(to_s(self._budget.timeout_ms + extra_ms)):
            await self._limiter.acquire(purpose)
            self._require_reachable(self._circuit.try_enter())
            count.calls += 1
            count.sent_bytes += len(body)
            count.largest_bytes = max(count.largest_bytes, len(body))
            return await self._exchange(attempt, method, path, body, count)
        if attempt.started:
            self._circuit.record_failure()
            count.failures += 1
        raise StoreUnavailable(
            f"no answer from the object API to {method} {path}",
            may_have_landed=attempt.may_have_landed,
            retry_after_ms=max(DEFAULT_RETRY_AFTER_MS, self._circuit.pause_ms()),
        )

    def _require_reachable(self, reachable: bool) -> None:
        if not reachable:
            raise StoreUnavailable(
                "the object API is unreachable", False, self._circuit.pause_ms()
            )

    async def _exchange(
        self,
        attempt: "_Attempt",
        method: str,
        path: str,
        body: bytes,
        count: CallCount,
    ) -> httpcore.Response:
        """Send one request and record its outcome in the circuit breaker."""
        attempt.started = True
        try:
            response = await self._pool.request(
                method,
                self._url + path,
                headers=[("content-type", "application/json")],
                content=body,
            )
        except _NOT_SENT_ERRORS as error:
            self._circuit.record_failure()
            count.failures += 1
            raise StoreUnavailable(f"cannot reach the object API: {error}") from error
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            self._circuit.record_failure()
            count.failures += 1
            raise StoreUnavailable(
                f"the object API broke off: {error!r}", attempt.may_have_landed
            ) from error
        except trio.Cancelled:
            self._circuit.record_cancelled()
            raise
        count.received_bytes += len(response.content)
        self._check(response, attempt, count)
        return response

    def _check(
        self, response: httpcore.Response, attempt: "_Attempt", count: CallCount
    ) -> None:
        """Raise for error responses; record the outcome in the circuit breaker."""
        if response.status == 429:
            self._circuit.record_success()
            count.failures += 1
            raise StoreUnavailable(
                "over the object API's call budget", False, _retry_after_ms(response)
            )
        if response.status >= 500:
            self._circuit.record_failure()
            count.failures += 1
            raise StoreUnavailable(
                f"the object API answered {response.status}",
                attempt.may_have_landed,
                max(_retry_after_ms(response), self._circuit.pause_ms()),
            )
        self._circuit.record_success()
        if response.status == 410:
            raise WatchCompacted("the watched revision is compacted")
        if response.status not in (200, 404, 409):
            raise StoreError(f"the object API answered {response.status}")


class _Attempt:
    """State of one call in progress."""

    def __init__(self, verb: Verb):
        self.started = False
        self._verb = verb

    @property
    def may_have_landed(self) -> bool:
        """Whether the call may have changed an object."""
        return self.started and self._verb in _WRITES


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode(response: httpcore.Response, type_):
    if response.status != 200:
        raise StoreError(f"the object API answered {response.status}")
    try:
        return msgspec.json.decode(response.content, type=type_)
    except msgspec.DecodeError as error:
        raise StoreError(f"the object API's answer is malformed: {error}") from error


def _read_version(response: httpcore.Response, name: str) -> int:
    if response.status == 404:
        raise VersionConflict(name, 0)
    if response.status == 409:
        present = msgspec.json.decode(response.content, type=VersionResponse)
        raise VersionConflict(name, present.version)
    return _decode(response, VersionResponse).version


def _retry_after_ms(response: httpcore.Response) -> float:
    for name, value in response.headers:
        if name.lower() == b"retry-after":
            try:
                return to_ms(float(value))
            except ValueError:
                break
    return DEFAULT_RETRY_AFTER_MS
