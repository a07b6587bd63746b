"""An executor that runs tasks under a lease, as the pages on running tasks describe it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins_4.http import Request, Response, Server, call

MAX_HOLD_S = 1.0
STOP_S = 0.05
TICK_S = 0.002
ANSWER_S = 0.0005


@dataclass
class Span:
    """One run of a task, for the record."""

    executor: str
    life: int
    task: str
    run: int
    cpu: int
    spec: str
    started_s: float
    ended_s: float | None = None
    how: str = ""


@dataclass
class _Active:
    span: Span
    ends_s: float
    stops_s: float | None = None


@dataclass
class Executor:
    """One executor; ``cpu_of`` and ``run_s_of`` tell what a task uses and how long it takes."""

    name: str
    address: str
    control: str
    zone: str
    cpu: int
    cpu_of: Callable[[str], int]
    run_s_of: Callable[[str], float]
    heartbeat_s: float = 0.5
    state: str = "ready"
    labels: list[str] = field(default_factory=lambda: ["a", "r1-1"])
    is_mute: bool = False
    late_share: float = 0.0
    lost_share: float = 0.0
    spans: list[Span] = field(default_factory=list)
    beats: list[tuple[float, str, int | None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin the first life."""
        self.life = 0
        self._late: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.life += 1
        self.born = int(time.time() * 1000)
        self.seq = 0
        self._origin_s = time.monotonic() - random.uniform(1.0, 5.0)
        self._fence = 0
        self._lease_until_ms = 0
        self._active: dict[tuple[str, int], _Active] = {}
        self._ended: list[list[Any]] = []
        self._next_end = 1
        self._highest: dict[str, int] = {}
        self._changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The executor's steady clock."""
        return int((time.monotonic() - self._origin_s) * 1000)

    async def start(self) -> None:
        """Listen for calls."""
        self._server = Server(self._handle)
        await self._server.start(self.address)

    def crash(self) -> None:
        """End all runs and stop listening."""
        for key in list(self._active):
            self._end(key, "crashed")
        if self._server is not None:
            self._server.stop()
        self._server = None

    async def restart(self) -> None:
        """Start again under the same id, without any knowledge of before."""
        self._begin_life()
        await self.start()

    async def run(self) -> None:
        """End runs in time, until cancelled."""
        while True:
            self._end_due()
            await asyncio.sleep(TICK_S)

    def heartbeat_body(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.seq += 1
        return {
            "service": "svc",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "seq": self.seq,
            "born": self.born,
        }

    async def send_heartbeat(self) -> int | None:
        """Send a heartbeat; return the status of the answer, or None without one."""
        if self._server is None:
            return None
        path = f"/v1/instances/{self.name}/heartbeat"
        state = self.state
        answer = await call(self.control, "POST", path, body=self.heartbeat_body(), timeout_s=1.0)
        status = None if answer is None else answer.status
        self.beats.append((time.monotonic(), state, status))
        return status

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    def _end(self, key: tuple[str, int], how: str) -> None:
        active = self._active.pop(key)
        active.span.ended_s, active.span.how = time.monotonic(), how
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        if how != "crashed":
            self._ended.append([self._next_end, key[0], key[1], how, ""])
            self._next_end += 1
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()

    def _end_due(self) -> None:
        now_s = time.monotonic()
        has_lapsed = self.clock_ms >= self._lease_until_ms
        for key, active in list(self._active.items()):
            if has_lapsed:
                self._end(key, "lapsed")
            elif active.stops_s is not None and now_s >= active.stops_s:
                self._end(key, "stopped")
            elif now_s >= active.ends_s:
                self._end(key, "done")

    async def _handle(self, request: Request) -> Response | None:
        await asyncio.sleep(ANSWER_S)
        self._end_due()
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return Response(421, {"clock_ms": self.clock_ms})
        if self.is_mute:
            await asyncio.sleep(3600)
        is_order = request.path != "/v1/hold"
        if is_order and random.random() < self.late_share:
            self._late.add(asyncio.create_task(self._carry_out_late(request, self.life)))
            await asyncio.sleep(3600)
        response = await self._carry_out(request)
        if is_order and random.random() < self.lost_share:
            await asyncio.sleep(3600)
        return response

    async def _carry_out_late(self, request: Request, life: int) -> None:
        await asyncio.sleep(random.uniform(2.0, 12.0))
        if life == self.life and self._server is not None:
            self._end_due()
            await self._carry_out(request)

    async def _carry_out(self, request: Request) -> Response | None:
        body = request.json()
        if int(body.get("fence", 0)) < self._fence:
            return Response(409, {"clock_ms": self.clock_ms, "reason": "fence"})
        self._fence = int(body.get("fence", 0))
        match request.path:
            case "/v1/run-start":
                return self._start_run(body)
            case "/v1/run-stop":
                return self._stop_run(body)
            case "/v1/hold":
                return await self._hold(body)
        return Response(404, {})

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms + int(MAX_HOLD_S * 1000)
        self._lease_until_ms = max(self._lease_until_ms, min(deadline_ms, limit_ms))

    def _start_run(self, body: dict[str, Any]) -> Response:
        task, run = body["task"], int(body["run"])
        if (task, run) in self._active:
            self._extend(body["deadline_ms"])
            return Response(200, {"clock_ms": self.clock_ms})
        if run <= self._highest.get(task, 0):
            self._extend(body["deadline_ms"])
            return Response(409, {"clock_ms": self.clock_ms, "reason": "old"})
        if body["deadline_ms"] <= self.clock_ms:
            return Response(409, {"clock_ms": self.clock_ms, "reason": "late"})
        self._extend(body["deadline_ms"])
        now_s = time.monotonic()
        span = Span(self.name, self.life, task, run, self.cpu_of(task), body["task_spec"], now_s)
        self.spans.append(span)
        self._active[task, run] = _Active(span, now_s + self.run_s_of(task))
        return Response(200, {"clock_ms": self.clock_ms})

    def _stop_run(self, body: dict[str, Any]) -> Response:
        task, run = body["task"], int(body["run"])
        self._highest[task] = max(self._highest.get(task, 0), run)
        active = self._active.get((task, run))
        if active is not None and active.stops_s is None:
            active.stops_s = time.monotonic() + 0.5 * STOP_S
        return Response(200, {"clock_ms": self.clock_ms})

    async def _hold(self, body: dict[str, Any]) -> Response:
        if body.get("deadline_ms") is not None:
            self._extend(body["deadline_ms"])
        self._ended = [end for end in self._ended if end[0] > body["ack_cursor"]]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ended and time.monotonic() < until_s:
            try:
                async with asyncio.timeout(max(until_s - time.monotonic(), 0)):
                    await self._changed.wait()
            except TimeoutError:
                break
        running = [
            [task, run, "", self._percent(active), active.span.cpu]
            for (task, run), active in self._active.items()
        ]
        rows = self._ended[:500]
        return Response(
            200,
            {"clock_ms": self.clock_ms, "born": self.born, "running": running, "ended": rows},
        )

    def _percent(self, active: _Active) -> int:
        total_s = max(active.ends_s - active.span.started_s, TICK_S)
        return min(int(100 * (time.monotonic() - active.span.started_s) / total_s), 99)
