"""The metrics page of a role that dispatches to workers, as an ASGI application."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmoncrank.transport._metrics import Metrics

log = logging.getLogger(__name__)

METRICS_PATH = "/metrics"


def metrics_app(make_metrics: Callable[[], Metrics]) -> Callable[..., Awaitable[None]]:
    """Return the application; the metrics library is loaded on the first request."""
    metrics: Metrics | None = None

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        nonlocal metrics
        if scope["type"] != "http":
            return
        status, body = 404, b""
        headers: dict[str, str] = {}
        if scope["path"] == METRICS_PATH:
            metrics = metrics or make_metrics()
            accepts = [value.decode() for name, value in scope["headers"] if name == b"accept"]
            body, headers = metrics.render(accepts)
            status = 200
        fields = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        fields.append((b"content-length", str(len(body)).encode()))
        await send({"type": "http.response.start", "status": status, "headers": fields})
        await send({"type": "http.response.body", "body": body})

    return app
