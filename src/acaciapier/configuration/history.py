"""Reads the history of all changes, or of one declared object."""

from bisect import bisect_right
from dataclasses import dataclass

from result import Err, Ok, Result

from ..objects import Change, Edit
from .archive import ArchiveObjectMissing
from .log import ConfigurationLog
from .requests import Delete, Replace, RequestedChange, RequestedEdit
from .state import ObjectKey


@dataclass(frozen=True)
class ObjectVersion:
    """One version of a declared object, and the change that made it."""

    change: Change
    edit: Edit


@dataclass(frozen=True)
class NotKept:
    """The requested change is not in the history, or not any more."""

    number: int


class History:
    """Reads changes back from the head and the history blocks.

    Parameters
    ----------
    log : ConfigurationLog
        The log to read.
    """

    def __init__(self, log: ConfigurationLog):
        self._log = log

    async def change(self, number: int) -> Change | None:
        """Return one change, or None if the history does not have it."""
        for change in self._log.head.recent:
            if change.number == number:
                return change
        block_starts = await self._log.block_starts()
        position = bisect_right(block_starts, number)
        if position == 0:
            return None
        try:
            block = await self._log.archive.read_block(block_starts[position - 1])
        except ArchiveObjectMissing:
            return None
        for change in block.changes:
            if change.number == number:
                return change
        return None

    async def changes(self, before: int | None, limit: int) -> list[Change]:
        """Return up to `limit` changes below the number `before`, newest first."""
        number = self._log.head.number if before is None else before - 1
        found: list[Change] = []
        while number > 0 and len(found) < limit:
            change = await self.change(number)
            if change is None:
                break
            found.append(change)
            number -= 1
        return found

    async def versions(
        self, key: ObjectKey, limit: int, before: int | None = None
    ) -> list[ObjectVersion]:
        """Return up to `limit` versions of an object, newest first.

        Parameters
        ----------
        before : int, optional
            Only versions below this one.
        """
        number = self._log.state.last_number(key)
        found: list[ObjectVersion] = []
        while number > 0 and len(found) < limit:
            change = await self.change(number)
            if change is None:
                break
            edit = find_edit(change, key)
            if before is None or edit.new_version < before:
                found.append(ObjectVersion(change, edit))
            number = edit.previous_number
        return found

    async def version(self, key: ObjectKey, version: int) -> ObjectVersion | None:
        """Return one version of an object, or None if the history does not have it."""
        found = await self.versions(key, 1, version + 1)
        if found and found[0].edit.new_version == version:
            return found[0]
        return None

    async def undo_request(
        self, number: int, patch_id: str, author: str
    ) -> Result[RequestedChange, NotKept]:
        """Return a request for a new change that reverts an earlier one.

        Submitting the request gives a conflict if one of the objects was changed
        again in the meantime.
        """
        change = await self.change(number)
        if change is None:
            return Err(NotKept(number))
        edits = []
        for edit in change.edits:
            undone = await self._undo_edit(edit)
            if undone is None:
                return Err(NotKept(edit.previous_number))
            edits.append(undone)
        return Ok(RequestedChange(patch_id, author, tuple(edits), number))

    async def _undo_edit(self, edit: Edit) -> RequestedEdit | None:
        key = ObjectKey(edit.kind, edit.name)
        present_version = 0 if edit.value is None else edit.new_version
        if edit.base_version == 0:
            return RequestedEdit(key, present_version, Delete())
        change = await self.change(edit.previous_number)
        if change is None:
            return None
        value = find_edit(change, key).value
        return RequestedEdit(key, present_version, Replace(value))


def find_edit(change: Change, key: ObjectKey) -> Edit:
    """Return the edit of an object in a change that edits it."""
    return next(edit for edit in change.edits if ObjectKey(edit.kind, edit.name) == key)
