"""Routes of the administration API, and the calls that their handlers get."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..configuration.limits import MAX_NESTING, nesting_depth
from ..core.findings import Finding
from ..http.asgi import HttpRequest
from .errors import ApiError, ErrorKind
from .operators import Operator, Role

PARAMETER = re.compile(r"\{(\w+)\}")


@dataclass(frozen=True)
class Call:
    """One authenticated call of the API.

    Parameters
    ----------
    operator : Operator
        The calling operator.
    path : dict of str
        Path parameters.
    query : dict of str
        Query parameters.
    body : bytes
        Request body, whose size was already checked.
    """

    operator: Operator
    path: dict[str, str]
    query: dict[str, str]
    body: bytes

    def decode_body(self, type_: type) -> Any:
        """Decode the JSON body as `type_`; the depth of nesting is limited.

        Raises
        ------
        ApiError
            If the body is not valid JSON, is nested too deeply or does not match
            `type_`.
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

    def query_int(self, name: str, default: int, max_value: int = 2**53) -> int:
        """Return a query parameter that is an integer from 0 to `max_value`."""
        text = self.query.get(name, str(default))
        if not text.isascii() or not text.isdigit() or int(text[:20]) > max_value:
            finding = Finding(name, f"must be a whole number from 0 to {max_value}")
            raise ApiError(ErrorKind.BAD_REQUEST, f"{name} is wrong", (finding,))
        return int(text)


Handler = Callable[[Call], Awaitable[msgspec.Struct]]


@dataclass(frozen=True)
class Route:
    """A method and a path pattern, with the role that may call it and the handler."""

    method: str
    pattern: re.Pattern
    role: Role
    handler: Handler


class Router:
    """Matches requests to routes."""

    def __init__(self):
        self._routes: list[Route] = []

    def add(self, method: str, path: str, role: Role, handler: Handler) -> None:
        """Register `handler` for a path such as ``/v1/objects/{kind}``."""
        pattern = re.compile(PARAMETER.sub(r"(?P<\1>[^/]+)", path))
        self._routes.append(Route(method, pattern, role, handler))

    def find(self, request: HttpRequest) -> tuple[Route, dict[str, str]]:
        """Return the route of a request and the path parameters."""
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match and route.method == request.method:
                return route, match.groupdict()
        raise ApiError(
            ErrorKind.NOT_FOUND,
            f"no {request.method} {request.path} here",
        )
