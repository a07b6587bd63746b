"""The agent's HTTP client to its backend server.

A failure is told apart by how far the request came. Before the request was sent whole, the backend
server cannot have run it, and it is repeated once on a new connection; so a pooled connection that
the backend server has closed costs nothing. After that the task may have run. Idle connections are
dropped well before usual keep-alive limits, so that the two ends seldom race.
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

IDLE_LIMIT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
SEND_ATTEMPTS = 2
MAX_ERROR_CHARS = 200
_HTTP_OK = 200


@dataclass(kw_only=True, slots=True)
class _Progress:
    """Whether a request was sent whole."""

    is_sent: bool = False


async def _send_body(content: bytes, progress: _Progress) -> AsyncIterator[bytes]:
    """Yield a body; the client comes back for more once that was written."""
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
            keepalive_expiry=IDLE_LIMIT_S,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def run_task(self, submission_id: str, task: TaskSpec) -> Result[bytes, BackendFailure]:
        """Run one task and return its result, which is JSON text."""
        message = ""
        for _ in range(SEND_ATTEMPTS):
            progress = _Progress()
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
        self, submission_id: str, task: TaskSpec, progress: _Progress
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
            return _answered_failure(f"status {response.status}: {text}")
        if len(body) > self._max_result_bytes:
            return _answered_failure(f"result of {len(body)} bytes is too large")
        if not is_json(body):
            return _answered_failure("result is not JSON")
        return Ok(body)


def _answered_failure(message: str) -> Result[bytes, BackendFailure]:
    return Err(BackendFailure(message=message, may_have_run=True, has_answered=True))
