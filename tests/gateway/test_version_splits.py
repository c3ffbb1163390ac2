"""Splits of attempts between software versions: their shares, changes and format."""

import pytest

from acaciapier.gateway.dispatch.version_times import VersionTimes
from acaciapier.gateway.models import AttemptId, ServiceName, SoftwareVersion
from acaciapier.gateway.software_versions import FORGET_AFTER_MS
from acaciapier.gateway.version_splits import (
    CHANGE_MARGIN_MS,
    MIN_KEEP_MS,
    ServiceSplits,
    SplitGeneration,
    SplitRecord,
    VersionSplit,
    merged_splits,
    updated_splits,
)
from acaciapier.platform import splits as entry_format

V1, V2, V3 = map(SoftwareVersion, ("v1", "v2", "v3"))
MODEL = ServiceName("model")
ATTEMPTS = [AttemptId(f"{number:016x}") for number in range(2_000)]
NOW_MS = 1_800_000_000_000
LIFE_MS = 60_000.0


def split(**slots: int) -> VersionSplit:
    return VersionSplit.by_capacity({SoftwareVersion(k): n for k, n in slots.items()})


def share(of: VersionSplit, version: SoftwareVersion) -> float:
    return sum(of.version_of(one) == version for one in ATTEMPTS) / len(ATTEMPTS)


def test_ids_are_shared_out_by_capacity():
    assert share(split(v1=64, v2=64), V1) == pytest.approx(0.5, abs=0.05)
    assert share(split(v1=60, v2=20), V2) == pytest.approx(0.25, abs=0.05)
    assert share(split(v1=1_000, v2=1), V2) == pytest.approx(1 / 17, abs=0.03)


def test_all_instances_give_an_id_to_the_same_version():
    """Guards against a change of the hash: builds run side by side, on any machine."""
    even = split(v1=8, v2=8)
    assert "".join(even.version_of(one)[1] for one in ATTEMPTS[:24]) == (
        "221122212111212111221112"
    )


def test_a_change_moves_ids_only_between_the_versions_that_change():
    before, after = split(v1=12, v2=4), split(v1=8, v2=8)
    moved = {
        (before.version_of(one), after.version_of(one))
        for one in ATTEMPTS
        if before.version_of(one) != after.version_of(one)
    }
    assert moved == {(V1, V2)}


def test_a_split_is_kept_until_a_share_is_far_off():
    now = split(v1=20, v2=20)
    assert now.fits({V1: 20, V2: 20})
    assert now.fits({V1: 20, V2: 26})
    assert not now.fits({V1: 20, V2: 60})
    assert not now.fits({V1: 20})
    assert not now.fits({V1: 20, V2: 20, V3: 1})


def test_ids_on_which_splits_disagree_have_no_version_until_the_old_one_is_past():
    before, after = split(v1=12, v2=4), split(v1=8, v2=8)
    splits = ServiceSplits(before).replaced_by(after, NOW_MS)
    past_ms = NOW_MS + LIFE_MS + CHANGE_MARGIN_MS + 1.0
    for one in ATTEMPTS[:200]:
        old, new = before.version_of(one), after.version_of(one)
        during = splits.version_of(one, LIFE_MS, NOW_MS + 1_000)
        assert during == (new if old == new else None)
        assert splits.version_of(one, LIFE_MS, int(past_ms)) == new


def test_the_version_that_served_alone_counts_as_a_former_split():
    """Guards against taking streams of before for those of a version that joined."""
    splits = updated_splits(
        {},
        {MODEL: {V1: 8, V2: 8}},
        [MODEL],
        {MODEL: VersionSplit.single(V1)},
        {},
        [],
        NOW_MS,
    )[MODEL]
    assert splits.current.versions == {V1, V2}
    known = {splits.version_of(one, LIFE_MS, NOW_MS) for one in ATTEMPTS}
    assert known == {V1, None}


def test_streams_of_a_timeout_that_was_lowered_still_count():
    known = {MODEL: ServiceSplits(split(v1=8, v2=8), {}, 40_000.0)}
    slots = {MODEL: {V1: 8, V2: 8}}
    lowered = updated_splits(known, slots, [MODEL], {}, {MODEL: 20_000.0}, [], NOW_MS)
    assert lowered == known
    raised = updated_splits(known, slots, [MODEL], {}, {MODEL: 80_000.0}, [], NOW_MS)
    assert raised[MODEL].life_ms == 80_000.0


def test_a_service_with_one_version_has_no_split():
    assert updated_splits({}, {MODEL: {V1: 8}}, [], {}, {}, [], NOW_MS) == {}


def test_a_version_without_workers_gets_no_more_ids():
    known = {MODEL: ServiceSplits(split(v1=8, v2=8))}
    splits = updated_splits(known, {MODEL: {V2: 8}}, [MODEL], {}, {}, [], NOW_MS)[MODEL]
    assert splits.current.versions == {V2}
    assert splits.former == {split(v1=8, v2=8): NOW_MS}
    none_left = updated_splits(known, {MODEL: {}}, [MODEL], {}, {}, [], NOW_MS)
    assert none_left == known


def test_shares_are_adjusted_by_one_instance_and_not_too_often():
    known = {MODEL: ServiceSplits(split(v1=8, v2=8)).replaced_by(split(v1=1), NOW_MS)}
    rates = {MODEL: {V1: 30.0, V2: 10.0}}
    for adjustable, after_ms, changed in (
        ([], MIN_KEEP_MS, False),
        ([MODEL], MIN_KEEP_MS - 1, False),
        ([MODEL], MIN_KEEP_MS, True),
    ):
        now_ms = NOW_MS + after_ms
        updated = updated_splits(known, rates, [MODEL], {}, {}, adjustable, now_ms)
        assert (updated != known) == changed
        if changed:
            assert updated[MODEL].current == split(v1=12, v2=4)


def test_a_slow_version_gets_fewer_ids():
    """Guards against streams that wait at a slow version beside free slots."""
    times = VersionTimes()
    for _ in range(100):
        times.record(V1, 350.0)
        times.record(V2, 875.0)
    rates = times.rates({V1: 24, V2: 24, V3: 6})
    assert rates[V1] == pytest.approx(68.6, abs=0.1)
    assert rates[V2] == pytest.approx(27.4, abs=0.1)
    assert rates[V3] == pytest.approx(9.8, abs=0.1)


def test_a_split_that_returns_and_one_that_is_past_are_not_former():
    even, single = split(v1=8, v2=8), VersionSplit.single(V1)
    splits = ServiceSplits(even).replaced_by(single, NOW_MS)
    splits = splits.replaced_by(even, NOW_MS + 5_000)
    assert splits == ServiceSplits(even, {single: NOW_MS + 5_000})
    later_ms = NOW_MS + int(FORGET_AFTER_MS) + 5_001
    assert splits.pruned(later_ms) == ServiceSplits(even)


def test_what_a_restored_store_has_lost_still_counts():
    """Guards against a split that was in force and is in no record any more."""
    first, lost, next_ = split(v1=12, v2=4), split(v1=8, v2=8), split(v1=4, v2=12)
    older = {MODEL: ServiceSplits(first).replaced_by(lost, NOW_MS)}
    newer = {MODEL: ServiceSplits(first).replaced_by(next_, NOW_MS + 1_000)}
    merged = merged_splits(newer, older, NOW_MS + 2_000)[MODEL]
    assert merged.current == next_
    assert merged.former == {first: NOW_MS + 1_000, lost: NOW_MS + 2_000}
    unchanged = merged_splits(newer, newer, NOW_MS + 3_000)
    assert unchanged == newer


def test_records_are_decoded_as_they_were_encoded():
    splits = ServiceSplits(split(v1=12, v2=4), {}, LIFE_MS).replaced_by(
        split(v1=8, v2=8), NOW_MS
    )
    record = SplitRecord({MODEL: splits}, LIFE_MS, SplitGeneration(2, 7))
    assert entry_format.decode_record(entry_format.encode_record(record)) == record


@pytest.mark.parametrize(
    "services",
    [
        {"model": {"units": {}, "former": [], "life_ms": 1}},
        {"model": {"units": {"v1": 0}, "former": [], "life_ms": 1}},
        {"model": {"units": {"v1": 10_000}, "former": [], "life_ms": 1}},
        {"model": {"units": {"v1": 1}, "former": [{"units": {"v2": 1}}], "life_ms": 1}},
        {"model": 5},
        None,
    ],
)
def test_a_malformed_record_is_rejected(services):
    value = {"services": services, "within_ms": 0.0, "term": 1, "number": 1}
    with pytest.raises(ValueError, match="malformed"):
        entry_format.decode_record(value)
