"""Client of the platform's lagging list of instances."""

from dataclasses import dataclass
from urllib.parse import quote

import httpcore
import msgspec
import trio

from ..core.clock import to_s
from ..exceptions import AcaciapierError
from ..wire.messages.membership import TargetRecord, TargetState

TARGET_ROLE = "target"
LEAVING = "leaving"
CALL_TIMEOUT_MS = 5_000.0
MAX_LIST_BYTES = 16 << 20
_HEADERS = {"content-type": "application/json"}


class InstanceListUnavailable(AcaciapierError):
    """The instance list did not answer, or not as agreed."""


class ListedInstance(msgspec.Struct, frozen=True):
    """One record of the instance list."""

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
        """State of the target that this record amounts to."""
        return TargetState.LEAVING if self.state == LEAVING else TargetState.LIVE

    def as_target(self) -> TargetRecord:
        """Return the word about a target that this record amounts to."""
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


class _Answer(msgspec.Struct):
    revision: int
    instances: list[ListedInstance]


@dataclass(frozen=True)
class InstanceList:
    """The list as it was answered once."""

    revision: int
    instances: tuple[ListedInstance, ...]
    size_bytes: int

    def targets(self) -> list[ListedInstance]:
        """Return the records of targets."""
        return [record for record in self.instances if record.role == TARGET_ROLE]

    def daemons(self) -> list[ListedInstance]:
        """Return the records of the system's own instances that can be called."""
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
        Connections; owned by the caller.
    base_url : str
        Such as ``http://10.0.0.2:7500``.
    timeout_ms : float, optional
        Bound on each call.
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
        self._decoder = msgspec.json.Decoder(_Answer)

    async def fetch(self) -> InstanceList:
        """Return the list.

        Raises
        ------
        InstanceListUnavailable
            If there is no valid answer in time.
        """
        body = await self._request("GET", self._url)
        try:
            answer = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise InstanceListUnavailable(f"malformed list: {error}") from error
        return InstanceList(answer.revision, tuple(answer.instances), len(body))

    async def put(self, record: ListedInstance) -> None:
        """Set or replace the record of an instance, or raise."""
        await self._request("PUT", self._url_of(record.id), msgspec.json.encode(record))

    async def delete(self, instance_id: str) -> None:
        """Remove the record of an instance, or raise."""
        await self._request("DELETE", self._url_of(instance_id))

    def _url_of(self, instance_id: str) -> str:
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
        raise InstanceListUnavailable(f"status {response.status} from the list")
    chunks, size_bytes = [], 0
    async for chunk in response.aiter_stream():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > MAX_LIST_BYTES:
            raise InstanceListUnavailable(f"the list is over {MAX_LIST_BYTES} bytes")
    return b"".join(chunks)
