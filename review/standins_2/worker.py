"""A stand-in for an executor, which does what the pages say of a sound one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from standins_2.http import Answer, Request, call

if TYPE_CHECKING:
    import random

ORDERS = ("/v1/run-start", "/v1/run-stop")
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0
UNANSWERED_CLOSE_S = 1.0
MAX_HOLD_MS = 1_000
STOP_S = 0.05
TICK_S = 0.005
HEARTBEAT_ACK_S = 1.0


@dataclass(kw_only=True)
class Run:
    """One run of a task. Times are of the script's monotonic clock."""

    task: str
    number: int
    spec: str
    work_s: float
    started_at_s: float
    worker: str
    zone: str
    ended_at_s: float | None = None
    how: str = ""
    stops_at_s: float | None = None


@dataclass(kw_only=True)
class WorkerPlan:
    """What a worker is: its addresses, its size and how long tasks work."""

    name: str
    zone: str
    app_address: str
    control_address: str
    work_s: Callable[[str], float]
    service: str = "svc"
    capacity_cpu: int = 16_000
    memory_mb: int = 32_768
    labels: tuple[str, ...] = ("a", "r1-1")
    heartbeat_s: float = 1.5


class Worker:
    """An executor. ``late_share`` of its orders get no answer and are carried out seconds later."""

    def __init__(self, plan: WorkerPlan, note: Callable[..., None], rng: random.Random) -> None:
        """Create a worker; ``note`` writes to the record."""
        self.plan = plan
        self.runs: list[Run] = []
        self.active: list[Run] = []
        self.late_share = 0.0
        self._note = note
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()
        self.born_ms = int(time.time() * 1000)
        self._clock_origin_s = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._cursor = 0
        self._lease_until_ms = 0
        self._ended: list[list[Any]] = []
        self._last_numbers: dict[str, int] = {}

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self._clock_origin_s) * 1000)

    async def run(self) -> None:
        """End due runs until cancelled."""
        while True:
            self._end_due_runs()
            await asyncio.sleep(TICK_S)

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the agent until cancelled."""
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(self.plan.heartbeat_s)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        plan = self.plan
        await call(
            "POST",
            plan.control_address,
            f"/v1/instances/{plan.name}/heartbeat",
            body={
                "service": plan.service,
                "address": plan.app_address,
                "zone": plan.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": plan.capacity_cpu, "mem_mb": plan.memory_mb, "gpu": 0},
                "labels": list(plan.labels),
                "clock_ms": self.clock_ms,
                "seq": self._sequence,
                "born": self.born_ms,
            },
            timeout_s=HEARTBEAT_ACK_S,
        )

    async def handle(self, request: Request) -> Answer:
        """Answer a call of the agent, or leave it unanswered."""
        if request.path in ORDERS and self._rng.random() < self.late_share:
            task = asyncio.get_running_loop().create_task(self._carry_out_late(request))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(UNANSWERED_CLOSE_S)
            return Answer(status=None)
        return await self._carry_out(request)

    async def _carry_out_late(self, request: Request) -> None:
        await asyncio.sleep(self._rng.uniform(LATE_MIN_S, LATE_MAX_S))
        await self._carry_out(request)

    async def _carry_out(self, request: Request) -> Answer:
        if request.headers.get("x-expected-instance", self.plan.name) != self.plan.name:
            return Answer(status=421)
        self._end_due_runs()
        body = request.json()
        fence = body.get("fence", 0)
        if fence < self._fence:
            return self._conflict("fence")
        self._fence = fence
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        return Answer(status=404)

    def _conflict(self, reason: str) -> Answer:
        return Answer(status=409, body={"clock_ms": self.clock_ms, "reason": reason})

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        self._extend_lease(body["deadline_ms"])
        if any(run.task == task and run.number == number for run in self.active):
            return Answer(body={"clock_ms": self.clock_ms})
        if number <= self._last_numbers.get(task, 0):
            return self._conflict("old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._conflict("late")
        run = Run(
            task=task,
            number=number,
            spec=body["task_spec"],
            work_s=self.plan.work_s(body["task_spec"]),
            started_at_s=time.monotonic(),
            worker=self.plan.name,
            zone=self.plan.zone,
        )
        self.runs.append(run)
        self.active.append(run)
        self._note("start", worker=self.plan.name, task=task, run=number)
        return Answer(body={"clock_ms": self.clock_ms})

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        self._last_numbers[task] = max(self._last_numbers.get(task, 0), number)
        for run in self.active:
            if (run.task, run.number) == (task, number) and run.stops_at_s is None:
                run.stops_at_s = time.monotonic() + STOP_S
        return Answer(body={"clock_ms": self.clock_ms})

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        self._ended = [end for end in self._ended if end[0] > body["ack_cursor"]]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ended and time.monotonic() < until_s:
            await asyncio.sleep(TICK_S)
        self._end_due_runs()
        running = [[run.task, run.number, "", self._percent(run), 0] for run in self.active]
        return Answer(
            body={
                "clock_ms": self.clock_ms,
                "born": self.born_ms,
                "running": running,
                "ended": self._ended[:500],
            }
        )

    @staticmethod
    def _percent(run: Run) -> int:
        return min(int(100 * (time.monotonic() - run.started_at_s) / max(run.work_s, TICK_S)), 99)

    def _extend_lease(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms + MAX_HOLD_MS
        self._lease_until_ms = max(self._lease_until_ms, min(deadline_ms, longest_ms))

    def _end_due_runs(self) -> None:
        now_s = time.monotonic()
        is_lapsed = self.clock_ms > self._lease_until_ms
        for run in list(self.active):
            if run.stops_at_s is not None and run.stops_at_s <= now_s:
                self._end(run, "stopped")
            elif is_lapsed:
                self._end(run, "lapsed")
            elif run.started_at_s + run.work_s <= now_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        run.ended_at_s, run.how = time.monotonic(), how
        self.active.remove(run)
        self._last_numbers[run.task] = max(self._last_numbers.get(run.task, 0), run.number)
        self._cursor += 1
        self._ended.append([self._cursor, run.task, run.number, how, ""])
        self._note("end", worker=self.plan.name, task=run.task, run=run.number, how=how)
