"""Route handlers for declared objects, their changes and their history."""

from typing import Any

import jsonpatch
import msgspec
from result import Err

from ..configuration import (
    Accepted,
    ConfigurationLog,
    Conflict,
    Delete,
    History,
    ObjectKey,
    Patch,
    Rejected,
    Replace,
    RequestedChange,
    RequestedEdit,
    Unavailable,
    VersionedObject,
)
from ..exceptions import StoreUnavailable
from ..objects import MODELS, Change, stored_value
from .bodies import (
    AcceptedBody,
    ChangeBody,
    ChangesBody,
    ConflictBody,
    DiffBody,
    EditBody,
    ObjectBody,
    ObjectsBody,
    UndoBody,
    VersionBody,
)
from .errors import ApiError, ErrorKind
from .operators import Operator, Role
from .routes import Call, Router

DEFAULT_LIMIT = 20
MAX_LIMIT = 200
RETRY_AFTER_MS = 1_000.0
SECRET_FIELDS = {"workspace": ("token_sha256",)}


class ConfigurationHandlers:
    """Handles reads and changes of declared objects.

    Parameters
    ----------
    configuration : ConfigurationLog
        Log of accepted changes.
    """

    def __init__(self, configuration: ConfigurationLog):
        self._log = configuration
        self._history = History(configuration)

    def add_to(self, router: Router) -> None:
        """Register the routes with `router`."""
        view, change = Role.VIEWER, Role.OPERATOR
        object_path = "/v1/objects/{kind}/{name}"
        router.add("GET", "/v1/objects", view, self.list_objects)
        router.add("GET", object_path, view, self.get_object)
        router.add("GET", f"{object_path}/history", view, self.object_history)
        router.add("GET", f"{object_path}/diff", view, self.diff)
        router.add("GET", "/v1/changes", view, self.list_changes)
        router.add("POST", "/v1/changes", change, self.change)
        router.add("POST", "/v1/changes/{number}/undo", change, self.undo)

    async def list_objects(self, call: Call) -> ObjectsBody:
        """Return all objects, or those of one kind.

        During a store outage, returns the state that was last read.
        """
        from_store = await self._try_refresh()
        state = self._log.state
        kind = call.query.get("kind")
        objects = tuple(
            _object_body(versioned, call.operator)
            for key, versioned in sorted(state.objects.items())
            if kind is None or key.kind == kind
        )
        return ObjectsBody(state.number, objects, from_store)

    async def get_object(self, call: Call) -> ObjectBody:
        """Return one object at its current or an older version."""
        state = await self._log.refresh()
        key = _key_of(call)
        if "version" in call.query:
            return await self._object_at(call, key, call.query_int("version", 0))
        found = state.get(*key)
        if found is None:
            raise ApiError(ErrorKind.NOT_FOUND, f"{key} does not exist")
        return _object_body(found, call.operator)

    async def object_history(self, call: Call) -> ChangesBody:
        """Return the changes of one object, newest first."""
        state = await self._log.refresh()
        limit = call.query_int("limit", DEFAULT_LIMIT, MAX_LIMIT)
        before = call.query_int("before", 0) or None
        versions = await self._history.versions(_key_of(call), limit, before)
        changes = tuple(
            _redacted(version.change, call.operator) for version in versions
        )
        return ChangesBody(state.number, changes)

    async def diff(self, call: Call) -> DiffBody:
        """Return the JSON Patch from one version of an object to another."""
        state = await self._log.refresh()
        key = _key_of(call)
        to_version = call.query_int("to", state.last_version(key))
        from_version = call.query_int("from", max(0, to_version - 1))
        before = await self._value_at(key, from_version)
        after = await self._value_at(key, to_version)
        before = _redacted_value(key.kind, before, call.operator)
        after = _redacted_value(key.kind, after, call.operator)
        operations = jsonpatch.make_patch(before or {}, after or {}).patch
        return DiffBody(*key, from_version, to_version, operations)

    async def list_changes(self, call: Call) -> ChangesBody:
        """Return all changes, newest first."""
        state = await self._log.refresh()
        limit = call.query_int("limit", DEFAULT_LIMIT, MAX_LIMIT)
        before = call.query_int("before", 0) or None
        found = await self._history.changes(before, limit)
        changes = tuple(_redacted(change, call.operator) for change in found)
        return ChangesBody(state.number, changes)

    async def change(self, call: Call) -> AcceptedBody:
        """Submit a change to the log."""
        body = call.decode_body(ChangeBody)
        edits = tuple(_requested_edit(edit) for edit in body.edits)
        request = RequestedChange(
            body.patch_id, call.operator.name, edits, body.at_least_number
        )
        return await self._submit(request, call.operator)

    async def undo(self, call: Call) -> AcceptedBody:
        """Undo a change by submitting a new one."""
        body = call.decode_body(UndoBody)
        number = _parse_change_number(call.path["number"])
        await self._log.refresh()
        request = await self._history.undo_request(
            number, body.patch_id, call.operator.name
        )
        if isinstance(request, Err):
            message = f"change {request.err_value.number} is not kept"
            raise ApiError(ErrorKind.NOT_FOUND, message)
        return await self._submit(request.ok_value, call.operator)

    async def _try_refresh(self) -> bool:
        """Read new changes from the store; return whether the store was available.

        Raises
        ------
        StoreUnavailable
            If the store is unavailable and no state was read earlier.
        """
        try:
            await self._log.refresh()
        except StoreUnavailable:
            if self._log.state.number == 0:
                raise
            return False
        return True

    async def _submit(
        self, request: RequestedChange, operator: Operator
    ) -> AcceptedBody:
        _check_role(request, operator)
        answer = await self._log.submit(request)
        if isinstance(answer, Err):
            raise _submit_error(answer.err_value)
        return _accepted_body(answer.ok_value)

    async def _object_at(self, call: Call, key: ObjectKey, version: int) -> ObjectBody:
        found = await self._history.version(key, version)
        if found is None or found.edit.value is None:
            raise ApiError(ErrorKind.NOT_FOUND, f"{key} version {version} is not kept")
        value = _redacted_value(key.kind, found.edit.value, call.operator)
        return ObjectBody(*key, version, found.change.number, value)

    async def _value_at(self, key: ObjectKey, version: int) -> dict[str, Any] | None:
        if version == 0:
            return None
        found = await self._history.version(key, version)
        if found is None:
            raise ApiError(ErrorKind.NOT_FOUND, f"{key} version {version} is not kept")
        return found.edit.value


def _key_of(call: Call) -> ObjectKey:
    return ObjectKey(call.path["kind"], call.path["name"])


def _parse_change_number(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise ApiError(ErrorKind.NOT_FOUND, f"there is no change {text[:32]}")
    return int(text)


def _requested_edit(edit: EditBody) -> RequestedEdit:
    operation = {
        "replace": Replace(edit.value),
        "patch": Patch(edit.operations),
        "delete": Delete(),
    }[edit.operation]
    return RequestedEdit(ObjectKey(edit.kind, edit.name), edit.base_version, operation)


def _check_role(request: RequestedChange, operator: Operator) -> None:
    kinds = {edit.key.kind for edit in request.edits}
    if kinds & set(SECRET_FIELDS) and not operator.role.includes(Role.ADMIN):
        message = f"only the role {Role.ADMIN.value} may change workspaces"
        raise ApiError(ErrorKind.FORBIDDEN, message)
    unknown = sorted(kinds - set(MODELS))
    if unknown:
        message = f"no declared objects of kind {unknown[0][:64]}"
        raise ApiError(ErrorKind.BAD_REQUEST, message)


def _submit_error(refusal: Conflict | Rejected | Unavailable) -> ApiError:
    match refusal:
        case Conflict():
            conflicts = tuple(
                ConflictBody(
                    *mismatch.key, mismatch.base_version, mismatch.present_version
                )
                for mismatch in refusal.mismatches
            )
            return ApiError(
                ErrorKind.CONFLICT,
                "; ".join(
                    f"{conflict.kind}/{conflict.name} is at version "
                    f"{conflict.present_version}, not {conflict.base_version}"
                    for conflict in conflicts
                ),
                conflicts=conflicts,
                at_least_number=refusal.number,
            )
        case Rejected():
            message = f"the change has {len(refusal.findings)} findings"
            return ApiError(ErrorKind.REJECTED, message, refusal.findings)
        case Unavailable():
            return ApiError(
                ErrorKind.UNAVAILABLE,
                "the object API did not answer; send the same patch id again",
                retry_after_ms=RETRY_AFTER_MS,
                at_least_number=refusal.at_least_number,
                may_have_landed=refusal.may_have_landed,
            )


def _accepted_body(accepted: Accepted) -> AcceptedBody:
    versions = tuple(VersionBody(*key, version) for key, version in accepted.versions)
    return AcceptedBody(accepted.number, versions, accepted.resent)


def _object_body(versioned: VersionedObject, operator: Operator) -> ObjectBody:
    value = _redacted_value(
        versioned.key.kind, stored_value(versioned.declared), operator
    )
    return ObjectBody(*versioned.key, versioned.version, versioned.number, value)


def _redacted_value(
    kind: str, value: dict[str, Any] | None, operator: Operator
) -> dict[str, Any] | None:
    """Return a value without the fields that only admins may read."""
    if value is None or operator.role.includes(Role.ADMIN):
        return value
    secret = SECRET_FIELDS.get(kind, ())
    return {field: content for field, content in value.items() if field not in secret}


def _redacted(change: Change, operator: Operator) -> Change:
    edits = tuple(
        msgspec.structs.replace(
            edit, value=_redacted_value(edit.kind, edit.value, operator)
        )
        for edit in change.edits
    )
    return msgspec.structs.replace(change, edits=edits)


def unavailable(error: StoreUnavailable) -> ApiError:
    """Return the API error for a store that was unavailable during a read."""
    return ApiError(
        ErrorKind.UNAVAILABLE, str(error), retry_after_ms=error.retry_after_ms
    )
