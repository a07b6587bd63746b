"""A small deployment: entries and agents as processes, with stand-ins for all that they call."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import random
import re
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins_4.executor import Executor, Span
from standins_4.http import Response, Server, call
from standins_4.store import Store

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable

ROOT = Path.cwd()
HOST = "alerts.example"
PORTS = ("front", "ready", "control", "app", "store", "stream", "metrics")
READY_WITHIN_S = 30.0
RESEND_S = 1.3
GRACE_S = 6


@dataclass
class Node:
    """One machine with one role."""

    role: str
    name: str
    host: str
    zone: str
    process: subprocess.Popen[bytes] | None = None


def _free_ports(hosts: list[str]) -> dict[str, int]:
    """Return one port for each purpose, free on all hosts; two successive ones for the nodes."""
    for _ in range(200):
        first = random.randrange(20_000, 50_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for offset in range(len(PORTS)):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((host, first + offset))
            except OSError:
                continue
            return {name: first + offset for offset, name in enumerate(PORTS)}
    raise RuntimeError("no free ports")


def _fill_template(text: str, values: dict[str, Any]) -> str:
    """Fill in the placeholders that the project's templates use."""

    def find(path: str) -> Any:
        found: Any = values
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return found

    def fill_section(match: re.Match[str]) -> str:
        items = find(match[1])
        parts = []
        for number, item in enumerate(items):
            comma = "," if number + 1 < len(items) else ""
            part = match[2].replace("{{.|json}}", json.dumps(item)).replace("{{.}}", str(item))
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", fill_section, text, flags=re.DOTALL)
    text = re.sub(r"{{([\w.]+)\|json}}", lambda match: json.dumps(find(match[1])), text)
    return re.sub(r"{{([\w.]+)}}", lambda match: str(find(match[1])), text)


@dataclass
class Deployment:
    """The processes, the stand-ins, and the record of what happened."""

    entries: int
    agents: int
    cpu: int = 16_000
    heartbeat_s: float = 0.5
    zones: int = 3
    record: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Choose addresses; nothing is started yet."""
        self._block = random.randrange(10, 250)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.started_s = time.monotonic()
        self.cpu_by_job: dict[str, int] = {}
        self.run_s_by_job: dict[str, float] = {}
        self.store = Store()
        self.nodes = [self._node("entry", n) for n in range(self.entries)]
        self.nodes += [self._node("agent", n) for n in range(self.agents)]
        self.store_hosts = {
            node.name: f"127.{self._block}.3.{number}" for number, node in enumerate(self.nodes, 1)
        }
        hosts = [node.host for node in self.nodes] + list(self.store_hosts.values())
        self.ports = _free_ports(hosts)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        self.executors = [self._executor(node) for node in self.nodes if node.role == "agent"]
        self._store_servers = {
            node.name: Server(functools.partial(self.store.handle, node.name))
            for node in self.nodes
        }
        self._tasks: list[asyncio.Task[None]] = []

    def _node(self, role: str, number: int) -> Node:
        third = 1 if role == "entry" else 2
        host = f"127.{self._block}.{third}.{number + 1}"
        return Node(role, f"{role}-{number}", host, f"z{number % self.zones}")

    def _executor(self, node: Node) -> Executor:
        return Executor(
            name=f"i-{random.getrandbits(32):08x}",
            address=f"{node.host}:{self.ports['app']}",
            control=f"{node.host}:{self.ports['control']}",
            zone=node.zone,
            cpu=self.cpu,
            cpu_of=lambda task: self.cpu_by_job.get(task.split(".")[0], 0),
            run_s_of=lambda task: self.run_s_by_job.get(task.split(".")[0], 0.1),
            heartbeat_s=self.heartbeat_s,
        )

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.record.append((time.monotonic() - self.started_s, text))

    def node(self, name: str) -> Node:
        """Return the node with a name."""
        return next(node for node in self.nodes if node.name == name)

    def address(self, node: Node, port: str) -> str:
        """Return the address of a port of a node."""
        return f"{node.host}:{self.ports[port]}"

    def _store_address(self, node: Node) -> str:
        """Return the store's address for one machine; the store is the same for all."""
        return f"{self.store_hosts[node.name]}:{self.ports['store']}"

    # Processes.

    def _settings(self, node: Node) -> str:
        def own(port: str) -> str:
            return self.address(node, port)

        entries = [each for each in self.nodes if each.role == "entry"]
        values = {
            "node_name": node.name,
            "zone": node.zone,
            "ip": node.host,
            "listen": {"front": own("front"), "ready": own("ready"), "control": own("control")},
            "app": own("app"),
            "port_range": [self.ports["stream"], self.ports["metrics"]],
            "platform": {"address": self._store_address(node)},
            "seeds": [self.address(each, "control") for each in entries[:3]],
            "heartbeat_ms": int(self.heartbeat_s * 1000),
            "bounds": {
                "max_hold_ms": 1000,
                "resend_ms": int(RESEND_S * 1000),
                "grace_s": GRACE_S,
                "far_factor": 1.5,
            },
        }
        return _fill_template((ROOT / self._roles[node.role]["template"]).read_text(), values)

    def start_process(self, node: Node) -> None:
        """Start the process of a node with the command of the deploy file."""
        path = Path(self._folder.name) / f"{node.name}.toml"
        path.write_text(self._settings(node))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {"PERSIMMONCRANK_SETTINGS": str(path), "PYTHONPATH": "target/deps"}
        with (Path(self._folder.name) / f"{node.name}.log").open("ab") as output:
            node.process = subprocess.Popen(
                self._roles[node.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def log_text(self, node: Node) -> str:
        """Return what the processes of a node have written."""
        return (Path(self._folder.name) / f"{node.name}.log").read_text(errors="replace")

    def send_signal(self, node: Node, signum: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        assert node.process is not None
        self.note(f"{signum.name} to {node.name}")
        node.process.send_signal(signum)

    async def restart_process(self, node: Node, *, after_s: float = 0.3) -> None:
        """Start the process of a node again once it has ended."""
        assert node.process is not None
        while node.process.poll() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(after_s)
        self.start_process(node)
        self.note(f"{node.name} started again")

    # The whole.

    async def start(self) -> None:
        """Start the stand-ins and the processes, and wait until all entries are ready."""
        self.put_config(1)
        for node in self.nodes:
            await self._store_servers[node.name].start(self._store_address(node))
            self.start_process(node)
        for executor in self.executors:
            await executor.start()
            self._tasks.append(asyncio.create_task(executor.run()))
            self._tasks.append(asyncio.create_task(executor.run_heartbeats()))
        for node in self.nodes:
            if node.role == "entry":
                await self.wait_ready(node)
        await self.wait_until(self._are_agents_connected, READY_WITHIN_S)
        await asyncio.sleep(1.0)
        self.note("all processes are ready")

    def put_config(self, version: int) -> None:
        """Write the operator's configuration with one queue."""
        route = {"name": "q", "host": HOST, "path_prefix": "/q/", "service": "svc"}
        route |= {"priority": 0, "max_attempts": 3, "stretch": 1.6, "slo_ms": 60}
        service = {"name": "svc", "enforces_capacity": False}
        limits = {"max_body_bytes": 262_144}
        config = {"version": version, "routes": [route], "services": [service], "limits": limits}
        self.store.put("op", "config", config)

    def _are_agents_connected(self) -> bool:
        agents = [node for node in self.nodes if node.role == "agent"]
        return all(
            self.log_text(node).count("stream to entry opened") >= self.entries for node in agents
        )

    async def wait_ready(self, node: Node) -> None:
        """Wait until an entry says that it is ready."""
        until_s = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until_s:
            answer = await call(self.address(node, "ready"), "GET", "/v1/readiness", timeout_s=1.0)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{node.name} is not ready")

    async def wait_until(self, condition: Callable[[], bool], within_s: float) -> None:
        """Wait until a condition holds; raise TimeoutError if it takes too long."""
        until_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > until_s:
                raise TimeoutError("the condition does not hold in time")
            await asyncio.sleep(0.005)

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for task in self._tasks:
            task.cancel()
        for executor in self.executors:
            executor.crash()
        for server in self._store_servers.values():
            server.stop()

    # Clients.

    async def submit(
        self, node: Node, job_id: str, steps: list[dict[str, Any]], *, run_s: float, wait_s: float
    ) -> Response | None:
        """Submit a job whose tasks take ``run_s``, and wait for its answer."""
        self.cpu_by_job[job_id] = steps[0].get("cpu", 0)
        self.run_s_by_job[job_id] = run_s
        body = {"task_spec": f"spec of {job_id}", "steps": steps, "best_effort": True}
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(wait_s * 1000))}
        self.note(f"POST {job_id} to {node.name}")
        answer = await call(
            self.address(node, "front"),
            "POST",
            f"/q/{job_id}",
            body=body,
            headers=headers,
            timeout_s=wait_s,
        )
        shown = "none" if answer is None else f"{answer.status} {json.dumps(answer.body)}"
        self.note(f"answer to {job_id} from {node.name}: {shown}")
        return answer

    # The record.

    def spans(self) -> list[Span]:
        """Return all runs of tasks in the order of their starts."""
        found = [span for executor in self.executors for span in executor.spans]
        return sorted(found, key=lambda span: span.started_s)

    def write_record(self, path: Path) -> None:
        """Write what was sent, answered and run."""
        lines = list(self.record)
        for span in self.spans():
            started_s = span.started_s - self.started_s
            run = f"{span.task} run {span.run} on {span.executor} life {span.life} ({span.cpu} cpu)"
            lines.append((started_s, f"start of {run}"))
            if span.ended_s is not None:
                lines.append((span.ended_s - self.started_s, f"end of {run}: {span.how}"))
        path.write_text("".join(f"{at_s:8.3f} {text}\n" for at_s, text in sorted(lines)))


def find_overlaps(spans: list[Span]) -> list[tuple[Span, Span]]:
    """Return the pairs of runs of one task that were under way at the same time."""
    by_task: dict[str, list[Span]] = {}
    for span in spans:
        by_task.setdefault(span.task, []).append(span)
    found = []
    for same in by_task.values():
        for number, first in enumerate(same):
            for second in same[number + 1 :]:
                if first.ended_s is None or second.started_s < first.ended_s:
                    found.append((first, second))
    return found


def find_overloads(executor: Executor, cpu: int) -> list[tuple[Span, int]]:
    """Return the starts that brought an executor over a capacity, with what was then in use."""
    found = []
    for span in executor.spans:
        used = sum(
            other.cpu
            for other in executor.spans
            if other.life == span.life
            and other.started_s <= span.started_s
            and (other.ended_s is None or other.ended_s > span.started_s)
        )
        if used > cpu:
            found.append((span, used))
    return found
