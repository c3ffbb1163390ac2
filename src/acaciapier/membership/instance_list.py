"""Client of the platform's list of instances, which lags behind changes."""

from dataclasses import dataclass
from urllib.parse import quote

import httpcore
import msgspec
import trio

from ..core.clock import to_s
from ..exceptions import AcaciapierError
from ..wire.messages.membership import TargetRecord, TargetState

TARGET_ROLE = "target"
LEAVING_STATE = "leaving"
CALL_TIMEOUT_MS = 5_000.0
MAX_LIST_BYTES = 16 << 20
_HEADERS = {"content-type": "application/json"}


class InstanceListUnavailable(AcaciapierError):
    """The instance list is unreachable, or its answer is invalid."""


class ListedInstance(msgspec.Struct, frozen=True):
    """A record of the instance list."""

    id: str
    incarnation: int
    role: str
    data_centre: str
    region: str
    url: str = ""
    pool: str | None = None
    kind: str | None = None
    inner_host: str | None = None
    inner_port: int | None = None
    state: str = "live"

    @property
    def target_state(self) -> TargetState:
        """State of the target that this record describes."""
        return TargetState.LEAVING if self.state == LEAVING_STATE else TargetState.LIVE

    def to_target_record(self) -> TargetRecord:
        """Convert this record of a target to a `TargetRecord`."""
        return TargetRecord(
            target_id=self.id,
            incarnation=self.incarnation,
            state=self.target_state,
            pool=self.pool or "",
            kind=self.kind or "",
            data_centre=self.data_centre,
            region=self.region,
            url=self.url,
        )


class _ListResponse(msgspec.Struct):
    revision: int
    instances: list[ListedInstance]


@dataclass(frozen=True)
class InstanceList:
    """Content of the instance list at one revision."""

    revision: int
    instances: tuple[ListedInstance, ...]
    size_bytes: int

    def targets(self) -> list[ListedInstance]:
        """Return the records of targets."""
        return [record for record in self.instances if record.role == TARGET_ROLE]

    def daemons(self) -> list[ListedInstance]:
        """Return the records of instances of this system that accept calls."""
        return [
            record
            for record in self.instances
            if record.role != TARGET_ROLE and record.inner_port is not None
        ]


class InstanceListClient:
    """Calls the instance list over HTTP.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
        Connection pool; owned by the caller.
    base_url : str
        Base URL, such as ``http://10.0.0.2:7500``.
    timeout_ms : float, optional
        Timeout of each call.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        base_url: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ):
        self._pool = pool
        self._url = base_url.rstrip("/") + "/v1/instances"
        self._timeout_ms = timeout_ms
        self._decoder = msgspec.json.Decoder(_ListResponse)

    async def fetch(self) -> InstanceList:
        """Fetch the list.

        Raises
        ------
        InstanceListUnavailable
            If no valid answer arrives within the timeout.
        """
        body = await self._request("GET", self._url)
        try:
            answer = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise InstanceListUnavailable(
                f"malformed instance list: {error}"
            ) from error
        return InstanceList(answer.revision, tuple(answer.instances), len(body))

    async def put(self, record: ListedInstance) -> None:
        """Create or replace the record of an instance.

        Raises
        ------
        InstanceListUnavailable
            If the call fails.
        """
        await self._request(
            "PUT", self._instance_url(record.id), msgspec.json.encode(record)
        )

    async def delete(self, instance_id: str) -> None:
        """Remove the record of an instance.

        Raises
        ------
        InstanceListUnavailable
            If the call fails.
        """
        await self._request("DELETE", self._instance_url(instance_id))

    def _instance_url(self, instance_id: str) -> str:
        return f"{self._url}/{quote(instance_id, safe='')}"

    async def _request(self, method: str, url: str, content: bytes = b"") -> bytes:
        try:
            with trio.fail_after(to_s(self._timeout_ms)):
                async with self._pool.stream(
                    method, url, headers=_HEADERS, content=content
                ) as response:
                    return await _read(response)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.ConnectionNotAvailable,
            OSError,
            trio.TooSlowError,
        ) as error:
            raise InstanceListUnavailable(f"{method} {url}: {error!r}") from error


async def _read(response: httpcore.Response) -> bytes:
    if response.status != 200:
        raise InstanceListUnavailable(
            f"unexpected status {response.status} from the instance list"
        )
    chunks, size_bytes = [], 0
    async for chunk in response.aiter_stream():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > MAX_LIST_BYTES:
            raise InstanceListUnavailable(
                f"the instance list exceeds {MAX_LIST_BYTES} bytes"
            )
    return b"".join(chunks)
