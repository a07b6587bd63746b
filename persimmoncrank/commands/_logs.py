"""Set-up of logging: plain or JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from persimmoncrank.protocol import encode_json

if TYPE_CHECKING:
    from persimmoncrank.settings import LogFormat, LogLevel

log = logging.getLogger(__name__)

PACKAGE = "persimmoncrank"
PLAIN_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class JsonFormatter(logging.Formatter):
    """Writes a line as one JSON object; the part's prefix and the fields become keys."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        part, _, text = record.getMessage().partition(": ")
        sentence, fields = split_fields(text)
        when = datetime.fromtimestamp(record.created, UTC).isoformat()
        line = {"time": when, "level": record.levelname, "part": part, "message": sentence}
        return encode_json({**line, **fields}).decode()


def split_fields(text: str) -> tuple[str, dict[str, str]]:
    """Split a line into its sentence and its ``key=value`` fields.

    A value may hold spaces; it ends where the next key begins.
    """
    words = text.split(" ")
    sentence: list[str] = []
    fields: dict[str, str] = {}
    key = ""
    for word in words:
        name, separator, value = word.partition("=")
        if separator and name.isidentifier():
            key = name
            fields[key] = value
        elif key:
            fields[key] += f" {word}"
        else:
            sentence.append(word)
    return " ".join(sentence), fields


def set_up_logs(
    log_format: LogFormat, level: LogLevel, *, handler: logging.Handler | None = None
) -> None:
    """Send the package's log lines to a handler; without one, to standard error."""
    handler = handler or logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter() if log_format == "json" else logging.Formatter(PLAIN_FORMAT)
    handler.setFormatter(formatter)
    package_log = logging.getLogger(PACKAGE)
    package_log.handlers = [handler]
    package_log.setLevel(level.upper())
    package_log.propagate = False
