"""Client of the administration API for the command line."""

import ssl
import time
from dataclasses import dataclass
from typing import Any, TypeVar

import httpcore
import msgspec

from ..admin.bodies import AcceptedBody, ChangeBody, ErrorBody
from .exits import CommandFailed, ExitCode

CALL_TIMEOUT_S = 15.0
MAX_ATTEMPTS = 3
RESEND_PAUSE_S = 0.5
EXIT_CODE_BY_STATUS = {
    409: ExitCode.CONFLICT,
    429: ExitCode.UNAVAILABLE,
    503: ExitCode.UNAVAILABLE,
}

Body = TypeVar("Body", bound=msgspec.Struct)


@dataclass
class _RequestFailed(Exception):
    status: int
    body: ErrorBody


class AdminClient:
    """HTTP client of one administration instance.

    Parameters
    ----------
    address : str
        Base URL of the API, such as ``http://10.0.0.5:7600``.
    token : str
        The operator's token.
    authority_path : str, optional
        Certificate of the authority that is trusted for https.

    Examples
    --------
    >>> with AdminClient(address, token) as client:  # doctest: +SKIP
    ...     status = client.get("/v1/status", StatusBody)
    """

    def __init__(self, address: str, token: str, authority_path: str | None = None):
        self._address = address.rstrip("/")
        self._headers = [("authorization", f"Bearer {token}")]
        context = ssl.create_default_context(cafile=authority_path)
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def __enter__(self) -> "AdminClient":
        return self

    def __exit__(self, *exception) -> None:
        self._pool.close()

    def get(self, path: str, type_: type[Body]) -> Body:
        """Send a GET request and decode the response as `type_`.

        Raises
        ------
        CommandFailed
            If the request failed; has the exit code for the failure.
        """
        return self._call_or_fail("GET", path, b"", type_)

    def post(
        self, path: str, body: msgspec.Struct, type_: type[Body], patch_id: str = ""
    ) -> Body:
        """Send a POST request and decode the response as `type_`.

        If the API does not answer, the error message names `patch_id` for a resend.
        """
        content = msgspec.json.encode(body)
        return self._call_or_fail("POST", path, content, type_, patch_id)

    def change(self, body: ChangeBody) -> AcceptedBody:
        """Submit a change; resend it if the API is unavailable, with the same patch id.

        Raises
        ------
        CommandFailed
            If the API refused the change or stayed unavailable.
        """
        for attempt in range(MAX_ATTEMPTS):
            try:
                content = msgspec.json.encode(body)
                return self._call("POST", "/v1/changes", content, AcceptedBody)
            except _RequestFailed as failure:
                if failure.status != 503 or attempt == MAX_ATTEMPTS - 1:
                    raise _command_failed(failure, body.patch_id) from failure
                at_least_number = max(
                    body.at_least_number, failure.body.at_least_number
                )
                body = msgspec.structs.replace(body, at_least_number=at_least_number)
            time.sleep(RESEND_PAUSE_S)
        raise AssertionError("the last attempt returns or raises")

    def _call_or_fail(
        self, method: str, path: str, content: bytes, type_: type, patch_id: str = ""
    ):
        try:
            return self._call(method, path, content, type_)
        except _RequestFailed as failure:
            raise _command_failed(failure, patch_id) from failure

    def _call(self, method: str, path: str, content: bytes, type_) -> Any:
        try:
            answer = self._pool.request(
                method,
                self._address + path,
                headers=self._headers,
                content=content,
                extensions={"timeout": dict.fromkeys(TIMEOUTS, CALL_TIMEOUT_S)},
            )
        except (httpcore.UnsupportedProtocol, ValueError) as error:
            message = f"{self._address} is no address: {error}"
            raise CommandFailed(ExitCode.USAGE, message) from error
        except (OSError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise _RequestFailed(503, _no_answer(self._address, error)) from error
        except httpcore.ProtocolError as error:
            raise _RequestFailed(503, _no_answer(self._address, error)) from error
        return _decode(answer, type_)


TIMEOUTS = ("connect", "read", "write", "pool")


def _decode(answer: httpcore.Response, type_: type):
    wanted = type_ if answer.status == 200 else ErrorBody
    try:
        body = msgspec.json.decode(answer.content, type=wanted)
    except msgspec.DecodeError as error:
        message = f"the answer with status {answer.status} cannot be read: {error}"
        raise CommandFailed(ExitCode.REFUSED, message) from error
    if answer.status != 200:
        raise _RequestFailed(answer.status, body)
    return body


def _no_answer(address: str, error: Exception) -> ErrorBody:
    reason = str(error) or type(error).__name__
    return ErrorBody(
        "unavailable", f"no answer from {address}: {reason}", may_have_landed=True
    )


def _command_failed(failure: _RequestFailed, patch_id: str = "") -> CommandFailed:
    body = failure.body
    lines = [body.message]
    lines += [f"  {finding.place}: {finding.message}" for finding in body.findings]
    if patch_id and failure.status == 503 and body.may_have_landed:
        lines.append(f"It may have been accepted; repeat it with --patch-id {patch_id}")
    return CommandFailed(
        EXIT_CODE_BY_STATUS.get(failure.status, ExitCode.REFUSED), *lines
    )
