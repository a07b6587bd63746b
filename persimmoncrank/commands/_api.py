"""A small HTTP client that the commands use to call an entry."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 75.0
_MIN_ERROR_STATUS = 400


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiFailure:
    """Why a request failed; ``kind`` is empty if the entry returned no error of its own."""

    kind: str
    message: str
    field: str | None = None
    not_run: bool = False
    retry_after_ms: int | None = None
    submission_id: str | None = None

    def __str__(self) -> str:
        """Return the failure as one line."""
        parts = [f"{self.kind}: {self.message}" if self.kind else self.message]
        if self.field:
            parts.append(f"field {self.field}")
        if self.kind:
            parts.append("not run" if self.not_run else "may have run")
        if self.retry_after_ms is not None:
            parts.append(f"retry after {self.retry_after_ms} ms")
        return "; ".join(parts)


@dataclass(frozen=True, kw_only=True, slots=True)
class _ErrorBody:
    error: ApiFailure


def format_answer(
    answer: Result[Any, ApiFailure], describe: Callable[[Any], list[str]], *, is_json: bool
) -> Result[str, str]:
    """Format an answer as JSON or as readable lines, and a failure as one line."""
    if answer.is_err():
        return Err(str(answer.unwrap_err()))
    body = answer.unwrap()
    if is_json:
        return Ok(msgspec.json.format(msgspec.json.encode(body)).decode())
    return Ok("\n".join(describe(body)))


def call_api(
    entry_url: str, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
) -> Result[Any, ApiFailure]:
    """Send a request to an entry and return its decoded answer."""
    content = b"" if body is None else msgspec.json.encode(body)
    timeouts = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}
    try:
        response = httpcore.request(
            method,
            f"{entry_url.rstrip('/')}{path}",
            headers=[(name, value) for name, value in (headers or {}).items()],
            content=content,
            extensions={"timeout": timeouts},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
        cause = str(error) or type(error).__name__
        return Err(ApiFailure(kind="", message=f"entry {entry_url} does not answer: {cause}"))
    if response.status < _MIN_ERROR_STATUS:
        return Ok(msgspec.json.decode(response.content))
    try:
        return Err(msgspec.json.decode(response.content, type=_ErrorBody).error)
    except msgspec.MsgspecError:
        message = f"entry {entry_url} answered with status {response.status}"
        return Err(ApiFailure(kind="", message=message))
