"""A stand-in for a backend server that simulates the duration of tasks and counts starts."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from persimmoncrank.protocol import encode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

log = logging.getLogger(__name__)

DEFAULT_WORK_MS = 50.0

Payload = dict[str, Any]


def _gather_readings(payload: Payload) -> Payload:
    readings = payload.get("readings", [])
    litres = sum(reading.get("litres", 0) for reading in readings)
    return {"outfall": payload.get("outfall"), "readings": len(readings), "litres": litres}


def _draft_notice(payload: Payload) -> Payload:
    outfall, county = payload.get("outfall"), payload.get("county")
    text = f"{county} county: sewer overflow at outfall {outfall}. Keep out of the water."
    return {"outfall": outfall, "notice": text, "audience": payload.get("audience")}


def _file_copy(payload: Payload) -> Payload:
    return {"outfall": payload.get("outfall"), "filed": True, "form": payload.get("form")}


def _check_in(payload: Payload) -> Payload:
    return {"walker": payload.get("walker"), "door": payload.get("door"), "checked_in": True}


def _rebuild_round(payload: Payload) -> Payload:
    stops = sorted(payload.get("stops", []), key=lambda stop: stop.get("due", ""))
    return {"walker": payload.get("walker"), "round": [stop.get("dog") for stop in stops]}


def _lead_returned(payload: Payload) -> Payload:
    return {"dog": payload.get("dog"), "owner": payload.get("owner"), "lead_returned": True}


TASK_HANDLERS: dict[str, Callable[[Payload], Payload]] = {
    "gather-readings": _gather_readings,
    "draft-notice": _draft_notice,
    "file-regulator-copy": _file_copy,
    "walker-check-in": _check_in,
    "rebuild-round": _rebuild_round,
    "lead-returned": _lead_returned,
}
"""Maps each task kind to a function that computes the result from the payload."""


class BackendStandin:
    """One backend server; ``slowness`` multiplies each task's ``work_ms``."""

    def __init__(self, *, name: str, slowness: float = 1.0) -> None:
        """Create a backend server with empty counters."""
        self.name = name
        self.slowness = slowness
        self.is_failing = False
        self.starts: Counter[str] = Counter()

    def duplicate_starts(self) -> int:
        """Return the number of starts here that repeat an earlier start of the same task."""
        return sum(count - 1 for count in self.starts.values())

    async def run_task(self, request: Request) -> Response:
        """Handle the request to run one task."""
        headers = request.headers
        kind = request.path_params["kind"]
        self.starts[f"{headers.get('X-Submission-Id')}/{headers.get('X-Task-Index')}"] += 1
        payload = msgspec.json.decode(await request.body()) or {}
        if self.is_failing or kind not in TASK_HANDLERS:
            return Response(f"{self.name} cannot run {kind}", status_code=500)
        await anyio.sleep(payload.get("work_ms", DEFAULT_WORK_MS) * self.slowness / 1000)
        return Response(encode_json(TASK_HANDLERS[kind](payload)), media_type="application/json")

    async def show_starts(self, _request: Request) -> Response:
        """Handle the request for the number of starts of each task on this server."""
        return Response(encode_json(dict(self.starts)), media_type="application/json")

    def app(self) -> Starlette:
        """Return the HTTP application of this backend server."""
        return Starlette(
            routes=[
                Route("/tasks/{kind}", self.run_task, methods=["POST"]),
                Route("/starts", self.show_starts, methods=["GET"]),
            ]
        )
