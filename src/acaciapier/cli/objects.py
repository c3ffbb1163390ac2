"""Commands that read and change declared objects."""

from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import cappa
import msgspec

from ..admin.bodies import (
    AcceptedBody,
    ChangeBody,
    ChangesBody,
    DiffBody,
    EditBody,
    ObjectBody,
    ObjectsBody,
    UndoBody,
)
from .edits import (
    edits_between,
    format_edits,
    object_path,
    patch_id_or_new,
    read_operations,
    read_values,
    split_name,
)
from .options import SharedOptions
from .session import Session, make_table

ObjectName = Annotated[str, cappa.Arg(help="kind and name, such as pipeline/quote")]
PatchId = Annotated[
    str | None,
    cappa.Arg(long="--patch-id", help="repeat an earlier call that got no answer"),
]


@cappa.command(name="get", help="Show declared objects, or one of them.")
@dataclass
class Get(SharedOptions):
    """Show declared objects, or one of them.

    Examples: `acaciapier get`, `acaciapier get --kind pool`,
    `acaciapier get pipeline/quote --version 3`.
    """

    name: Annotated[str | None, cappa.Arg(help="such as pipeline/quote")] = None
    kind: Annotated[str | None, cappa.Arg(long=True, help="only this kind")] = None
    version: Annotated[int | None, cappa.Arg(long=True, help="an older one")] = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            if self.name is None:
                query = f"?kind={quote(self.kind, safe='')}" if self.kind else ""
                show_objects(session, client.get(f"/v1/objects{query}", ObjectsBody))
                return
            query = "" if self.version is None else f"?version={self.version}"
            found = client.get(object_path(self.name) + query, ObjectBody)
            session.show(found, f"{format_title(found)}\n{format_json(found.value)}")


@cappa.command(name="apply", help="Make the declared objects those of a bundle.")
@dataclass
class Apply(SharedOptions):
    """Make the declared objects those of a bundle, as one change set.

    Objects that are the same already are left alone; those that the bundle does
    not name stay, unless `--prune` is given.
    Example: `acaciapier apply examples/kartvel.jsonc --dry-run`.
    """

    file: Annotated[str, cappa.Arg(help="bundle: JSON with comments")]
    dry_run: Annotated[bool, cappa.Arg(long="--dry-run", help="change nothing")] = False
    prune: Annotated[bool, cappa.Arg(long=True, help="delete all others")] = False
    patch_id: PatchId = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            wanted = read_values(Path(self.file))
            present = client.get("/v1/objects", ObjectsBody)
            edits = edits_between(present, wanted, self.prune)
            if self.dry_run or not edits:
                session.show(list(edits), format_edits(edits))
                return
            body = ChangeBody(patch_id_or_new(self.patch_id), edits, present.number)
            show_accepted(session, client.change(body))


@cappa.command(name="patch", help="Change one object by a JSON Patch.")
@dataclass
class Patch(SharedOptions):
    """Change one object by a JSON Patch against a version.

    Example: `echo '[{"op": "replace", "path": "/deadline_ms", "value": 2500}]' |
    acaciapier patch pipeline/quote - --version 4`.
    """

    name: ObjectName
    file: Annotated[str, cappa.Arg(help="file with the operations; - for input")]
    version: Annotated[int, cappa.Arg(long=True, help="version patched")]
    patch_id: PatchId = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            operations = read_operations(self.file)
            edit = EditBody(
                *split_name(self.name), self.version, "patch", operations=operations
            )
            body = ChangeBody(patch_id_or_new(self.patch_id), (edit,))
            show_accepted(session, client.change(body))


@cappa.command(name="delete", help="Delete one object.")
@dataclass
class Delete(SharedOptions):
    """Delete one object. Example: `acaciapier delete route/old --version 2`."""

    name: ObjectName
    version: Annotated[int, cappa.Arg(long=True, help="version deleted")]
    patch_id: PatchId = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            edit = EditBody(*split_name(self.name), self.version, "delete")
            body = ChangeBody(patch_id_or_new(self.patch_id), (edit,))
            show_accepted(session, client.change(body))


@cappa.command(name="diff", help="Show what changed between two versions.")
@dataclass
class Diff(SharedOptions):
    """Show what changed between two versions of an object.

    Example: `acaciapier diff pool/encode --from 1 --to 3`; by default the last
    change.
    """

    name: ObjectName
    from_version: Annotated[int | None, cappa.Arg(long="--from")] = None
    to_version: Annotated[int | None, cappa.Arg(long="--to")] = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        bounds = {"from": self.from_version, "to": self.to_version}
        query = "&".join(f"{k}={v}" for k, v in bounds.items() if v is not None)
        with session.client() as client:
            found = client.get(f"{object_path(self.name)}/diff?{query}", DiffBody)
            rows = [
                (
                    operation["op"],
                    operation["path"],
                    msgspec.json.encode(operation.get("value")).decode(),
                )
                for operation in found.operations
            ]
            session.show(found, make_table(("operation", "path", "value"), rows))


@cappa.command(name="history", help="Show accepted changes, newest first.")
@dataclass
class History(SharedOptions):
    """Show accepted changes, of all objects or one, newest first.

    Example: `acaciapier history pipeline/quote --limit 5`.
    """

    name: Annotated[str | None, cappa.Arg(help="such as pipeline/quote")] = None
    limit: Annotated[int, cappa.Arg(long=True, help="how many")] = 20
    before: Annotated[
        int, cappa.Arg(long=True, help="only before this number or version")
    ] = 0

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        path = f"{object_path(self.name)}/history" if self.name else "/v1/changes"
        with session.client() as client:
            query = f"?limit={self.limit}&before={self.before}"
            found = client.get(path + query, ChangesBody)
            rows = [
                (
                    change.number,
                    format_time(change.made_at_ms),
                    change.author,
                    format_edit(edit),
                )
                for change in found.changes
                for edit in change.edits
            ]
            session.show(found, make_table(("number", "time", "author", "edit"), rows))


@cappa.command(name="undo", help="Undo a change by a new one.")
@dataclass
class Undo(SharedOptions):
    """Undo a change by a new one. Example: `acaciapier undo 41`."""

    number: Annotated[int, cappa.Arg(help="number of the change")]
    patch_id: PatchId = None

    def __call__(self) -> None:
        """Run the command."""
        session = self.open_session()
        with session.client() as client:
            body = UndoBody(patch_id_or_new(self.patch_id))
            path = f"/v1/changes/{self.number}/undo"
            show_accepted(session, client.post(path, body, AcceptedBody, body.patch_id))


def show_objects(session: Session, found: ObjectsBody) -> None:
    """Print a list of objects; say so if it may be outdated."""
    rows = [(body.kind, body.name, body.version, body.number) for body in found.objects]
    table = make_table(("kind", "name", "version", "change"), rows)
    if not found.from_store:
        table.caption = "The object API is down; this is what was last read."
    session.show(found, table)


def show_accepted(session: Session, accepted: AcceptedBody) -> None:
    """Print the number of an accepted change and the versions it created."""
    lines = [f"Accepted as change {accepted.number}."]
    lines += [
        f"  {body.kind}/{body.name} is at version {body.version}"
        for body in accepted.versions
    ]
    session.show(accepted, "\n".join(lines))


def format_title(found: ObjectBody) -> str:
    """Return a line with the name, version and change of an object."""
    version = f"version {found.version}, change {found.number}"
    return f"{found.kind}/{found.name}, {version}"


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def format_time(made_at_ms: int) -> str:
    """Format milliseconds since the Unix epoch as a time in UTC."""
    made_at = datetime.fromtimestamp(made_at_ms / 1000, UTC)
    return made_at.strftime("%Y-%m-%d %H:%M:%S")


def format_edit(edit) -> str:
    """Format an edit with its versions, such as ``pool/a 1 -> 2``."""
    new_version = "deleted" if edit.value is None else edit.new_version
    return f"{edit.kind}/{edit.name} {edit.base_version} -> {new_version}"
