"""Messages with which an instance follows a run that another one executes."""

from .base import Message


class JoinRun(Message, frozen=True):
    """Requests to follow the run of a request at the instance that holds its claim.

    `content` is the JSON of the caller's input. With `recover` the holder does not
    start a run.
    """

    workspace: str
    request_id: str
    pipeline: str
    content: bytes
    deadline_ms: int
    repeatable: bool
    recover: bool


class RunAccepted(Message, frozen=True):
    """The run has been admitted."""

    run_id: str
    configuration_number: int


class RunStage(Message, frozen=True):
    """A stage has ended."""

    stage: str
    elapsed_ms: float


class RunResume(Message, frozen=True):
    """A resume token for the caller."""

    token: str


class RunTokens(Message, frozen=True):
    """The next tokens of the answer."""

    tokens: list[str]


class RunValue(Message, frozen=True):
    """The whole answer, as JSON, of a pipeline that does not end in tokens."""

    content: bytes


class RunReset(Message, frozen=True):
    """Another run starts; the tokens received so far are invalid."""

    run_id: str
    cause: str


class RunFinal(Message, frozen=True):
    """The final event, as JSON."""

    content: bytes
