"""The `explain` command, which asks a gateway where a request would go."""

import os
import random
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
import trio
from rich.console import Group
from rich.text import Text

from ..core.clock import SystemClock, epoch_ms
from ..core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from ..exceptions import PeerUnavailable
from ..platform.settings import FLEET_KEY_VARIABLE
from ..wire.connector import PeerAddress
from ..wire.dispatch import CallFailed
from ..wire.handshake import PeerIdentity
from ..wire.keys import FleetKeys
from ..wire.messages.explain import (
    ExplainRequest,
    Explanation,
    ServiceExplanation,
    WorkerExplanation,
)
from ..wire.network import PeerNetwork
from .exits import CommandFailed, ExitCode
from .session import Session, exit_on_failure, make_table

TIMEOUT_MS = 10_000.0
"""Time for connecting and for the answer, in which the gateway asks up to 16
dispatchers for at most a second each; they rarely take more than milliseconds."""

MAX_COUNT = 1_000_000_000
MAX_ITEMS = 1_000
"""Largest number, and longest list, that the command accepts."""


@cappa.command(name="explain", help="Show where a request would go now, and why.")
@dataclass
class Explain:
    """Ask a running gateway where a request would go now, and why; nothing is sent.

    It needs the fleet key, in the environment variable that gateways use.
    Example: `acaciapier explain api.example /chat/ --gateway 10.0.0.5:7400
    --workspace acme --tokens 900,200 --body-bytes 4000`.
    """

    host: Annotated[str, cappa.Arg(help="host name of the request")]
    path: Annotated[str, cappa.Arg(help="path of the request, from the first slash")]
    gateway: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("ACACIAPIER_GATEWAY", default=""),
            help="address of the gateway's control listener, host:port",
        ),
    ]
    method: Annotated[str, cappa.Arg(long=True)] = "POST"
    key: Annotated[str | None, cappa.Arg(long=True, help="access key")] = None
    workspace: Annotated[
        str | None, cappa.Arg(long=True, help="workspace, in place of a key")
    ] = None
    deadline_ms: Annotated[int, cappa.Arg(long=True, help="0 if it names none")] = 0
    tokens: Annotated[
        str, cappa.Arg(long=True, help="tokens of prompt and output: 900,200")
    ] = ""
    parts: Annotated[
        str, cappa.Arg(long=True, help="parts of the prompt: id:tokens,id:tokens")
    ] = ""
    chunks: Annotated[
        str, cappa.Arg(long=True, help="number of chunks of each stage: 3,1")
    ] = ""
    body_bytes: Annotated[int, cappa.Arg(long=True, help="size of the body")] = 0
    workers: Annotated[int, cappa.Arg(long=True, help="workers to list")] = 20
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON, not tables")] = False

    def __call__(self) -> None:
        """Run the command."""
        with exit_on_failure():
            request, address = self._request(), _address(self.gateway)
            found = trio.run(_ask, address, request)
            Session("", "", None, self.json).show(_named(found), _shown(found))
            if found.outcome in ("malformed", "busy"):
                code = ExitCode.USAGE
                if found.outcome == "busy":
                    code = ExitCode.UNAVAILABLE
                raise CommandFailed(code, found.cause)

    def _request(self) -> ExplainRequest:
        if not self.path.startswith("/"):
            raise CommandFailed(ExitCode.USAGE, f"{self.path!r} is no path: no slash")
        if self.key is not None and self.workspace is not None:
            message = "give a key or a workspace, not both"
            raise CommandFailed(ExitCode.USAGE, message)
        tokens = _counts("--tokens", self.tokens)
        if len(tokens) > 2:
            message = f"--tokens {self.tokens}: more than two numbers"
            raise CommandFailed(ExitCode.USAGE, message)
        tokens += (0,) * (2 - len(tokens))
        return ExplainRequest(
            host=self.host,
            path=self.path,
            method=self.method,
            key=self.key,
            workspace=self.workspace,
            deadline_ms=float(_count("--deadline-ms", str(self.deadline_ms))) or None,
            prompt_tokens=tokens[0],
            output_tokens=tokens[1],
            parts=_parts(self.parts),
            piece_counts=_counts("--chunks", self.chunks),
            body_bytes=_count("--body-bytes", str(self.body_bytes)),
            max_workers=_count("--workers", str(self.workers)),
        )


def _count(option: str, text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdigit() and int(text) <= MAX_COUNT):
        message = f"{option}: {text!r} is no number from 0 to {MAX_COUNT}"
        raise CommandFailed(ExitCode.USAGE, message)
    return int(text)


def _counts(option: str, text: str) -> tuple[int, ...]:
    return tuple(_count(option, item) for item in _items(option, text))


def _parts(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for item in _items("--parts", text):
        name, _, count = item.strip().rpartition(":")
        if not name:
            message = f"--parts: {item!r} is not of the form id:tokens"
            raise CommandFailed(ExitCode.USAGE, message)
        parts.append((name, _count("--parts", count)))
    return tuple(parts)


def _items(option: str, text: str) -> list[str]:
    items = text.split(",") if text else []
    if len(items) > MAX_ITEMS:
        message = f"{option}: more than {MAX_ITEMS} items"
        raise CommandFailed(ExitCode.USAGE, message)
    return items


def _address(text: str) -> PeerAddress:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        message = f"--gateway {text!r}: not of the form host:port"
        raise CommandFailed(ExitCode.USAGE, message)
    return PeerAddress(host.strip("[]"), int(port))


async def _ask(address: PeerAddress, request: ExplainRequest) -> Explanation:
    """Return the answer of the gateway at an address."""
    key = os.environ.get(FLEET_KEY_VARIABLE, "")
    try:
        keys = FleetKeys([key.encode()])
    except ValueError as error:
        message = f"{FLEET_KEY_VARIABLE}: {error}"
        raise CommandFailed(ExitCode.USAGE, message) from error
    clock = SystemClock()
    identity = PeerIdentity(
        InstanceId(f"explain-{os.getpid()}"),
        Incarnation(epoch_ms(clock.now())),
        DataCentreId(""),
        RegionId(""),
    )
    network = PeerNetwork(identity, keys, clock, random.Random())
    failure: CommandFailed | None = None
    async with trio.open_nursery() as nursery:
        await nursery.start(network.serve)
        try:
            peer = await network.join(address, TIMEOUT_MS)
            answer = await network.call(peer, request, TIMEOUT_MS)
        except CallFailed as error:
            message = f"this gateway does not explain requests: {error}"
            failure = CommandFailed(ExitCode.REFUSED, message)
        except PeerUnavailable as error:
            failure = CommandFailed(ExitCode.UNAVAILABLE, str(error))
        await network.aclose()
    if failure is not None:
        raise failure
    if not isinstance(answer, Explanation):
        message = f"unexpected answer: {type(answer).__name__}"
        raise CommandFailed(ExitCode.REFUSED, message)
    return answer


def _named(value):
    """Return a message as JSON objects; on the wire fields travel by position."""
    if isinstance(value, msgspec.Struct):
        fields = type(value).__struct_fields__
        return {name: _named(getattr(value, name)) for name in fields}
    if isinstance(value, tuple):
        return [_named(item) for item in value]
    return value


def _shown(found: Explanation) -> Group:
    store = "reachable" if found.store_reachable else "not reachable"
    lines = [
        f"instance {found.instance}, configuration {found.configuration_version} "
        f"received {_age(found.configuration_age_ms)}, workers "
        f"{_age(found.workers_age_ms)}, store {store}"
    ]
    if found.route:
        workspace = found.workspace or "none"
        lines.append(
            f"route {found.route} ({found.kind}), workspace {workspace}, priority "
            f"{found.priority}, deadline {_ms(found.deadline_ms)}"
        )
    if found.outcome != "placed":
        text = f"not sent: {found.outcome}"
        text += f", status {found.status}" if found.status else ""
        text += f", {found.cause}" if found.cause else ""
        if found.retry_after_ms:
            text += f", Retry-After {found.retry_after_ms / 1_000.0:.3f} s"
        lines.append(text)
    if len(found.weights) > 1:
        weights = ", ".join(f"{name} {weight:g}" for name, weight in found.weights)
        lines.append(f"one service by weight: {weights}")
    parts: list = [Text(line) for line in lines]
    if found.admission is not None:
        parts.append(Text(_shown_admission(found.admission)))
    for title, services in (("stage", found.stages), ("service", found.services)):
        for service in services:
            parts += _shown_service(title, service)
    return Group(*parts)


def _decision(one: ServiceExplanation) -> str:
    if one.outcome == "worker":
        return f"goes to {one.worker}"
    if one.outcome == "admitted":
        return "admitted"
    if one.outcome == "waits":
        return f"waits, expected {_ms(one.wait_ms)}"
    if one.outcome == "refused":
        after_s = one.retry_after_ms / 1_000.0
        return f"refused: {one.cause}, Retry-After {after_s:.3f} s"
    return f"unknown: {one.cause}"


def _shown_admission(one: ServiceExplanation) -> str:
    text = f"admission to the stages: {_decision(one)} (dispatcher {one.dispatcher} of "
    text += f"{one.service})"
    if one.outcome != "unknown":
        share = "above its share" if one.above_share else "within its share"
        text += f"; {one.waiting} requests wait, the workspace is {share}"
    return text


def _shown_service(title: str, one: ServiceExplanation) -> list:
    lines = [f"{title} {one.service}: {_decision(one)} (dispatcher {one.dispatcher})"]
    if one.outcome != "unknown":
        costs = "uneven" if one.uneven_costs else "alike"
        lines.append(
            f"  expected cost {_ms(one.cost_ms)} (costs {costs}, learned "
            f"{_age(one.cost_age_ms)}), waiting {one.waiting}, slots in use "
            f"{one.used_slots}, by the workspace {one.workspace_slots}"
            f"{' (above its share)' if one.above_share else ''}; workers received "
            f"{_age(one.workers_age_ms)}"
        )
    parts: list = [Text(line) for line in lines]
    if one.workers:
        titles = ("worker", "data centre", "slots", "backlog", "slowdown", "reported")
        titles += ("measured", "expected", "reason", "for")
        parts.append(make_table(titles, [_row(worker) for worker in one.workers]))
    if one.others:
        counts = ", ".join(
            f"{count} {reason or 'available'}" for reason, count in one.others
        )
        parts.append(Text(f"  further workers: {counts}"))
    return parts


def _row(one: WorkerExplanation) -> tuple[str, ...]:
    slowdown = "-" if one.reported_slowdown is None else f"{one.reported_slowdown:.2f}"
    return (
        one.worker,
        one.data_centre,
        f"{one.used_slots}/{one.slots}",
        _ms(one.backlog_ms),
        slowdown,
        "-" if one.report_age_ms is None else _age(one.report_age_ms),
        f"{one.measured_slowdown:.2f}",
        _ms(one.expected_ms),
        one.reason or "available",
        _ms(one.wait_ms),
    )


def _ms(value_ms: float | None) -> str:
    return "-" if value_ms is None else f"{value_ms:.0f} ms"


def _age(age_ms: float | None) -> str:
    return "never" if age_ms is None else f"{age_ms / 1_000.0:.1f} s ago"
