"""Exit codes of the command line, on which scripts can rely."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the exit code of a command means."""

    OK = 0
    REFUSED = 1
    """The input has findings, or the call was refused or found nothing."""

    USAGE = 2
    CONFLICT = 3
    """Another change came first; read the object again."""

    UNAVAILABLE = 4
    """No answer, or the object API is down; the same command may be repeated."""


class CommandFailed(Exception):
    """A command that ends with an exit code other than 0.

    Parameters
    ----------
    code : ExitCode
        The exit code.
    lines : sequence of str
        What to show, one line each.
    """

    def __init__(self, code: ExitCode, *lines: str):
        self.code = code
        self.lines = lines
        super().__init__("\n".join(lines))
