"""An open-loop load of requests, with a report of what their callers saw."""

import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec
import trio
from hdrh.histogram import HdrHistogram

from acaciapier import AcaciapierError, RequestError, Session
from acaciapier.core.clock import SystemClock, to_ms
from acaciapier.core.ids import DataCentreId, Incarnation, PoolName, RegionId, TargetId
from acaciapier.policy import CallOutcome, TargetView
from acaciapier.request_ids import make_request_id
from acaciapier.targets import CallAnswer, CallEnvelope, HttpTransport

MAX_TRACKED_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_MS = 1000.0
PERCENTILES = (50.0, 95.0, 99.0)
DIRECT_DEADLINE_MS = 30_000


@dataclass(frozen=True)
class LoadOptions:
    """What to send, and how often.

    Parameters
    ----------
    urls : tuple of str
        Entry instances, or one engine if `direct` is set.
    token : str
        Workspace token.
    pipeline : str
        Pipeline to ask for.
    rate_per_s : float
        Mean of the Poisson arrivals.
    seconds : float
        How long requests are started.
    deadline_ms : int
        Deadline of each request.
    not_repeatable_share : float
        Share of requests that may not be repeated.
    seed : int
        Seed of arrivals and inputs.
    direct : bool
        Call the engines themselves, without the system.
    max_tokens : int
        Tokens of a direct call.
    """

    urls: tuple[str, ...]
    token: str
    pipeline: str
    rate_per_s: float
    seconds: float
    deadline_ms: int = 10_000
    not_repeatable_share: float = 0.0
    seed: int = 1
    direct: bool = False
    max_tokens: int = 240


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles of a time in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """What the callers of a load saw."""

    sent: int
    outcomes: dict[str, int]
    causes: dict[str, int]
    tokens: int
    seconds: float
    total: Percentiles
    first_part: Percentiles
    gap: Percentiles


@dataclass
class Tally:
    """Counts and histograms while a load runs."""

    sent: int = 0
    tokens: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    causes: Counter[str] = field(default_factory=Counter)
    total: HdrHistogram = field(default_factory=lambda: new_histogram())
    first_part: HdrHistogram = field(default_factory=lambda: new_histogram())
    gap: HdrHistogram = field(default_factory=lambda: new_histogram())

    def report(self, seconds: float) -> LoadReport:
        """Return the report of a load that ran for `seconds`."""
        return LoadReport(
            sent=self.sent,
            outcomes=dict(self.outcomes),
            causes=dict(self.causes),
            tokens=self.tokens,
            seconds=seconds,
            total=percentiles(self.total),
            first_part=percentiles(self.first_part),
            gap=percentiles(self.gap),
        )


class Load:
    """Sends requests at random times, however slowly they are answered."""

    def __init__(self, options: LoadOptions):
        self._options = options
        self._clock = SystemClock()
        self._random = random.Random(options.seed)
        self.tally = Tally()

    async def run(self) -> LoadReport:
        """Send for the whole time, then wait for the last answer."""
        options = self._options
        started_s = self._clock.monotonic_s()
        end_s = started_s + options.seconds
        async with HttpTransport() as transport:
            async with Session(
                options.urls, options.token, rng=self._random
            ) as session:
                async with trio.open_nursery() as nursery:
                    at_s = started_s
                    while at_s < end_s:
                        at_s += self._random.expovariate(options.rate_per_s)
                        await trio.sleep(max(0.0, at_s - self._clock.monotonic_s()))
                        nursery.start_soon(self._send, session, transport)
        return self.tally.report(self._clock.monotonic_s() - started_s)

    async def _send(self, session: Session, transport: HttpTransport) -> None:
        self.tally.sent += 1
        watch = _PartWatch(self._clock, self.tally)
        try:
            if self._options.direct:
                await self._follow_engine(transport, watch)
            else:
                await self._follow_request(session, watch)
        except RequestError as error:
            cause = error.final.cause
            self.tally.outcomes[error.final.outcome.value] += 1
            self.tally.causes[cause.value if cause else "none"] += 1
        except AcaciapierError as error:
            self.tally.outcomes["incomplete"] += 1
            self.tally.causes[type(error).__name__] += 1
        else:
            self.tally.outcomes["done"] += 1
            watch.end()

    async def _follow_request(self, session: Session, watch: "_PartWatch") -> None:
        options = self._options
        repeatable = self._random.random() >= options.not_repeatable_share
        follower = session.follow(
            options.pipeline,
            self._make_input(),
            deadline_ms=options.deadline_ms,
            repeatable=repeatable,
        )
        async for part in follower.parts():
            watch.part(part.count)
        assert follower.answer is not None

    async def _follow_engine(self, transport, watch: "_PartWatch") -> None:
        target = _view_of(self._random.choice(self._options.urls))
        request_id = make_request_id(self._clock, self._random)
        envelope = CallEnvelope(
            request_id=request_id,
            run_id=request_id,
            workspace="bench",
            pipeline="direct",
            stage="draft",
            attempt=1,
            deadline_ms=DIRECT_DEADLINE_MS,
            input=self._make_input(),
            stream_id=request_id,
            max_tokens=self._options.max_tokens,
        )
        stream = await transport.open_stream(target, envelope)
        if isinstance(stream, CallAnswer):
            raise AcaciapierError(stream.message)
        try:
            while (batch := await stream.next_batch()) is not None:
                watch.part(len(batch.tokens))
        finally:
            await stream.aclose()
        if stream.answer.outcome is not CallOutcome.DONE:
            raise AcaciapierError(stream.answer.message)

    def _make_input(self) -> dict[str, Any]:
        return {"text": f"order {self._random.getrandbits(40)}"}


class _PartWatch:
    """Times of the parts of one answer."""

    def __init__(self, clock: SystemClock, tally: Tally):
        self._clock = clock
        self._tally = tally
        self._started_s = clock.monotonic_s()
        self._last_s: float | None = None

    def part(self, tokens: int) -> None:
        now_s = self._clock.monotonic_s()
        self._tally.tokens += tokens
        if self._last_s is None:
            record_s(self._tally.first_part, now_s - self._started_s)
        else:
            record_s(self._tally.gap, now_s - self._last_s)
        self._last_s = now_s

    def end(self) -> None:
        record_s(self._tally.total, self._clock.monotonic_s() - self._started_s)


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds."""
    return HdrHistogram(1, MAX_TRACKED_US, SIGNIFICANT_DIGITS)


def record_s(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time given in seconds."""
    histogram.record_value(max(1, int(to_ms(seconds) * MICROSECONDS_PER_MS)))


def percentiles(histogram: HdrHistogram) -> Percentiles:
    """Return the percentiles of a histogram of microseconds."""
    values = [
        histogram.get_value_at_percentile(one) / MICROSECONDS_PER_MS
        for one in PERCENTILES
    ]
    longest_ms = histogram.get_max_value() / MICROSECONDS_PER_MS
    return Percentiles(histogram.get_total_count(), *values, longest_ms)


def _view_of(url: str) -> TargetView:
    return TargetView(
        TargetId(url),
        Incarnation(0),
        PoolName("direct"),
        DataCentreId(""),
        RegionId(""),
        url,
    )


@cappa.command(name="load")
@dataclass
class LoadCommand:
    """Send an open-loop load and print a report as JSON."""

    urls: Annotated[list[str], cappa.Arg(long="url", help="entry instance; repeat it")]
    pipeline: Annotated[str, cappa.Arg(long=True)] = "quote"
    token: Annotated[str, cappa.Arg(long=True)] = "test-token-hotels"
    rate_per_s: Annotated[float, cappa.Arg(long="rate")] = 5.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
    deadline_ms: Annotated[int, cappa.Arg(long=True)] = 10_000
    not_repeatable_share: Annotated[float, cappa.Arg(long=True)] = 0.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    direct: Annotated[bool, cappa.Arg(long=True, help="call engines directly")] = False
    max_tokens: Annotated[int, cappa.Arg(long=True, help="of a direct call")] = 240
    output: Annotated[Path | None, cappa.Arg(long=True, help="file to write")] = None

    def __call__(self) -> None:
        """Run the load."""
        options = LoadOptions(
            urls=tuple(self.urls),
            token=self.token,
            pipeline=self.pipeline,
            rate_per_s=self.rate_per_s,
            seconds=self.seconds,
            deadline_ms=self.deadline_ms,
            not_repeatable_share=self.not_repeatable_share,
            seed=self.seed,
            direct=self.direct,
            max_tokens=self.max_tokens,
        )
        report = trio.run(Load(options).run)
        encoded = msgspec.json.format(msgspec.json.encode(report), indent=2)
        if self.output is None:
            print(encoded.decode())
        else:
            self.output.write_bytes(encoded)
