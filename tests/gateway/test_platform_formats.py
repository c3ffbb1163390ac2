"""Decoding and encoding of the formats of the users' platform."""

import pytest

from acaciapier.core.findings import Findings
from acaciapier.exceptions import FindingsError
from acaciapier.gateway.models import (
    AttemptId,
    Piece,
    PieceFailure,
    RequestKind,
    Resumption,
    WorkerLoad,
    WorkerState,
)
from acaciapier.http.client import ResponseHead
from acaciapier.platform.configuration import decode_configuration
from acaciapier.platform.requests import (
    decode_request_metadata,
    decode_response_metadata,
    decode_resumption,
    forwarded_headers,
)
from acaciapier.platform.settings import FLEET_KEY_VARIABLE, decode_settings
from acaciapier.platform.stages import decode_run, encode_run
from acaciapier.platform.workers import (
    decode_load,
    decode_worker,
    is_malformed_load,
)

SETTINGS = """\
node=edge-1
zone=a
region=r
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
listen.control=10.0.0.1:82
seeds=10.0.0.2:82,10.0.0.3:82
platform.addr=10.0.0.9:90
limits.link_mbps=10.0
limits.cpu_share=0.5
limits.cores=2
bounds.grace_s=8
bounds.retry_after_s=10
heartbeat_ms=900
something.new=1
"""
ENVIRONMENT = {FLEET_KEY_VARIABLE: "0123456789abcdef"}


def test_settings_are_read_with_their_units():
    settings = decode_settings(SETTINGS, ENVIRONMENT, Findings())
    assert settings.bounds.stop_grace_ms == 8_000
    assert settings.bounds.prefix_reuse_ms == 10_000
    assert settings.worker_heartbeat_ms == 900
    assert settings.cores == 1.0
    assert [seed.host for seed in settings.seeds] == ["10.0.0.2", "10.0.0.3"]


def test_bounds_of_cold_workers_are_optional():
    bounds = decode_settings(SETTINGS, ENVIRONMENT, Findings()).bounds
    assert (bounds.cold_burst, bounds.cold_slack) == (None, None)
    text = SETTINGS + "bounds.cold_burst=1.5\nbounds.cold_slack=0\n"
    bounds = decode_settings(text, ENVIRONMENT, Findings()).bounds
    assert (bounds.cold_burst, bounds.cold_slack) == (1.5, 0.0)


@pytest.mark.parametrize(
    "value, per_s", [(4, 4.0), (0, 0.0), (2.5, 2.5), ("7", 7.0), (None, 0.0)]
)
def test_a_service_names_what_its_cold_workers_take(value, per_s):
    spec = {"name": "s", "cold_per_s": value, "cold_start_s": 8}
    decoded = decode_configuration({"version": 1, "services": [spec]})
    rule = decoded.services["s"]
    assert (rule.cold_per_s, rule.cold_start_ms) == (per_s, 8_000.0)
    assert decoded.ignored_fields == ()


@pytest.mark.parametrize("value", [-1, 1e300, "many", [4], {"a": 1}, "nan", "inf"])
def test_an_odd_rate_of_cold_workers_hides_nothing_of_the_configuration(value):
    spec = {"name": "s", "max_conns": 7, "cold_per_s": value, "cold_start_s": 3}
    decoded = decode_configuration({"version": 4, "services": [spec]})
    rule = decoded.services["s"]
    assert (rule.max_connections, rule.cold_per_s, rule.cold_start_ms) == (7, 0, 3_000)
    ((field, _),) = decoded.ignored_fields
    assert field == "services[s].cold_per_s"


@pytest.mark.parametrize(
    "values, cold_ms, ignored",
    [
        (["1500"], 1_500.0, ()),
        (["0"], 0.0, ()),
        (["10", "20"], 20.0, ()),
        ([], None, ()),
        (["-1"], None, ("-1",)),
        (["soon", "30"], 30.0, ("soon",)),
        (["3600001"], None, ("3600001",)),
    ],
)
def test_an_answer_names_how_long_its_worker_is_cold(values, cold_ms, ignored):
    headers = [(b"Cold-Ms", value.encode()) for value in values]
    head = ResponseHead(200, headers, {n.lower(): value for n, value in headers})
    decoded = decode_response_metadata(head)
    assert (decoded.cold_ms, decoded.malformed_cold) == (cold_ms, ignored)


def test_all_findings_of_the_settings_are_reported_together():
    findings = Findings()
    decode_settings("node=e\nplatform.addr=x\nlimits.max_fds=many\nodd", {}, findings)
    with pytest.raises(FindingsError) as caught:
        findings.raise_if_any("node.conf")
    text = str(caught.value)
    for field in ("zone", "listen.front", "platform.addr", "limits.max_fds", "line 4"):
        assert field in text
    assert FLEET_KEY_VARIABLE in text


def test_a_configuration_is_decoded_into_typed_rules():
    spec = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "H.example",
                "path_prefix": "/a/",
                "kind": "streaming",
                "timeout_ms": 6_000,
                "slo_ms": 920,
                "priority": 1,
                "backends": [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10},
                ],
                "stages": [
                    {"service": "e", "after": [], "bytes": 8_000},
                    {"service": "f", "after": [0], "bytes": 60_000},
                ],
                "a_new_field": 1,
            }
        ],
        "services": [
            {
                "name": "e",
                "segments": {
                    "batch": 13,
                    "call_ms": 150.0,
                    "item_ms": 9.8,
                    "headroom_mb": 69.0,
                    "handle_s": 4.0,
                },
            }
        ],
    }
    decoded = decode_configuration(spec)
    (rule,) = decoded.routes
    assert rule.kind is RequestKind.STREAMING
    assert rule.final_stages == (1,)
    assert not rule.repeatable
    assert decoded.services["e"].batching.result_memory_bytes == 69_000_000
    assert decoded.workspaces is None


@pytest.mark.parametrize(
    "entry",
    [
        {},
        {"service": 7, "addr": "h:1", "zone": "a", "state": "ready", "version": "v"},
        {"service": "s", "addr": "h", "zone": "a", "state": "ready", "version": "v"},
        {"service": "s", "addr": "h:1", "zone": "a", "state": "sleepy", "version": "v"},
        {"service": "s", "addr": "h:1", "zone": "a", "state": "ready"},
        "text",
        None,
    ],
)
def test_a_malformed_worker_entry_is_rejected(entry):
    with pytest.raises(ValueError, match="worker entry w1"):
        decode_worker("w1", entry)


def test_a_worker_entry_contains_its_incarnation():
    entry = {
        "service": "s",
        "addr": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "state": "draining",
        "slots": 4,
        "born": 17,
    }
    worker = decode_worker("w1", entry)
    assert (worker.state, worker.key) == (WorkerState.DRAINING, "w1/17")


def test_malformed_loads_decode_to_none():
    assert decode_load("3,0,8").slots == 8
    assert decode_load("3,0") is None
    assert decode_load("a,b,c") is None
    assert decode_load(f"{10**30},0,8") is None


def test_odd_slowdowns_hide_nothing_else_of_a_load():
    # Reports with a fourth figure were dropped as a whole.
    assert decode_load("3,0,8") == WorkerLoad(3, 0, 8, None)
    assert decode_load("3,0,8,300") == WorkerLoad(3, 0, 8, 3.0)
    assert decode_load("3,0,8, 87.5 ,x,,9").slowdown == 0.875
    for odd in ("", "-300", "0", "nan", "inf", "1e3", "1_00", "9" * 5_000, "x"):
        assert decode_load(f"3,0,8,{odd}") == WorkerLoad(3, 0, 8, None)
        assert is_malformed_load(f"3,0,8,{odd}")
    assert not is_malformed_load("3,0,8") and not is_malformed_load("3,0,8,300,7")


def test_request_metadata_is_decoded():
    metadata = decode_request_metadata(
        {
            b"attempt-id": b"a1",
            b"deadline-ms": b"8000",
            b"token-count": b"1460,80",
            b"prompt-prefix": b"5c:800,91:410,e4:250",
            b"chunk-count": b"3,0",
            b"chunk-key": b"k",
        }
    )
    assert (metadata.deadline_ms, metadata.prompt_tokens, metadata.output_tokens) == (
        8_000,
        1_460,
        80,
    )
    assert [part.tokens for part in metadata.parts] == [800, 410, 250]
    assert metadata.piece_counts == (3, 0)


def test_malformed_request_metadata_counts_as_absent():
    metadata = decode_request_metadata(
        {b"deadline-ms": b"soon", b"token-count": b"x,y"}
    )
    assert metadata.deadline_ms is None
    assert (metadata.prompt_tokens, tuple(metadata.parts)) == (0, ())


def test_reserved_and_connection_headers_are_not_forwarded():
    headers = [
        (b"Host", b"h"),
        (b"X-Own", b"1"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Key", b"secret"),
        (b"Kv-Backup", b"x"),
        (b"Content-Length", b"3"),
    ]
    sent = forwarded_headers(headers, 700.9, "w1", "hotels", ["h/1"], "4")
    assert sent == [
        (b"Host", b"h"),
        (b"X-Own", b"1"),
        (b"Deadline-Ms", b"700"),
        (b"Expect-Instance", b"w1"),
        (b"Tenant", b"hotels"),
        (b"Inputs", b"h/1"),
        (b"Last-Event-Id", b"4"),
    ]


@pytest.mark.parametrize(
    ("status", "values", "not_run"),
    [
        (503, {b"not-run": b"1"}, True),
        (503, {}, False),
        (421, {}, True),
        (200, {}, False),
    ],
)
def test_not_run_requires_a_statement_of_the_worker(status, values, not_run):
    assert decode_response_metadata(ResponseHead(status, [], values)).not_run is not_run


def test_pieces_are_encoded_with_key_or_inputs():
    body = encode_run(
        [
            (Piece("a1", 0, 2, "k", ()), 900.0),
            (Piece("a1", 1, 0, "k", ("h/1",)), 0.2),
        ]
    )
    assert body == (
        b'{"items":[{"id":"a1","stage":0,"segment":2,"remaining_ms":900,"key":"k"},'
        b'{"id":"a1","stage":1,"segment":0,"remaining_ms":1,"inputs":["h/1"]}]}'
    )


def test_outcomes_of_pieces_are_decoded_in_order():
    body = b'{"items":[{"handle":"h/1"},{"reason":"gone"},{"reason":"odd"}]}'
    made, gone, odd = decode_run(body, 3)
    assert made.handle == "h/1"
    assert gone.failure is PieceFailure.INPUT_MISSING
    assert odd.failure is PieceFailure.ERROR


@pytest.mark.parametrize("body", [b"", b"{}", b'{"items":[{"handle":"h"}]}', b"\xff"])
def test_a_malformed_response_of_a_stage_worker_is_an_error(body):
    with pytest.raises(ValueError):
        decode_run(body, 2)


def test_a_resumption_names_the_last_event_and_the_first_attempt():
    after, attempt = (b"Last-Event-Id", b"7"), (b"Resumes", b"a1")
    decode = decode_resumption
    assert decode([after, attempt]) == Resumption("7", AttemptId("a1"))
    assert decode([after]) == Resumption("7", None)
    assert decode([attempt]) is None
    assert decode([(b"Last-Event-Id", b"")]) is None
    for malformed in (b"", b"a b", b"\xff", b"x" * 257):
        with pytest.raises(ValueError, match="malformed"):
            decode([after, (b"Resumes", malformed)])
    for twice in ([after, after], [after, attempt, attempt]):
        with pytest.raises(ValueError, match="twice"):
            decode(twice)
