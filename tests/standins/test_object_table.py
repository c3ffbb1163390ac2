"""Model-based test of the object table against a plain list of its changes."""

import msgspec
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from acaciapier_standins.object_table import Conflict, Missing, ObjectTable

NAMES = strategies.sampled_from(["a", "b"])
OFFSETS = strategies.sampled_from([None, -1, 0, 1])
RUN = settings(max_examples=40, stateful_step_count=25)


class TableMachine(RuleBasedStateMachine):
    """Applies changes to the table and to a log; the log's last word counts."""

    def __init__(self):
        super().__init__()
        self.table = self.build()
        self.log = []

    def build(self):
        return ObjectTable()

    def present(self, name, moment_s=float("inf")):
        words = [(v, x) for at_s, n, v, x in self.log if n == name and at_s <= moment_s]
        return words[-1] if words and words[-1][1] is not None else None

    def if_version(self, name, offset):
        found = self.present(name)
        return None if offset is None else (found[0] if found else 0) + offset

    @rule(name=NAMES, offset=OFFSETS, value=strategies.integers(0, 9))
    def put(self, name, offset, value):
        raw = msgspec.Raw(msgspec.json.encode(value))
        if_version = self.if_version(name, offset)
        moment_s = float(len(self.log))
        if offset in (None, 0):
            version = self.table.put("k", name, raw, if_version, moment_s)
            self.log.append((moment_s, name, version, value))
        else:
            with pytest.raises(Conflict):
                self.table.put("k", name, raw, if_version, moment_s)

    @rule(name=NAMES, offset=OFFSETS)
    def delete(self, name, offset):
        if_version = self.if_version(name, offset)
        moment_s = float(len(self.log))
        if self.present(name) is None:
            with pytest.raises(Missing):
                self.table.delete("k", name, if_version, moment_s)
        elif offset in (None, 0):
            version = self.table.delete("k", name, if_version, moment_s)
            self.log.append((moment_s, name, version, None))
        else:
            with pytest.raises(Conflict):
                self.table.delete("k", name, if_version, moment_s)

    @rule(name=NAMES, back=strategies.integers(0, 5))
    def read_the_past(self, name, back):
        moment_s = float(len(self.log) - back)
        expected = self.present(name, moment_s)
        found = [s for s in self.table.find("k", name, moment_s) if s.name == name]
        assert [(s.version, msgspec.json.decode(s.value)) for s in found] == (
            [expected] if expected else []
        )

    @rule(back=strategies.integers(0, 5))
    def watch(self, back):
        since = max(0, self.table.revision - back)
        seen = [(c.stored.version, c.deleted) for c in self.table.events("k", since)]
        assert seen == [(v, x is None) for _, _, v, x in self.log if v > since]

    @invariant()
    def versions_rise_one_by_one(self):
        versions = [version for _, _, version, _ in self.log]
        assert versions == list(range(1, len(versions) + 1))


class UncheckedTable(ObjectTable):
    """A faulty table that applies updates against any version."""

    def _check(self, kind, name, if_version):
        return None


class UncheckedMachine(TableMachine):
    def build(self):
        return UncheckedTable()


def test_table_agrees_with_the_log():
    run_state_machine_as_test(TableMachine, settings=RUN)


def test_machine_catches_an_unchecked_update():
    with pytest.raises(pytest.fail.Exception):
        run_state_machine_as_test(UncheckedMachine, settings=RUN)
