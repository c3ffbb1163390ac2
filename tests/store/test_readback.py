"""Tests of updates whose lost answers are read back."""

import pytest

from acaciapier.exceptions import StoreUnavailable, VersionConflict
from acaciapier.store import Purpose, put_recognised
from store_fakes import StoreTable


class ScriptedStore:
    """A store whose puts and gets fail as the script says, one word for each call."""

    def __init__(self, *script):
        self.table = StoreTable()
        self.script = list(script)

    async def get(self, kind, name, *, purpose):
        if self.script.pop(0) == "out":
            raise StoreUnavailable()
        return self.table.get(kind, name)

    async def put(self, kind, name, value, if_version, *, purpose):
        fate = self.script.pop(0)
        if fate == "lost_before":
            raise StoreUnavailable(may_have_landed=True)
        version = self.table.put(kind, name, value, if_version)
        if fate == "lost_after":
            raise StoreUnavailable(may_have_landed=True)
        return version


async def put(store, batch="ours", if_version=0):
    return await put_recognised(
        store,
        "leases",
        "a",
        {"batch": batch},
        if_version,
        lambda stored: stored.value["batch"] == batch,
        purpose=Purpose.LEASES,
    )


async def test_an_update_that_landed_is_recognised():
    assert await put(ScriptedStore("lost_after", "ok")) == 1


async def test_an_update_that_did_not_land_may_still_do_so():
    with pytest.raises(StoreUnavailable) as caught:
        await put(ScriptedStore("lost_before", "ok"))
    assert caught.value.may_have_landed


async def test_a_resend_that_meets_its_own_update_has_landed():
    store = ScriptedStore("lost_after", "out", "ok", "ok")
    with pytest.raises(StoreUnavailable):
        await put(store)
    assert await put(store) == 1


async def test_the_update_of_another_is_a_conflict():
    store = ScriptedStore("ok", "ok", "ok")
    await put(store, "theirs")
    with pytest.raises(VersionConflict):
        await put(store)


async def test_a_conflict_that_cannot_be_read_may_be_with_an_earlier_sending():
    store = ScriptedStore("ok", "ok", "out")
    await put(store)
    with pytest.raises(StoreUnavailable) as caught:
        await put(store)
    assert caught.value.may_have_landed
