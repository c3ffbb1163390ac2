"""Guards against prompts of many parts that fill the memory of a gateway."""

import random
import tracemalloc

import pytest

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.placement import Placement
from acaciapier.gateway.dispatch.prefix_cache import (
    MAX_PREFIXES,
    PrefillLog,
    PrefixCacheModel,
    hash_prefixes,
)
from acaciapier.gateway.dispatch.slot_requests import SlotRequest
from acaciapier.gateway.dispatch.slots import SlotAllocator
from acaciapier.gateway.models import EngineSpec, ServiceRule
from acaciapier.gateway.part_quarantine import MAX_PART_ID_CHARS, PartQuarantine
from acaciapier.platform.requests import decode_request_metadata

from .stage_load import make_worker

CAPACITY_TOKENS = 635_140


def make_parts(
    number: int, count: int, tokens: int = 40
) -> tuple[tuple[str, int], ...]:
    return tuple((f"{number:x}a{part:x}", tokens) for part in range(count))


def traced_bytes(play) -> int:
    """Return the memory that the result of `play` keeps."""
    tracemalloc.start()
    try:
        kept = play()
        size_bytes, _ = tracemalloc.get_traced_memory()
        del kept
        return size_bytes
    finally:
        tracemalloc.stop()


def place_prompts(prompts: int, count: int, tokens: int = 40) -> Placement:
    """Return a placement that has granted prompts of some parts to three workers."""
    rule = ServiceRule("model", 500, EngineSpec(96, CAPACITY_TOKENS))
    placement = SlotAllocator(rule).placement
    workers = [make_worker("model", number) for number in range(3)]
    for number in range(prompts):
        parts = make_parts(number, count, tokens)
        request = SlotRequest(f"p{number}", "edge-1", 9.0, 9.0, parts=parts)
        placement.record_granted(request, workers[number % 3], 0.001 * number)
    return placement


def test_what_is_kept_of_a_prompt_grows_with_its_parts_and_not_with_their_square():
    short, long = (traced_bytes(lambda n=n: place_prompts(4, n)) for n in (300, 1_200))
    assert long < 6 * short
    assert long < 4 * 1_200 * 500


@pytest.mark.parametrize("tokens", [0, 1, 40])
def test_prompts_of_many_parts_take_a_bounded_amount_of_memory(tokens):
    # Parts may name no tokens, so the tokens of a worker bound nothing.
    size_bytes = traced_bytes(lambda: place_prompts(200, 2_500, tokens))
    assert size_bytes < 60_000_000


def test_the_tables_of_a_service_share_one_bound():
    placement = place_prompts(150, 2_500, tokens=0)
    caches = placement._prefix_caches.values()
    assert sum(map(len, caches)) <= 2 * MAX_PREFIXES
    assert len(placement._prefills) <= MAX_PREFIXES


def test_a_request_keeps_its_parts_in_about_the_memory_of_their_header():
    header = b",".join(b"%x:4" % number for number in range(2_000))
    size_bytes = traced_bytes(
        lambda: decode_request_metadata({b"prompt-prefix": header})
    )
    assert size_bytes < 4 * len(header)
    metadata = decode_request_metadata({b"prompt-prefix": header})
    assert [part.id for part in metadata.parts] == [f"{n:x}" for n in range(2_000)]
    assert metadata.shared_part_ids == tuple(f"{n:x}" for n in range(1_999))


def test_the_first_prefixes_of_a_prompt_are_kept():
    cache = PrefixCacheModel(CAPACITY_TOKENS)
    prefixes = hash_prefixes(make_parts(1, 50))
    cache.record(prefixes, max_prefixes=10)
    assert len(cache) == 10
    assert cache.cached_tokens(prefixes) == 10 * 40


def test_a_prefix_is_told_from_another_order_of_its_parts():
    cache, log = PrefixCacheModel(CAPACITY_TOKENS), PrefillLog()
    parts = (("a", 10), ("b", 20), ("c", 30), ("own", 40))
    cache.record(hash_prefixes(parts))
    log.record(hash_prefixes(parts), 1_000.0, 0.0)
    other = hash_prefixes((("b", 20), ("a", 10), ("c", 30), ("own", 40)))
    same = hash_prefixes((*parts[:3], ("other", 50)))
    assert cache.cached_tokens(same) == 60
    assert cache.cached_tokens(other) == 0
    assert log.recent_tokens(same, 1_000.0, 0.5) == 60
    assert log.recent_tokens(other, 1_000.0, 0.5) == 0
    assert log.recent_tokens(same, 1_000.0, 1.5) == 0


def test_parts_that_are_known_to_be_good_have_short_ids():
    quarantine = PartQuarantine(ManualClock(), lambda key: True)
    worker = make_worker("model", 1)
    long = ["x" * (MAX_PART_ID_CHARS + 1), "x" * 16_000]
    quarantine.record_written([*long, "short"], worker, 0.0)
    assert list(quarantine._known_good) == ["short"]


def test_blocks_of_parts_that_crashed_together_share_their_rivals():
    clock = ManualClock()
    quarantine = PartQuarantine(clock, lambda key: True)
    parts = [f"{number:x}" for number in range(1_200)]
    for number in (1, 2):
        clock.advance(1.0)
        quarantine.record_crash(parts, make_worker("model", number))
    assert traced_bytes(quarantine.blocks) < 3_000_000
    assert len(quarantine.blocks()) == len(parts)
    # A request without all rivals shows which of them is the cause.
    assert quarantine.blocked_part(parts, "a1") == parts[0]
    assert quarantine.blocked_part(random.sample(parts, 600), "a2") is None
