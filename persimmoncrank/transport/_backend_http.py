"""The agent's HTTP client to its backend server.

Failures are classified by how much of the request was sent. Until the whole request has been sent,
the backend server cannot have run the task, so the client retries once on a new connection. A
pooled connection that the backend server has closed therefore does not fail the task. Once the
whole request has been sent, the task may have run. Idle connections expire well before the usual
keep-alive timeouts, so that the client rarely sends on a connection that the server is closing.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpcore
from result import Err, Ok, Result

from persimmoncrank.coordination import BackendFailure
from persimmoncrank.protocol import is_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from persimmoncrank.protocol import TaskSpec

log = logging.getLogger(__name__)

KEEPALIVE_EXPIRY_S = 1.0
CONNECT_TIMEOUT_S = 1.0
SEND_ATTEMPTS = 2
MAX_ERROR_CHARS = 200
_HTTP_OK = 200


@dataclass(kw_only=True, slots=True)
class _SendProgress:
    """Records whether the whole request has been sent."""

    is_sent: bool = False


async def _send_body(content: bytes, progress: _SendProgress) -> AsyncIterator[bytes]:
    """Yield a body; the HTTP client asks for the next chunk only after writing it."""
    yield content
    progress.is_sent = True


class BackendClient:
    """Sends tasks to one backend server over a pool of connections."""

    def __init__(
        self, *, url: str, max_connections: int, task_timeout_s: float, max_result_bytes: int
    ) -> None:
        """Create a client for the backend server at ``url``."""
        self._url = url.rstrip("/")
        self._task_timeout_s = task_timeout_s
        self._max_result_bytes = max_result_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def run_task(self, submission_id: str, task: TaskSpec) -> Result[bytes, BackendFailure]:
        """Run one task and return its result as JSON text."""
        message = ""
        for _ in range(SEND_ATTEMPTS):
            progress = _SendProgress()
            try:
                with anyio.fail_after(self._task_timeout_s):
                    return await self._send(submission_id, task, progress)
            except TimeoutError:
                message = f"no answer within {self._task_timeout_s:g} s"
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as e:
                message = f"{type(e).__name__}: {e}"
            if progress.is_sent:
                return Err(BackendFailure(message=message, may_have_run=True))
        return Err(BackendFailure(message=message, may_have_run=False))

    async def _send(
        self, submission_id: str, task: TaskSpec, progress: _SendProgress
    ) -> Result[bytes, BackendFailure]:
        response = await self._pool.request(
            "POST",
            f"{self._url}/tasks/{task.kind}",
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(task.payload)),
                "X-Submission-Id": submission_id,
                "X-Task-Index": str(task.index),
            },
            content=_send_body(task.payload, progress),
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S, "pool": self._task_timeout_s}},
        )
        body = response.content
        if response.status != _HTTP_OK:
            text = body[:MAX_ERROR_CHARS].decode(errors="replace")
            return _response_failure(f"status {response.status}: {text}")
        if len(body) > self._max_result_bytes:
            return _response_failure(f"result of {len(body)} bytes is too large")
        if not is_json(body):
            return _response_failure("result is not valid JSON")
        return Ok(body)


def _response_failure(message: str) -> Result[bytes, BackendFailure]:
    return Err(BackendFailure(message=message, may_have_run=True, has_answered=True))
