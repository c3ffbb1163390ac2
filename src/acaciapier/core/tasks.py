"""Tasks whose unexpected errors are reported and end nothing else."""

from collections.abc import Awaitable, Callable

Report = Callable[[Exception], None]


async def run_reported(
    report: Report, task: Callable[..., Awaitable[object]], *args
) -> None:
    """Await `task(*args)` and pass its error to `report` instead of raising it.

    A cancellation that arrives together with an error is raised without the error, so
    that neither is lost.
    """
    try:
        await task(*args)
    except Exception as error:
        report(error)
    except BaseExceptionGroup as group:
        errors, rest = group.split(Exception)
        if errors is not None:
            report(errors)
        if rest is not None:
            raise rest from None
