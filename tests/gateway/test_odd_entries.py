"""Entries of other writers among those of the workers and instances."""

import json
import time

import pytest
import trio
from msgspec.structs import replace

from acaciapier.exceptions import StoreUnavailable
from acaciapier.gateway.models import UNKNOWN_COLD_MS
from acaciapier.gateway.settings import Address
from acaciapier.http.client import ConnectFailed, HttpConnection
from acaciapier.platform.pages import AmbiguousEvents, decode_events, decode_page
from acaciapier.platform.requests import decode_request_metadata
from acaciapier.platform.store import PlatformStore
from acaciapier.platform.workers import (
    PEER_KIND,
    WORKER_KIND,
    decode_peer,
    decode_worker,
    odd_cold_time,
)
from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.platform import configuration
from acaciapier_standins.platform.store import RawSpec, StandInStore

from .support import SERVICES, deployment

ENTRY = {
    "service": '"book"',
    "addr": '"127.0.0.1:9"',
    "zone": '"a"',
    "state": '"ready"',
    "version": '"v"',
    "slots": "4",
    "cold_left_ms": "0",
    "born": "1",
}


def entry(**fields: str) -> bytes:
    """Return a worker's entry as JSON, with some fields written as given."""
    written = (f'"{name}": {value}' for name, value in (ENTRY | fields).items())
    return f"{{{', '.join(written)}}}".encode("latin-1")


DEEP = "[" * 3_000 + "]" * 3_000
ODD = {
    "deep": entry(more=DEEP),
    "very-deep": entry(more="[" * 200_000 + "]" * 200_000),
    "deep-objects": entry(more='{"a":' * 3_000 + "1" + "}" * 3_000),
    "out-of-range": entry(born="1e999"),
    "out-of-range-elsewhere": entry(more="-1e400"),
    "half-surrogate": entry(zone='"\\ud800"'),
    "no-utf8": entry(zone='"\xff\xfe"'),
    "no-json": b"no json at all",
    "nan": entry(slots="NaN"),
    "null": b"null",
    "list": b"[]",
    "port-large": entry(addr='"127.0.0.1:70000"'),
    "port-0": entry(addr='"127.0.0.1:0"'),
    "port-long": entry(addr='"127.0.0.1:' + "9" * 5_000 + '"'),
    "port-superscript": entry(addr='"127.0.0.1:\xb2"'),
    "host-empty-label": entry(addr='"a..b:80"'),
    "host-long-label": entry(addr='"' + "a" * 300 + ':80"'),
    "host-nul": entry(addr='"127.0.0.1\\u0000:80"'),
    "born-digits": entry(born="9" * 400),
    "born-large": entry(born=str(2**70)),
    "born-negative": entry(born="-1"),
    "slots-negative": entry(slots="-5"),
    "slots-0": entry(slots="0"),
    "slots-large": entry(slots="1000000000000000"),
    "slots-digits": entry(slots="9" * 30),
}
ODD_COLD = ["1e308", "-1", "3600001", '"900"', "true", "[]", '{"a": 1}']


def page_with(odd: bytes, name: str = "odd") -> bytes:
    specs = {"first": entry(), name: odd, "last": entry()}
    objects = [
        b'{"metadata": {"name": "%s", "rev": %d}, "spec": %s, "status": {}}'
        % (one.encode(), rev, spec)
        for rev, (one, spec) in enumerate(specs.items(), start=2)
    ]
    return b'{"items": [%s], "has_more": false, "current_rev": 7}' % b",".join(objects)


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_an_odd_entry_names_no_worker_and_hides_no_other(odd):
    page = decode_page(page_with(odd))
    assert page.current_rev == 7
    assert [item.metadata.name for item in page.items] == ["first", "odd", "last"]
    first, other, last = (item.spec for item in page.items)
    assert decode_worker("first", first).port == decode_worker("last", last).port == 9
    with pytest.raises(ValueError):
        decode_worker("odd", other)


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_an_odd_entry_hides_no_change_of_another(odd):
    objects = page_with(odd)
    start, end = objects.index(b"[") + 1, objects.rindex(b"]")
    changes = objects[start:end].replace(b'{"metadata"', b'{"object": {"metadata"')
    changes = changes.replace(b'"status": {}}', b'"status": {}}, "deleted": false}')
    events = decode_events(b'{"events": [%s], "current_rev": 8}' % changes).events
    assert [event.object.metadata.name for event in events] == ["first", "odd", "last"]
    assert decode_worker("last", events[2].object.spec).slots == 4


UNMATCHED = {
    "cut": b'{"service":"book","addr":"127.0.0.1:70',
    "empty": b"",
    "bracket": b"[",
    "brace": b'{"a":',
    "quote": b'"',
    "quote-in-text": b'{"a":"b}',
    "escape": b'"\\',
    "closing-bracket": b"]",
    "closing-braces": b"}}",
    "closed-early": b"1}",
    "comma": b",",
    "object-inside": b'[{"metadata":{"name":"x"},"spec":1',
    "many": b'[{"' * 30_000,
    "many-closing": b"]}" * 30_000,
    "like-items": b',{"metadata":' * 2_000,
}


def read(page: bool, specs: list[bytes]) -> dict:
    """Return the values of objects that a list, or a watch, tells beside each other."""
    template = b'{"metadata":{"name":"%s","rev":%d},"spec":%s,"status":null}'
    objects = [
        template % (f"w{number}".encode(), number + 1, spec)
        for number, spec in enumerate(specs)
    ]
    if page:
        body = b'{"items":[%s],"has_more":true,"current_rev":530}'
        decoded = decode_page(body % b",".join(objects))
        assert decoded.has_more
        found = decoded.items
    else:
        events = [b'{"deleted":false,"object":%s}' % one for one in objects]
        body = b'{"events":[%s],"current_rev":530}'
        decoded = decode_events(body % b",".join(events))
        found = [event.object for event in decoded.events]
    assert decoded.current_rev == 530
    return {one.metadata.name: one.spec for one in found if one.metadata.name}


@pytest.mark.parametrize("page", [True, False], ids=["list", "watch"])
@pytest.mark.parametrize("odd", UNMATCHED.values(), ids=UNMATCHED)
@pytest.mark.parametrize("places", [[0], [1], [3], [0, 1], [1, 2], [0, 3]])
def test_an_entry_whose_brackets_do_not_match_hides_no_other(page, odd, places):
    sound = entry()
    specs = [odd if number in places else sound for number in range(4)]
    found = read(page, specs)
    for number in range(4):
        if number in places:
            with pytest.raises(ValueError):
                decode_worker(f"w{number}", found.get(f"w{number}"))
        else:
            assert decode_worker(f"w{number}", found[f"w{number}"]).slots == 4


def quotation(store: StandInStore, kind: str) -> RawSpec:
    """Return the list of a kind as another writer may store it: its end is missing."""
    objects = [store.object(kind, name) for name in store.names(kind)]
    return RawSpec(json.dumps({"items": objects}).encode()[:-25])


@pytest.mark.parametrize("name", ["aaa", "book-10", "zzz"])
async def test_an_unreadable_entry_brings_back_no_worker_that_it_quotes(name):
    # DRAIN: a worker that had left was ready again, as a cut copy of the list held it.
    async with deployment(gateways=2) as world:
        store = world.platform.store
        cut = quotation(store, WORKER_KIND)
        store.delete(WORKER_KIND, "book-1")
        world.platform.register("book-2", state="draining")
        store.put(WORKER_KIND, name, cut)
        await world.platform.add_worker("book-9", "book")
        await world.add_gateway()
        for number in range(2):
            if number:
                store.delete(WORKER_KIND, name)
                await world.platform.add_worker("book-8", "book")
            expected = {"book-9", "book-8"} if number else {"book-9"}
            for gateway in world.gateways:
                workers = gateway.catalogue.workers
                await world.until(lambda w=workers, e=expected: e <= w.keys())
                serving = {worker.id for worker in gateway.catalogue.workers_of("book")}
                assert serving == expected
                assert "book-1" not in workers


def revisions(first: int, names: list[str]) -> list[bytes]:
    template = b'{"metadata":{"name":"%s","rev":%d},"spec":%s,"status":null}'
    return [
        template % (name.encode(), rev, entry())
        for rev, name in enumerate(names, start=first)
    ]


def unreadable(rev: int, quoted: list[bytes]) -> bytes:
    text = b'{"items":[%s' % b",".join(quoted)
    return b'{"metadata":{"name":"m","rev":%d},"spec":%s,"status":null}' % (
        rev,
        text[:-25],
    )


@pytest.mark.parametrize("quoted", [["a", "z"], ["n", "o", "p"], ["x", "x"]])
def test_a_page_is_cut_after_an_unreadable_object_that_quotes_others(quoted):
    objects = [*revisions(2, ["l"]), unreadable(9, revisions(1, quoted))]
    body = b'{"items":[%s],"has_more":false,"current_rev":30}'
    page = decode_page(body % b",".join([*objects, *revisions(3, ["n", "z"])]))
    assert [item.metadata.name for item in page.items] == ["l", "m"]
    assert page.has_more
    page = decode_page(body % b",".join([*objects, *revisions(10, ["n", "z"])]))
    assert [item.metadata.name for item in page.items][:2] == ["l", "m"]


@pytest.mark.parametrize("quoted", [["a", "b", "z"], ["n", "o", "p"]])
def test_changes_are_cut_after_an_unreadable_object_that_quotes_others(quoted):
    body = b'{"events":[%s],"current_rev":30}'
    objects = [*revisions(8, ["l"]), unreadable(9, revisions(1, quoted))]
    changes = [b'{"object":%s}' % one for one in [*objects, *revisions(10, ["z"])]]
    events = decode_events(body % b",".join(changes), since=7)
    assert [event.object.metadata.name for event in events.events] == ["l", "m"]
    assert events.current_rev == 9


def test_changes_after_a_deleted_object_that_quotes_others_are_listed_anew():
    # The object of a deletion may name a revision that has been read before.
    removed = b'{"deleted":true,"object":%s}' % unreadable(
        9, revisions(1, ["a", "b", "z"])
    )
    body = b'{"events":[%s],"current_rev":30}' % removed
    with pytest.raises(AmbiguousEvents):
        decode_events(body, since=9)


def test_thousands_of_entries_without_an_end_are_read_in_time():
    specs = [b'{"service":"book' if number % 2 else entry() for number in range(4_000)]
    start_s = time.perf_counter()
    found = read(True, specs)
    assert time.perf_counter() - start_s < 1.0
    assert sum(spec is not None for spec in found.values()) == 2_000


@pytest.mark.parametrize(
    "kind", [WORKER_KIND, PEER_KIND, "config", "acaciapier-serving"]
)
async def test_gateways_start_and_follow_beside_an_entry_without_an_end(kind):
    # One such entry stopped all changes of its kind, and a start never ended.
    cut = RawSpec(b'{"service":"book","addr":"127.0.0.1:70')
    async with deployment(gateways=2) as world:
        for name in ("aaa", "book-10", "zzz"):
            world.platform.store.put(kind, name, cut)
        await world.add_gateway()
        await world.until(lambda: world.gateways[2].catalogue.complete)
        world.platform.register("book-1", state="draining")
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: (
                    [worker.id for worker in gateway.catalogue.workers_of("book")]
                    == ["book-2"]
                )
            )
            await world.until(lambda gateway=gateway: gateway.peers.live_count == 3)
        world.platform.configure(configuration(2, ROUTES[:1], SERVICES))
        for gateway in world.gateways:
            await world.until(lambda gateway=gateway: gateway.catalogue.version == 2)


@pytest.mark.parametrize("value", [*ODD_COLD, "null"])
def test_an_odd_cold_time_hides_nothing_else_of_its_worker(value):
    spec = decode_page(page_with(entry(cold_left_ms=value))).items[1].spec
    decoded, usual = decode_worker("w", spec), decode_worker("w", entry_spec())
    assert decoded.cold_ms == UNKNOWN_COLD_MS
    assert replace(decoded, cold_ms=0.0) == usual
    assert (odd_cold_time(spec) is None) == (value == "null")


def entry_spec():
    return decode_page(page_with(entry())).items[0].spec


async def test_an_odd_cold_time_is_logged_once(capfd):
    async with deployment() as world:
        for seq in (2, 3):
            world.platform.register("book-1", cold_left_ms=-5, seq=seq)
            position = world.gateways[0].catalogue.workers_position
            await world.until(
                lambda p=position: world.gateways[0].catalogue.workers_position > p
            )
        assert len(world.gateways[0].catalogue.workers_of("book")) == 2
        await trio.sleep(0.2)
    assert capfd.readouterr().out.count('"cold_time_ignored"') == 1


def test_a_host_name_is_no_odd_entry():
    body = page_with(entry(addr='"workers.example:80"'))
    assert decode_worker("w", decode_page(body).items[1].spec).host == "workers.example"


@pytest.mark.parametrize("name", ["a\r\nb", "\u00e9", "a" * 256, "\x00"])
def test_an_entry_whose_name_fits_in_no_header_names_no_worker(name):
    spec = decode_page(page_with(entry())).items[0].spec
    with pytest.raises(ValueError):
        decode_worker(name, spec)


@pytest.mark.parametrize(
    "fields",
    [
        {"port": 70_000},
        {"port": 0},
        {"host": "a..b"},
        {"host": ""},
        {"started_ms": -1},
        {"started_ms": 2**70},
        {"capacity": 1e308},
        {"capacity": 0.0},
        {"port": None},
    ],
)
def test_an_odd_entry_names_no_instance(fields):
    known = {"host": "127.0.0.1", "port": 1, "zone": "a", "started_ms": 1}
    assert decode_peer("edge-9", known).port == 1
    with pytest.raises(ValueError):
        decode_peer("edge-9", known | fields)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items": [{]}', b"\xff", b'{"a": 1}'])
def test_an_answer_that_is_no_list_is_an_error_of_the_store(body):
    with pytest.raises(ValueError):
        decode_page(body)


@pytest.mark.parametrize(
    "host, port", [("127.0.0.1", 70_000), ("a..b", 80), ("a\0b", 80), ("a" * 99, 80)]
)
async def test_an_address_to_which_nothing_can_connect_is_unreachable(host, port):
    with pytest.raises(ConnectFailed):
        await HttpConnection.open(host, port, 500.0)


def test_numbers_of_thousands_of_digits_in_headers_are_ignored():
    digits = b"9" * 5_000
    metadata = decode_request_metadata(
        {
            b"deadline-ms": digits,
            b"token-count": digits + b"," + digits,
            b"chunk-count": digits,
            b"prompt-prefix": b"a:" + digits,
        }
    )
    assert metadata.deadline_ms is None


def test_an_object_without_a_readable_name_hides_no_other():
    body = page_with(entry()).replace(b'{"name": "odd", "rev": 3}', b"7")
    page = decode_page(body)
    assert [item.metadata.name for item in page.items] == ["first", "", "last"]


async def test_a_store_whose_answers_are_malformed_is_unavailable():
    store = PlatformStore(Address("127.0.0.1", 1))

    async def answer(*args, **kwargs):
        return type("Answer", (), {"body": b"{", "term": 0})

    store._call = answer
    with pytest.raises(StoreUnavailable):
        await store.list(WORKER_KIND)


@pytest.mark.parametrize("by_list", [False, True])
async def test_instances_follow_workers_and_configurations_beside_odd_entries(by_list):
    async with deployment(gateways=2) as world:
        store = world.platform.store
        for name, odd in ODD.items():
            store.put(WORKER_KIND, f"odd-{name}", RawSpec(odd))
            store.put(PEER_KIND, f"odd-{name}", RawSpec(odd))
        if by_list:
            store.compact()
        await world.platform.add_worker("book-9", "book")
        world.platform.configure(configuration(2, ROUTES, SERVICES))
        for gateway in world.gateways:
            await world.until(lambda g=gateway: "book-9" in g.catalogue.workers)
            await world.until(lambda g=gateway: g.catalogue.configuration.version == 2)
            assert len(gateway.catalogue.workers) == 9
            assert gateway.peers.live_count == 2
        for number in range(10):
            path = f"/lookup/{number}"
            answer = await world.caller().request("GET", path, Attempt_Id=f"a{number}")
            assert answer.status == 200
