"""Tests of writes that are verified by a read after a lost answer."""

import pytest

from acaciapier.exceptions import StoreUnavailable, VersionConflict
from acaciapier.store import Purpose, put_with_readback
from store_fakes import StoreTable


class ScriptedStore:
    """A store that takes the outcome of each put and get from a script."""

    def __init__(self, *script):
        self.table = StoreTable()
        self.script = list(script)

    async def get(self, kind, name, *, purpose):
        if self.script.pop(0) == "out":
            raise StoreUnavailable()
        return self.table.get(kind, name)

    async def put(self, kind, name, value, if_version, *, purpose):
        outcome = self.script.pop(0)
        if outcome == "lost_before":
            raise StoreUnavailable(may_have_landed=True)
        version = self.table.put(kind, name, value, if_version)
        if outcome == "lost_after":
            raise StoreUnavailable(may_have_landed=True)
        return version


async def put(store, batch="ours", if_version=0):
    return await put_with_readback(
        store,
        "leases",
        "a",
        {"batch": batch},
        if_version,
        lambda stored: stored.value["batch"] == batch,
        purpose=Purpose.LEASES,
    )


async def test_a_written_update_is_recognized_after_a_lost_answer():
    assert await put(ScriptedStore("lost_after", "ok")) == 1


async def test_an_update_that_is_not_found_may_still_be_written():
    with pytest.raises(StoreUnavailable) as caught:
        await put(ScriptedStore("lost_before", "ok"))
    assert caught.value.may_have_landed


async def test_a_resend_that_conflicts_with_its_own_update_succeeds():
    store = ScriptedStore("lost_after", "out", "ok", "ok")
    with pytest.raises(StoreUnavailable):
        await put(store)
    assert await put(store) == 1


async def test_the_update_of_another_is_a_conflict():
    store = ScriptedStore("ok", "ok", "ok")
    await put(store, "theirs")
    with pytest.raises(VersionConflict):
        await put(store)


async def test_an_unreadable_conflict_may_be_with_an_earlier_attempt():
    store = ScriptedStore("ok", "ok", "out")
    await put(store)
    with pytest.raises(StoreUnavailable) as caught:
        await put(store)
    assert caught.value.may_have_landed
