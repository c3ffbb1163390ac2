"""Structured logs: one JSON object per line."""

import json
import sys
from typing import TYPE_CHECKING, Any

import logbook

if TYPE_CHECKING:
    from ..settings.models import LogSettings

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


class JsonFormatter:
    """Formats a log record and its extra fields as one line of JSON."""

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """Return `record` as a line of JSON."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        return json.dumps(line, default=str)


def make_handler(settings: "LogSettings") -> logbook.Handler:
    """Return a handler that writes to the configured file, or to standard error."""
    level = LEVELS[settings.level.value]
    if settings.path is None:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    else:
        handler = logbook.FileHandler(settings.path, level=level)
    handler.formatter = JsonFormatter()
    return handler


def get_logger(name: str) -> logbook.Logger:
    """Return a logger whose channel is `name`.

    Examples
    --------
    >>> log = get_logger("acaciapier.entry")
    >>> log.info("request r-1 has ended", extra={"workspace": "hotels"})
    """
    return logbook.Logger(name)
