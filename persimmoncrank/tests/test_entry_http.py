"""Tests of the entry's HTTP interface: responses to valid and invalid requests."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import msgspec
import pytest
from anyio import to_thread

from persimmoncrank.commands import plan
from persimmoncrank.protocol import ANSWERS, ErrorKind
from persimmoncrank.standin import free_addresses
from persimmoncrank.tests.base import CUSTOMER, KIND, World, wait_until_converged
from persimmoncrank.transport import ApiLimits, RpcClient, entry_app, entry_metrics, serve_http
from persimmoncrank.transport._http_server import open_listener

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TASK = {"kind": KIND, "run_time_ms": 5, "payload": {"door": 7}}
LIMITS = ApiLimits(max_body_bytes=2_000, id_lifetime_ms=120_000)


class Api:
    """A client of one entry under test."""

    def __init__(self, *, pool: httpcore.AsyncConnectionPool, url: str) -> None:
        """Create a client."""
        self._pool = pool
        self.url = url

    async def call(
        self, method: str, path: str, content: bytes = b"", key: str | None = None
    ) -> tuple[int, Any]:
        """Send a request and return the status and the decoded body."""
        headers = [] if key is None else [("Idempotency-Key", key)]
        response = await self._pool.request(
            method, f"{self.url}{path}", headers=headers, content=content
        )
        text = response.content
        is_json = dict(response.headers).get(b"content-type") == b"application/json"
        return response.status, msgspec.json.decode(text) if is_json else text.decode()

    async def issue_id(self) -> str:
        """Request one submission id."""
        _, body = await self.call("POST", "/v1/submission-ids", b'{"count": 1}')
        return body["submission_ids"][0]


def run_with_api(test: Callable[[Api], Awaitable[None]]) -> None:
    """Run a test against the real HTTP interface of one entry with two agents."""

    async def main() -> None:
        async with anyio.create_task_group() as group, RpcClient() as client:
            world = World(group=group, seed=1)
            node = world.start_entry("e0").node
            world.start_agent("a0", "monza")
            world.start_agent("a1", "seregno")
            await wait_until_converged(world)
            await world.add_customer("e0")
            app = entry_app(node, entry_metrics(node, client), LIMITS)
            async with (
                serve_http(app, free_addresses(1)[0]) as server,
                httpcore.AsyncConnectionPool() as pool,
            ):
                await test(Api(pool=pool, url=f"http://{server.address}"))
            group.cancel_scope.cancel()

    anyio.run(main)


def job(**changes: Any) -> bytes:
    """Return the body of a job with some fields changed."""
    return msgspec.json.encode({"customer": CUSTOMER, "tasks": [TASK], **changes})


INVALID_REQUESTS = [
    ("/v1/submission-ids", b'{"count": 0}', ErrorKind.INVALID_REQUEST, "count"),
    ("/v1/submission-ids", b'{"count": "x"}', ErrorKind.INVALID_REQUEST, "count"),
    ("/v1/jobs", b"{", ErrorKind.INVALID_REQUEST, None),
    ("/v1/jobs", b'{"customer": "\xff"}', ErrorKind.INVALID_REQUEST, None),
    ("/v1/jobs", job(), ErrorKind.INVALID_REQUEST, "submission_id"),
    ("/v1/jobs", job(submission_id="nonsense"), ErrorKind.INVALID_REQUEST, "submission_id"),
    ("/v1/jobs", job(surprise=1), ErrorKind.INVALID_REQUEST, "surprise"),
    ("/v1/jobs", job(deadline_ms=0), ErrorKind.INVALID_REQUEST, "deadline_ms"),
    ("/v1/jobs", job(tasks=[{"kind": 5}]), ErrorKind.INVALID_REQUEST, "tasks[0].kind"),
    ("/v1/jobs", job(tasks=[{**TASK, "x": 1}]), ErrorKind.INVALID_REQUEST, "tasks[0].x"),
    ("/v1/jobs", job(submission_id="x" * 2_000), ErrorKind.PAYLOAD_TOO_LARGE, None),
    ("/v1/requests", b"{}", ErrorKind.INVALID_REQUEST, None),
    ("/v1/plans", b'{"kind": "fly", "target": "x"}', ErrorKind.INVALID_REQUEST, "kind"),
    ("/v1/plans", b'{"kind": "expel", "target": "x"}', ErrorKind.INVALID_REQUEST, "target"),
    ("/v1/plans/none/confirm", b"", ErrorKind.NOT_FOUND, "plan_id"),
    ("/v1/nothing", b"", ErrorKind.NOT_FOUND, None),
]


def test_invalid_requests_report_kind_field_and_message() -> None:
    async def test(api: Api) -> None:
        for path, content, kind, field in INVALID_REQUESTS:
            status, body = await api.call("POST", path, content)
            error = body["error"]
            assert (status, error["kind"]) == (ANSWERS[kind].http_status, kind), (path, content)
            assert error["field"] == field, (path, content, error)
            assert error["message"]
            assert error["not_run"]

    run_with_api(test)


@pytest.mark.parametrize("wait_ms", ["9" * 4301, "60001", "-1", "1.5", "x", ""])
@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_wait_that_is_not_a_number_of_milliseconds_is_refused(method: str, wait_ms: str) -> None:
    async def test(api: Api) -> None:
        path = f"/v1/jobs/{await api.issue_id()}?wait_ms={wait_ms}"
        status, body = await api.call(method, path)
        assert status == 400
        assert body["error"]["field"] == "wait_ms"

    run_with_api(test)


def test_job_answer_is_complete_and_repeatable() -> None:
    async def test(api: Api) -> None:
        submission_id = await api.issue_id()
        content = job(submission_id=submission_id, tasks=[TASK] * 5)
        for _ in range(2):
            status, body = await api.call("POST", "/v1/jobs", content)
            assert (status, body["state"]) == (200, "complete")
            assert [result["index"] for result in body["results"]] == [0, 1, 2, 3, 4]
        status, body = await api.call("GET", f"/v1/jobs/{submission_id}")
        assert (status, body["state"]) == (200, "complete")

    run_with_api(test)


def test_running_job_returns_202_and_can_be_cancelled() -> None:
    async def test(api: Api) -> None:
        submission_id = await api.issue_id()
        slow = {**TASK, "run_time_ms": 3_000}
        content = job(submission_id=submission_id, tasks=[slow], wait_ms=0)
        status, body = await api.call("POST", "/v1/jobs", content)
        assert (status, body["state"]) == (202, "running")
        await anyio.sleep(0.3)
        status, body = await api.call("DELETE", f"/v1/jobs/{submission_id}")
        assert (status, body["error"]["kind"]) == (409, "cancelled")
        assert not body["error"]["not_run"]

    run_with_api(test)


def test_request_with_same_key_is_not_run_again() -> None:
    async def test(api: Api) -> None:
        content = msgspec.json.encode({"customer": CUSTOMER, **TASK})
        first = await api.call("POST", "/v1/requests", content, key="lead-1")
        again = await api.call("POST", "/v1/requests", content, key="lead-1")
        other = await api.call("POST", "/v1/requests", content)
        assert first[0] == again[0] == other[0] == 200
        assert first[1] == again[1] != other[1]

    run_with_api(test)


def test_conflicting_plan_is_rejected_with_a_fresh_plan() -> None:
    async def test(api: Api) -> None:
        settings = plan.PlanSettings(entry_url=api.url)
        ids = []
        for target in ("monza", "seregno"):
            intent = msgspec.json.encode({"kind": "withdraw-domain", "target": target})
            _, report = await api.call("POST", "/v1/plans", intent)
            ids.append(report["plan"]["plan_id"])
        accepted = await to_thread.run_sync(plan.confirm, settings, ids[0])
        assert "accepted" in accepted.unwrap()
        rejected = (await to_thread.run_sync(plan.confirm, settings, ids[1])).unwrap_err()
        assert rejected.startswith(f"plan {ids[1]} is rejected")
        assert "a fresh plan:" in rejected
        assert "withdraw failure domain seregno" in rejected
        fresh = rejected.rsplit(" ", 1)[1]
        confirmed = await to_thread.run_sync(plan.confirm, settings, fresh)
        assert "accepted" in confirmed.unwrap()

    run_with_api(test)


def test_health_and_metrics() -> None:
    async def test(api: Api) -> None:
        assert await api.call("GET", "/healthz") == (200, "ok\n")
        assert await api.call("GET", "/readyz") == (200, "ready\n")
        status, text = await api.call("GET", "/metrics")
        assert status == 200
        assert "agents_live{" in text

    run_with_api(test)


def test_listener_disables_nagle_algorithm() -> None:
    async def main() -> None:
        with open_listener(free_addresses(1)[0]) as listener:
            assert listener.proto == socket.IPPROTO_TCP

    anyio.run(main)
