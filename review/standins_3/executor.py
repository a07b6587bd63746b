"""A stand-in for an executor: runs under a lease, as the pages describe them."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from standins_3.http import Answer, Request, Server, call

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.005
STOP_S = 0.03
MAX_HOLD_MS = 1_000
HEARTBEAT_S = 1.5
MAX_ENDS = 500


@dataclass
class Run:
    """A run that has not ended."""

    number: int
    spec: str
    started_s: float
    ends_s: float
    fails: bool = False
    stops_s: float | None = None


@dataclass
class Started:
    """One start in the history of all executors; ``ended_s`` is None while it runs."""

    executor: str
    task: str
    number: int
    spec: str
    at_s: float
    ended_s: float | None = None
    how: str = ""
    late: bool = False


@dataclass
class Faults:
    """Shares of orders that are carried out late, or whose answers are lost."""

    late_share: float = 0.0
    lost_share: float = 0.0


class Executor:
    """One executor beside an agent; it starts whatever it is told to start."""

    def __init__(
        self,
        name: str,
        *,
        address: tuple[str, int],
        control: tuple[str, int],
        zone: str,
        work_s: Callable[[str], float],
        history: list[Started],
        service: str = "svc",
        cpu: int = 16_000,
        labels: tuple[str, ...] = ("a",),
        seed: int = 1,
    ) -> None:
        """Create an executor that has not started."""
        self.name, self.zone, self.service, self.cpu, self.labels = name, zone, service, cpu, labels
        self.history, self.faults = history, Faults()
        self.clock_rate = 1.0  # a clock may be 2% slow
        self.draining = False
        self.draining_acked_s: float | None = None
        self._address, self._control, self._work_s = address, control, work_s
        self._random = random.Random(f"{seed} {name}")
        self.server = Server(*address, self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self._late: set[asyncio.Task[None]] = set()
        self._reset()

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self._origin_s = time.monotonic()
        self._sequence = self._fence = self._until_ms = self._cursor = 0
        self._runs: dict[str, Run] = {}
        self._ends: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the time on the executor's steady clock."""
        return int((time.monotonic() - self._origin_s) * 1000 * self.clock_rate)

    async def start(self) -> None:
        """Start a life of the executor under its id."""
        self._reset()
        await self.server.start()
        self._tasks = [asyncio.create_task(self._tick()), asyncio.create_task(self._beat())]

    async def crash(self) -> None:
        """End without a word; all that runs ends too."""
        for task in (*self._tasks, *self._late):
            task.cancel()
        self._late.clear()
        await self.server.stop()
        for name in list(self._runs):
            self._end(name, "crashed")

    # Heartbeats.

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> int | None:
        """Send one heartbeat; return the status of its answer, if one arrives within a second."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "capacity": {"cpu": self.cpu, "mem_mb": 32_768},
            "labels": list(self.labels),
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "seq": self._sequence,
        }
        path = f"/v1/instances/{self.name}/heartbeat"
        is_draining = self.draining
        try:
            answer = await asyncio.wait_for(call("POST", self._control, path, body=body), 1.0)
        except (ConnectionError, TimeoutError):
            return None
        if is_draining and answer.status == 200 and self.draining_acked_s is None:
            self.draining_acked_s = time.monotonic()
        return answer.status

    # Runs.

    async def _tick(self) -> None:
        while True:
            self._end_due()
            await asyncio.sleep(TICK_S)

    def _end_due(self) -> None:
        now_s = time.monotonic()
        has_lapsed = self.clock_ms() > self._until_ms
        for name, run in list(self._runs.items()):
            if run.stops_s is not None and run.stops_s <= now_s:
                self._end(name, "stopped")
            elif has_lapsed:
                self._end(name, "lapsed")
            elif run.ends_s <= now_s:
                self._end(name, "failed" if run.fails else "done")

    def _end(self, name: str, how: str) -> None:
        run = self._runs.pop(name)
        self._highest[name] = max(self._highest.get(name, 0), run.number)
        self._cursor += 1
        self._ends.append([self._cursor, name, run.number, how, ""])
        for entry in reversed(self.history):
            if (entry.executor, entry.task, entry.number) == (self.name, name, run.number):
                entry.ended_s, entry.how = time.monotonic(), how
                break
        self._ended.set()

    def _extend(self, deadline_ms: int) -> None:
        self._until_ms = max(self._until_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def _handle(self, request: Request) -> Answer | None:
        await asyncio.sleep(0.0005)
        if request.method == "GET":
            return Answer(200)
        if request.headers.get("x-expected-instance") != self.name:
            return Answer(421)
        body = request.json()
        orders = {"/v1/run-start": self._start_run, "/v1/run-stop": self._stop_run}
        if request.path in orders:
            order = orders[request.path]
            if self._random.random() < self.faults.late_share:
                task = asyncio.create_task(self._carry_out_late(order, body))
                self._late.add(task)
                return None
            answer = order(body, late=False)
            return None if self._random.random() < self.faults.lost_share else answer
        if request.path == "/v1/hold":
            return await self._hold(body)
        return Answer(404)

    async def _carry_out_late(self, order: Callable[..., Answer], body: dict[str, Any]) -> None:
        await asyncio.sleep(self._random.uniform(2.0, 12.0))
        order(body, late=True)

    def _refuse(self, reason: str) -> Answer:
        return Answer(409, {"clock_ms": self.clock_ms(), "born": self.born, "reason": reason})

    def _accept(self, **fields: Any) -> Answer:
        return Answer(200, {"clock_ms": self.clock_ms(), "born": self.born, **fields})

    def _has_low_fence(self, body: dict[str, Any]) -> bool:
        fence = body.get("fence", 0)
        if fence < self._fence:
            return True
        self._fence = fence
        return False

    def _start_run(self, body: dict[str, Any], *, late: bool) -> Answer:
        self._end_due()
        name, number = body["task"], body["run"]
        if self._has_low_fence(body):
            return self._refuse("fence")
        if body["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["deadline_ms"])
        running = self._runs.get(name)
        if running is not None and running.number == number:
            return self._accept()
        if running is not None or number <= self._highest.get(name, 0):
            return self._refuse("old")
        now_s = time.monotonic()
        ends_s = now_s + self._work_s(name)
        self._runs[name] = Run(number, body["task_spec"], now_s, ends_s)
        self.history.append(Started(self.name, name, number, body["task_spec"], now_s, late=late))
        return self._accept()

    def _stop_run(self, body: dict[str, Any], *, late: bool) -> Answer:
        del late
        self._end_due()
        if self._has_low_fence(body):
            return self._refuse("fence")
        name, number = body["task"], body["run"]
        self._highest[name] = max(self._highest.get(name, 0), number)
        run = self._runs.get(name)
        if run is not None and run.number <= number and run.stops_s is None:
            run.stops_s = time.monotonic() + STOP_S
        return self._accept()

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if self._has_low_fence(body):
            return self._refuse("fence")
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        until_s = time.monotonic() + min(body.get("wait_ms", 0), 2_000) / 1000
        while not self._ends and time.monotonic() < until_s:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), until_s - time.monotonic())
            except TimeoutError:
                break
        self._end_due()
        running = []
        for name, run in self._runs.items():
            share = (time.monotonic() - run.started_s) / max(run.ends_s - run.started_s, 0.001)
            running.append([name, run.number, "", min(int(share * 100), 99), 1000])
        return self._accept(running=running, ended=self._ends[:MAX_ENDS])
