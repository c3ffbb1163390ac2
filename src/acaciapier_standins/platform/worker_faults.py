"""Faults that simulated workers show."""

from dataclasses import dataclass

import trio

HEAD = "HTTP/1.1 200 OK\r\nServer-Seal: x\r\nAttempt-Id: {}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "header": (HEAD, "X-Name: value\r\n"),
    "header_line": (HEAD + "X-Name: ", "value"),
    "interim": ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    "blank_lines": ("", "\r\n"),
    "garbage": ("", "\x00\xff garbage"),
    "stray_body": (HEAD.format("stray") + "\r\n", "x" * 1_000),
    "stray_chunks": (HEAD.format("stray") + CHUNKED, "1\r\nx\r\n"),
    "stray_answers": ("", HEAD.format("stray") + "Content-Length: 1\r\n\r\nx"),
    "chunk_extension": (HEAD + CHUNKED + "1;", "name=value"),
    "chunk_extensions": (HEAD + CHUNKED, "1;" + "e" * 1_000 + "\r\nx\r\n"),
    "trailers": (HEAD + CHUNKED + "0\r\n", "X-Trailer: value\r\n"),
    "body": (HEAD + "\r\n", "x" * 1_000),
    "chunks": (HEAD + CHUNKED, "1\r\nx\r\n"),
    "large_chunks": (HEAD + CHUNKED, "3e80\r\n" + "x" * 16_000 + "\r\n"),
    "long": (HEAD + "Content-Length: 99999999999\r\n\r\n", "x" * 16_000),
    "event": (HEAD + "\r\ndata: ", "x" * 100),
}
"""Answers without end: what is sent first, and then again and again. `{}` stands for
the attempt."""


@dataclass(frozen=True)
class Brittleness:
    """A worker that falls over when it rejects too many requests in a second.

    Parameters
    ----------
    rejections : int
        Rejections in a second that it survives; it advertises them in all answers.
    room : int
        Requests that it takes at once, running and waiting.
    from_s : float
        Time from which it takes no more than `room`, and may fall over.
    """

    rejections: int
    room: int
    from_s: float


@dataclass(frozen=True)
class Coldness:
    """A worker that falls over when it gets too many requests in a second.

    Parameters
    ----------
    most : float
        Requests in a second that it survives.
    from_s, until_s : float
        Time in which it is cold.
    """

    most: float
    from_s: float
    until_s: float


@dataclass
class WorkerFaults:
    """Faults that a worker shows for all following requests."""

    status: int | None = None
    not_run: bool = False
    refuse_share: float = 0.0
    """Share of the requests that are refused without a run, by their number."""
    refuse_first: int = 0
    """Number of requests that are refused without a run from the start on."""
    late_copy_s: float | None = None
    """Time after which the refusal of a request is sent a second time."""
    stray_stage_answer: bool = False
    """Send an empty answer ahead of the answer to a call of a stage."""
    repeats_answers: bool = False
    """Send the answer to the last call a second time ahead of the next one."""
    repeats_early: bool = False
    """Send that copy when the next call arrives, before the work on it."""
    fails_each: int | None = None
    """Number of calls of a stage of which one fails all of its pieces."""
    cut_after: int | None = None
    """Events after which a stream is aborted; a plain answer is aborted midway."""
    ends_early: bool = False
    """Frame a stream that `cut_after` cuts as complete instead of aborting it."""
    mute: bool = False
    silent_after: int | None = None
    drip_after: int | None = None
    """Events of a stream after which an event comes byte by byte and never ends."""
    extra_answer: bool = False
    leaving_stray: bool = False
    """Send an answer to another attempt first, which announces the shutdown."""
    report: str | None = None
    """What to send for a report: ``silent``, ``without_start``, ``error``, or ``twice``
    for a second copy ahead of the next answer."""
    report_delay_s: float = 0.0
    reset_reports: int = 0
    """Number of reports instead of which the connection is reset."""
    unframed: bool = False
    """Answer with neither a length nor chunks; an answer that is cut ends like a
    complete one, with the end of its connection."""
    unmarked: bool = False
    delay_s: float = 0.0
    answers_at_deadline: tuple[float, float] | None = None
    """Earliest and latest time of an answer, in seconds after the deadline that the
    worker is handed. Successive answers are spread over it."""
    body_bytes: int | None = None
    """Size of the body of an answer."""
    pause_s: float = 0.0
    """Delay of a stream before its second event."""
    leaving: bool = False
    """Announce the shutdown in all answers."""
    turn_away: str | None = None
    """Answer with status 503 and this `Retry-After`."""
    limit: str | None = None
    """Name this limit, in requests a second, in all answers."""
    brittle: Brittleness | None = None
    cold: Coldness | None = None
    names_cold_time: bool = False
    """Name the rest of the cold time in all answers."""
    endless: str | None = None
    """A key of `ENDLESS`: send these bytes until the caller closes."""
    silence: trio.Event | None = None
    """Leave requests and questions for reports unanswered, and streams where they are,
    until this is set."""
