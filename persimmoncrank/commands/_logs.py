"""Logging setup: plain or JSON lines, by default on standard error."""

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
    """Formats a line as one JSON object; the prefix becomes ``part``, and each field a key."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of a record."""
        part, _, text = record.getMessage().partition(": ")
        sentence, fields = split_fields(text)
        when = datetime.fromtimestamp(record.created, UTC).isoformat()
        line = {"time": when, "level": record.levelname, "part": part, "message": sentence}
        return encode_json({**line, **fields}).decode()


def split_fields(text: str) -> tuple[str, dict[str, str]]:
    """Split a line into its sentence and its ``key=value`` fields.

    A value may contain spaces; it ends where the next key begins.
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
    """Send the package's log lines to ``handler``, by default to standard error."""
    handler = handler or logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter() if log_format == "json" else logging.Formatter(PLAIN_FORMAT)
    handler.setFormatter(formatter)
    package_log = logging.getLogger(PACKAGE)
    package_log.handlers = [handler]
    package_log.setLevel(level.upper())
    package_log.propagate = False
