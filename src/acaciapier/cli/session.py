"""What every command of the command line has at hand."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

import cappa
import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table
from rich.text import Text

from .client import AdminClient
from .exits import CommandFailed


@dataclass(frozen=True)
class Session:
    """Options that all commands share, and their output.

    Parameters
    ----------
    address, token : str
        Where the administration API is, and who calls.
    authority : str or None
        Certificate of the authority to trust for https.
    as_json : bool
        Whether to print JSON in place of tables.
    """

    address: str
    token: str
    authority: str | None
    as_json: bool

    @contextmanager
    def client(self) -> Iterator[AdminClient]:
        """Open a session with the administration API."""
        with (
            exit_on_failure(),
            AdminClient(self.address, self.token, self.authority) as opened,
        ):
            yield opened

    def show(self, body: msgspec.Struct | list, table: Table | str) -> None:
        """Print a result, as JSON or as a table or sentence."""
        if self.as_json:
            print(msgspec.json.format(msgspec.json.encode(body)).decode())
            return
        is_text = isinstance(table, str)
        Console(soft_wrap=is_text).print(table, highlight=False, markup=False)


@contextmanager
def exit_on_failure() -> Iterator[None]:
    """Turn a failed command into its exit code and message."""
    try:
        yield
    except CommandFailed as failed:
        message = escape("\n".join(failed.lines))
        raise cappa.Exit(message, code=int(failed.code)) from failed


def table_of(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> Table:
    """Return a table; numbers are set to the right."""
    table = Table(box=None, pad_edge=False)
    for index, title in enumerate(titles):
        is_number = bool(rows) and isinstance(rows[0][index], int | float)
        table.add_column(title, justify="right" if is_number else "left")
    for row in rows:
        table.add_row(*(Text(str(cell)) for cell in row))
    return table
