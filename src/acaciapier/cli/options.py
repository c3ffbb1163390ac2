"""Options that all commands share."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from .session import Session

DEFAULT_ADDRESS = "http://127.0.0.1:7600"


@dataclass(kw_only=True)
class SharedOptions:
    """Where the administration API is, who calls, and the form of the output."""

    address: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("ACACIAPIER_ADDRESS", default=DEFAULT_ADDRESS),
            help="root of the administration API",
        ),
    ]
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            show_default=False,
            default=cappa.Env("ACACIAPIER_TOKEN", default=""),
            help="the operator's token; better given by the environment",
        ),
    ]
    authority: Annotated[
        str | None, cappa.Arg(long=True, help="certificate to trust for https")
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON, not tables")] = False

    def open_session(self) -> Session:
        """Create the session from the options."""
        return Session(self.address, self.token, self.authority, self.json)
