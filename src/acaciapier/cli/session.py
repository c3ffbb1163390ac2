"""The session of a command: access to the API and output of results."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

import cappa
import msgspec
from rich.console import Console, RenderableType
from rich.markup import escape
from rich.table import Table
from rich.text import Text

from .client import AdminClient
from .exits import CommandFailed


@dataclass(frozen=True)
class Session:
    """Connection options and output format of a command.

    Parameters
    ----------
    address, token : str
        Base URL of the administration API, and the operator's token.
    authority : str or None
        Certificate of the authority that is trusted for https.
    as_json : bool
        Whether to print JSON instead of tables.
    """

    address: str
    token: str
    authority: str | None
    as_json: bool

    @contextmanager
    def client(self) -> Iterator[AdminClient]:
        """Open a client of the administration API; failures end the process."""
        with (
            exit_on_failure(),
            AdminClient(self.address, self.token, self.authority) as client,
        ):
            yield client

    def show(self, body: msgspec.Struct | list | dict, table: RenderableType) -> None:
        """Print a result: `body` as JSON, or `table`, which may be a sentence."""
        if self.as_json:
            print(msgspec.json.format(msgspec.json.encode(body)).decode())
            return
        is_text = isinstance(table, str)
        Console(soft_wrap=is_text).print(table, highlight=False, markup=False)


@contextmanager
def exit_on_failure() -> Iterator[None]:
    """Exit with the code and message of a `CommandFailed` that is raised inside."""
    try:
        yield
    except CommandFailed as failure:
        message = escape("\n".join(failure.lines))
        raise cappa.Exit(message, code=int(failure.code)) from failure


def make_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> Table:
    """Return a table whose columns of numbers are aligned to the right."""
    table = Table(box=None, pad_edge=False)
    for index, title in enumerate(titles):
        is_number = bool(rows) and isinstance(rows[0][index], int | float)
        table.add_column(title, justify="right" if is_number else "left")
    for row in rows:
        table.add_row(*(Text(str(cell)) for cell in row))
    return table
