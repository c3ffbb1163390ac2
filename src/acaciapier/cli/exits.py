"""Exit codes of the command line, which scripts can rely on."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    REFUSED = 1
    """The input has findings, or the API refused the call or found no such object."""

    USAGE = 2
    CONFLICT = 3
    """Another change was accepted earlier; read the object again and retry."""

    UNAVAILABLE = 4
    """The API did not answer, or was overloaded or unavailable; retry the command."""


class CommandFailed(Exception):
    """The command must end with an exit code other than 0.

    Parameters
    ----------
    code : ExitCode
        The exit code.
    lines : sequence of str
        Lines of the message.
    """

    def __init__(self, code: ExitCode, *lines: str):
        self.code = code
        self.lines = lines
        super().__init__("\n".join(lines))
