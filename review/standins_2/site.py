"""A small deployment: the project's roles as processes, beside stand-ins for everything else."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins_2 import http
from standins_2.http import call
from standins_2.store import Store
from standins_2.worker import Run, Worker, WorkerPlan

ROOT = Path(__file__).resolve().parents[2]
HOST = "alerts.example"
PREFIX = "/q/"
__all__ = ["BOUNDS", "CannotRunError", "Node", "Run", "Site", "has_trouble", "run_case"]

PORT_NAMES = ("front", "ready", "control", "app", "store", "first", "last")
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "contact_ms": 3_000,
    "cancel_ms": 3_000,
    "drain_ms": 2_000,
    "grace_s": 6,
    "resend_ms": 1_300,
    "max_hold_ms": 1_000,
    "far_factor": 1.5,
}
HEARTBEAT_MS = 1_500
RESTART_S = 0.3
PAUSE_CHECK_S = 0.01
MAX_PAUSE_S = 0.05


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Create an empty record."""
        self._started_at_s = time.monotonic()
        self._file = path.open("w", buffering=1)

    def note(self, event: str, **fields: object) -> None:
        """Add a line."""
        at_s = time.monotonic() - self._started_at_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {event} {text}".rstrip() + "\n")


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in a template of settings as the deploy page describes, as far as ours need it."""

    def look_up(path: str, entry: Any) -> Any:
        if path == ".":
            return entry
        found: Any = values
        for name in path.split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return found

    def replace(text: str, entry: Any = None) -> str:
        def value(match: re.Match[str]) -> str:
            found = look_up(match["path"], entry)
            return json.dumps(found) if match["json"] else str(found)

        return re.sub(r"\{\{(?P<path>[a-z_0-9.]+)(?P<json>\|json)?\}\}", value, text)

    def section(match: re.Match[str]) -> str:
        entries = look_up(match["name"], None)
        rendered = []
        for number, entry in enumerate(entries):
            comma = "," if number + 1 < len(entries) else ""
            rendered.append(replace(match["body"].replace("{{,}}", comma), entry))
        return "".join(rendered)

    sections = r"\{\{#(?P<name>[a-z_.]+)\}\}(?P<body>.*?)\{\{/(?P=name)\}\}"
    return replace(re.sub(sections, section, template, flags=re.DOTALL))


@dataclass(kw_only=True)
class Node:
    """One machine of the system, and the process of its role."""

    role: str
    name: str
    zone: str
    ip: str
    process: subprocess.Popen[bytes] | None = None
    is_elsewhere: bool = False


@dataclass(kw_only=True)
class Site:
    """The processes and stand-ins of a case."""

    record: Record
    work_s: Callable[[str], float]
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    net: str = field(default_factory=lambda: f"127.{random.randrange(10, 250)}")
    ports: dict[str, int] = field(default_factory=dict)
    store: Store = field(default_factory=Store)
    nodes: list[Node] = field(default_factory=list)
    workers: list[Worker] = field(default_factory=list)
    on_ports: list[Callable[[], Any]] = field(default_factory=list)
    version: int = 0
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    @property
    def entries(self) -> list[Node]:
        """The entries."""
        return [node for node in self.nodes if node.role == "entry"]

    @property
    def runs(self) -> list[Run]:
        """All runs on all workers."""
        return [run for worker in self.workers for run in worker.runs]

    def address(self, node: Node, port: str) -> str:
        """Return the address of a port of a machine."""
        return f"{node.ip}:{self.ports[port]}"

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, *, zones: tuple[str, ...], workers_per_zone: int) -> None:
        """Start the store, one entry for each zone, and agents with their workers."""
        self.ports = dict(zip(PORT_NAMES, _free_ports(self.net, len(PORT_NAMES)), strict=True))
        for callback in self.on_ports:
            await callback()
        await http.serve(self.store.handle, self._store_address())
        await http.serve(self.store.handle_elsewhere, self._store_address(is_elsewhere=True))
        self.put_configuration()
        for number, zone in enumerate(zones):
            self.add_entry(f"edge-{zone}-1", zone, f"{self.net}.1.{number + 1}")
        for number, zone in enumerate(zones):
            for index in range(workers_per_zone):
                ip = f"{self.net}.{number + 10}.{index + 1}"
                node = Node(role="agent", name=f"side-{zone}-{index + 1}", zone=zone, ip=ip)
                self.nodes.append(node)
                self.start_process(node)
                await self._start_worker(node, rack=f"r{number + 1}-{index // 3 + 1}")

    def add_entry(self, name: str, zone: str, ip: str) -> Node:
        """Start an entry on a new machine; all but the first see what a proxy shows them."""
        node = Node(role="entry", name=name, zone=zone, ip=ip, is_elsewhere=bool(self.nodes))
        self.nodes.append(node)
        self.start_process(node)
        return node

    async def _start_worker(self, node: Node, *, rack: str) -> None:
        plan = WorkerPlan(
            name=f"i-{node.name}",
            zone=node.zone,
            app_address=self.address(node, "app"),
            control_address=self.address(node, "control"),
            work_s=self.work_s,
            labels=("a", rack),
            heartbeat_s=HEARTBEAT_MS / 1000,
        )
        worker = Worker(plan, self.record.note, random.Random(plan.name))
        self.workers.append(worker)
        await http.serve(worker.handle, plan.app_address)
        self.spawn(worker.run())
        self.spawn(worker.send_heartbeats())

    def put_configuration(self) -> None:
        """Write a configuration with one route, as the operator does."""
        self.version += 3
        route = {
            "name": "q",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": "svc",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 60,
        }
        config = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": "svc"}],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.put("op", "config", config)

    def _store_address(self, *, is_elsewhere: bool = False) -> str:
        return f"{self.net}.0.{2 if is_elsewhere else 1}:{self.ports['store']}"

    # Processes.

    def start_process(self, node: Node) -> None:
        """Start the role of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][node.role]
        settings = self.folder / f"{node.name}.toml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), self._values(node)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PERSIMMONCRANK_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = "target/deps"
        with (self.folder / f"{node.name}.log").open("ab") as output:
            node.process = subprocess.Popen(
                deploy["run"].split(), cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.record.note("process started", node=node.name, pid=node.process.pid)

    def _values(self, node: Node) -> dict[str, Any]:
        seeds = [self.address(entry, "control") for entry in self.entries[:3]]
        return {
            "node_name": node.name,
            "zone": node.zone,
            "ip": node.ip,
            "app": self.address(node, "app"),
            "listen": {name: self.address(node, name) for name in ("front", "ready", "control")},
            "port_range": [self.ports["first"], self.ports["last"]],
            "seeds": seeds,
            "platform": {"address": self._store_address(is_elsewhere=node.is_elsewhere)},
            "bounds": BOUNDS,
            "heartbeat_ms": HEARTBEAT_MS,
        }

    def send_signal(self, node: Node, signum: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        if node.process is not None and node.process.poll() is None:
            self.record.note("signal", node=node.name, signal=signum.name)
            node.process.send_signal(signum)

    async def wait_for_exit(self, node: Node, *, timeout_s: float) -> int | None:
        """Return the exit code of a process, or None if it has not ended in time."""
        until_s = time.monotonic() + timeout_s
        while node.process is not None and time.monotonic() < until_s:
            if (code := node.process.poll()) is not None:
                self.record.note("process ended", node=node.name, code=code)
                return code
            await asyncio.sleep(0.02)
        return None

    async def restart(self, node: Node, signum: signal.Signals) -> None:
        """Stop a process, start it again shortly after its end, and wait until it is ready."""
        self.send_signal(node, signum)
        if await self.wait_for_exit(node, timeout_s=BOUNDS["grace_s"] + 1.0) is None:
            raise CannotRunError(f"{node.name} did not end")
        await asyncio.sleep(RESTART_S)
        self.start_process(node)
        await self.wait_until_ready([node])

    async def is_ready(self, node: Node) -> bool:
        """Return whether the platform would keep an entry in rotation."""
        status, _ = await call("GET", self.address(node, "ready"), "/v1/readiness", timeout_s=1.0)
        return status == 200

    async def wait_until_ready(self, nodes: list[Node], *, timeout_s: float = 15.0) -> None:
        """Wait until entries are ready."""
        until_s = time.monotonic() + timeout_s
        for node in nodes:
            while not await self.is_ready(node):
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{node.name} is not ready")
                await asyncio.sleep(0.05)

    # Clients.

    async def submit(
        self, node: Node, job_id: str, job: dict[str, Any], *, deadline_ms: int
    ) -> Any:
        """Hand a job in at an entry; return the status and the body of the answer."""
        self.record.note("POST", job=job_id, entry=node.name)
        answer = await call(
            "POST",
            self.address(node, "front"),
            PREFIX + job_id,
            body=job,
            headers={"host": HOST, "x-deadline-ms": str(deadline_ms)},
            timeout_s=deadline_ms / 1000,
        )
        self.record.note("POST answered", job=job_id, entry=node.name, answer=answer)
        return answer

    async def cancel(self, node: Node, job_id: str) -> Any:
        """Cancel a job at an entry; return the status and the body of the answer."""
        self.record.note("DELETE", job=job_id, entry=node.name)
        answer = await call(
            "DELETE", self.address(node, "front"), PREFIX + job_id, headers={"host": HOST}
        )
        self.record.note("DELETE answered", job=job_id, entry=node.name, answer=answer)
        return answer

    async def wait_for_runs(self, job_id: str) -> None:
        """Wait until a task of a job is running."""
        until_s = time.monotonic() + 5.0
        while not any(run.task.startswith(job_id) for run in self.runs):
            if time.monotonic() > until_s:
                raise CannotRunError(f"the job {job_id} did not start")
            await asyncio.sleep(0.02)

    def count_late_starts(self, job_id: str, after_s: float) -> int:
        """Return the starts of a job's tasks after a time; put them on record."""
        late = [
            run for run in self.runs if run.task.startswith(job_id) and run.started_at_s > after_s
        ]
        for run in late:
            late_ms = int((run.started_at_s - after_s) * 1000)
            self.record.note("LATE START", task=run.task, worker=run.worker, late_ms=late_ms)
        return len(late)

    async def watch_pauses(self) -> None:
        """Put on record when the stand-ins themselves answer late, which would distort a case."""
        while True:
            asked_at_s = time.monotonic()
            await asyncio.sleep(PAUSE_CHECK_S)
            paused_s = time.monotonic() - asked_at_s - PAUSE_CHECK_S
            if paused_s > MAX_PAUSE_S:
                self.record.note("stand-ins paused", paused_ms=int(paused_s * 1000))

    def close(self) -> None:
        """End all processes that this case started, and remove its folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def _free_ports(net: str, count: int) -> list[int]:
    """Return ports below the ephemeral range that are free at all addresses of the case."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(15_000, 30_000)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("0.0.0.0", port))
            if port not in found:
                found.append(port)
    return found


def has_trouble() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Site], Any], *, folder: Path, work_s: Callable[[str], float]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")

    async def main() -> int:
        site = Site(record=record, work_s=work_s)
        site.spawn(site.watch_pauses())
        try:
            async with asyncio.timeout(115):
                broken = await case(site)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.note("cannot run", cause=repr(error))
            return NOT_RUN
        finally:
            site.close()
        record.note("result", broken=broken)
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(main()))
