"""A small table of HTTP routes."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..configuration.limits import MAX_NESTING, nesting_depth
from ..core.findings import Finding
from ..http import HttpRequest
from .errors import ApiError, ErrorKind
from .operators import Operator, Role

PARAMETER = re.compile(r"\{(\w+)\}")


@dataclass(frozen=True)
class Call:
    """One authenticated call.

    Parameters
    ----------
    operator : Operator
        Who calls.
    path : dict of str
        Parameters from the path.
    query : dict of str
        Parameters from the query.
    body : bytes
        The body, bounded in size.
    """

    operator: Operator
    path: dict[str, str]
    query: dict[str, str]
    body: bytes

    def read(self, type_: type) -> Any:
        """Read the JSON body, bounded in nesting.

        Raises
        ------
        ApiError
            If it is not JSON or has another shape.
        """
        try:
            value = msgspec.json.decode(self.body)
            if nesting_depth(value) > MAX_NESTING:
                raise ApiError(ErrorKind.BAD_REQUEST, "the body is nested too deep")
            msgspec.json.encode(value)
            return msgspec.convert(value, type_)
        except msgspec.ValidationError as error:
            message, _, place = str(error).partition(" - at ")
            finding = Finding(place.strip("`").removeprefix("$.") or "body", message)
            raise ApiError(ErrorKind.BAD_REQUEST, str(error), (finding,)) from error
        except (msgspec.DecodeError, RecursionError, OverflowError) as error:
            message = f"the body cannot be read: {error}"
            raise ApiError(ErrorKind.BAD_REQUEST, message) from error

    def whole_number(self, name: str, default: int, highest: int = 2**53) -> int:
        """Return a query parameter that is a whole number from 0 to `highest`."""
        text = self.query.get(name, str(default))
        if not text.isascii() or not text.isdigit() or int(text[:20]) > highest:
            finding = Finding(name, f"must be a whole number from 0 to {highest}")
            raise ApiError(ErrorKind.BAD_REQUEST, f"{name} is wrong", (finding,))
        return int(text)


Handler = Callable[[Call], Awaitable[msgspec.Struct]]


@dataclass(frozen=True)
class Route:
    """A method and a path pattern, with who may call it."""

    method: str
    pattern: re.Pattern
    role: Role
    handler: Handler


class Router:
    """Finds the route of a request."""

    def __init__(self):
        self._routes: list[Route] = []

    def add(self, method: str, path: str, role: Role, handler: Handler) -> None:
        """Let `handler` answer a path such as ``/v1/objects/{kind}``."""
        pattern = re.compile(PARAMETER.sub(r"(?P<\1>[^/]+)", path))
        self._routes.append(Route(method, pattern, role, handler))

    def find(self, request: HttpRequest) -> tuple[Route, dict[str, str]]:
        """Return the route of a request and its path's parameters."""
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match and route.method == request.method:
                return route, match.groupdict()
        raise ApiError(ErrorKind.NOT_FOUND, f"no {request.method} {request.path} here")
