"""A small deployment on loopback addresses: the project's roles as processes, beside stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins_3.executor import Executor, Started
from standins_3.http import Answer, Server, call
from standins_3.proxy import Proxy
from standins_3.store import Store

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
HOST = "alerts.example"
BOUNDS = {  # those of the site hooch-spill
    "max_hold_ms": 1_000,
    "resend_ms": 1_300,
    "grace_s": 6.0,
    "far_factor": 1.5,
    "config_ms": 2_000,
    "ack_ms": 4_000,
    "cancel_ms": 3_000,
    "stop_timeout_ms": 50,
    "contact_ms": 3_000,
}
HEARTBEAT_MS = 1_500
PORTS = ("front", "ready", "control", "stream", "metrics", "app", "store", "view")
READY_WITHIN_S = 25.0


def route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    found = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": "svc",
        "max_attempts": 3,
        "stretch": 1.6,
        "slo_ms": 60,
    }
    return {**found, **changes}


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration in full."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "svc"}],
        "limits": {"max_body_bytes": 262_144},
    }


def _free_ports(hosts: list[str]) -> dict[str, int]:
    """Return one free port for each kind of address, the same on all hosts."""
    found: dict[str, int] = {}
    for name in PORTS:
        while name not in found:
            port = random.SystemRandom().randrange(20_000, 32_000)
            if port not in found.values() and all(_is_free(host, port) for host in hosts):
                found[name] = port
    return found


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@dataclass
class Machine:
    """A machine: its name, address, zone, and the role that runs on it."""

    name: str
    host: str
    zone: str
    role: str
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Entries, agents, executors and the store; ``say`` writes a line of the record."""

    def __init__(
        self,
        folder: Path,
        *,
        entries: int,
        agents: int,
        work_s: Callable[[str], float],
        routes: list[dict[str, Any]],
        cpu: int = 16_000,
        racks: int = 2,
        has_links: bool = False,
        seed: int = 1,
    ) -> None:
        """Create a deployment that is not running."""
        self.folder = folder
        self.routes = routes
        self.removed = 0
        self.links: list[Proxy] = []
        self._has_links = has_links
        self._view: Server | None = None
        self.history: list[Started] = []
        self.began_s = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._scratch = tempfile.TemporaryDirectory()
        zones = [f"zone-{letter}" for letter in "abcd"]
        base = f"127.{random.SystemRandom().randrange(100, 250)}"
        self.entries = [
            Machine(f"edge-{n}", f"{base}.101.{n + 101}", zones[n % 4], "entry")
            for n in range(entries)
        ]
        self.agents = [
            Machine(f"side-{n}", f"{base}.102.{n + 101}", zones[n % 4], "agent")
            for n in range(agents)
        ]
        self.ports = _free_ports([machine.host for machine in (*self.entries, *self.agents)])
        self.store = Store(self.entries[0].host, self.ports["store"])
        self.executors = [
            Executor(
                f"i-{n:08x}",
                address=(machine.host, self.ports["app"]),
                control=(machine.host, self.ports["control"]),
                zone=machine.zone,
                work_s=work_s,
                history=self.history,
                cpu=cpu,
                labels=("a", f"r{n % racks}"),
                seed=seed,
            )
            for n, machine in enumerate(self.agents)
        ]

    # The record.

    def now_s(self) -> float:
        """Return the time since the deployment was created."""
        return time.monotonic() - self.began_s

    def say(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{self.now_s():8.3f} {text}\n")
        self._record.flush()

    def say_history(self) -> None:
        """Write what the executors have run."""
        for run in sorted(self.history, key=lambda each: each.at_s):
            ended = "-" if run.ended_s is None else f"{run.ended_s - self.began_s:.3f}"
            self._record.write(
                f"run {run.task} {run.number} on {run.executor} from"
                f" {run.at_s - self.began_s:.3f} to {ended} {run.how}"
                f"{' late' if run.late else ''}\n"
            )
        self._record.flush()

    # Processes.

    def _fields(self, machine: Machine) -> dict[str, Any]:
        address = {name: f"{machine.host}:{self.ports[name]}" for name in PORTS}
        is_linked = self._has_links and machine is self.entries[-1]
        store = "view" if is_linked else "store"
        return {
            "node_name": machine.name,
            "zone": machine.zone,
            "ip": machine.host,
            "listen": {name: address[name] for name in ("front", "ready", "control")},
            "port_range": [self.ports["stream"], self.ports["metrics"]],
            "platform": {"address": f"{self.entries[0].host}:{self.ports[store]}"},
            "app": address["app"],
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "seeds": [f"{entry.host}:{self.ports['control']}" for entry in self.entries[:3]],
        }

    def _settings(self, machine: Machine, template: str) -> str:
        fields = self._fields(machine)

        def look_up(name: str) -> Any:
            value: Any = fields
            for part in name.split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return value

        def fill(match: re.Match[str]) -> str:
            name, _, kind = match.group(1).partition("|")
            value = look_up(name)
            return json.dumps(value) if kind == "json" or isinstance(value, list) else str(value)

        seeds = ",".join(json.dumps(seed) for seed in fields["seeds"])
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _m: seeds, template)
        return re.sub(r"\{\{([a-z_.0-9|]+)\}\}", fill, text)

    def _write_settings(self, machine: Machine) -> tuple[Path, str]:
        """Write the settings file of a machine; return its path and the command of its role."""
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = system["roles"][machine.role]
        path = Path(self._scratch.name) / f"{machine.name}.toml"
        text = self._settings(machine, (ROOT / role["template"]).read_text())
        new = path.with_suffix(".new")
        new.write_text(text)
        new.rename(path)
        return path, role["run"]

    def launch(self, machine: Machine) -> None:
        """Start the process of a machine with the command of the deploy file."""
        path, command = self._write_settings(machine)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PERSIMMONCRANK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (Path(self._scratch.name) / f"{machine.name}.log").open("ab") as output:
            machine.process = subprocess.Popen(
                shlex.split(command), cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        assert machine.process is not None
        self.say(f"{number.name} to {machine.name}")
        machine.process.send_signal(number)
        if number is signal.SIGKILL:
            machine.process.wait()

    def log_of(self, machine: Machine) -> str:
        """Return what the processes of a machine have written."""
        path = Path(self._scratch.name) / f"{machine.name}.log"
        return path.read_text() if path.exists() else ""

    async def move_store(self, *, overlap_s: float) -> None:
        """Move the store to another address; its old one is served ``overlap_s`` longer."""
        old = self.store.server
        self.ports["store"] = _free_ports([self.entries[0].host])["store"]
        self.store.listen(self.entries[0].host, self.ports["store"])
        await self.store.server.start()
        for machine in (*self.entries, *self.agents):
            self._write_settings(machine)
            self.signal(machine, signal.SIGHUP)
        self.say(f"settings changed: the store is at {self.entries[0].host}:{self.ports['store']}")
        await asyncio.sleep(overlap_s)
        await old.stop()
        self.say("the store's old address is closed")

    async def _start_links(self) -> None:
        """Start the last entry first, with a proxy in front of the control port of each other one.

        The proxies stand for its links to the other entries. As entries name their own addresses in
        the store, the store shows this one the addresses of the proxies instead.
        """
        port = self.ports["control"]
        hosts = {entry.name: entry.host for entry in self.entries[:-1]}
        seen = {name: host.replace(".101.", ".103.") for name, host in hosts.items()}
        for name, host in hosts.items():
            self.links.append(Proxy(seen[name], port, (host, port)))
            await self.links[-1].start()

        def change(key: str, value: bytes) -> bytes:
            if key not in hosts:
                return value
            return value.replace(f"{hosts[key]}:{port}".encode(), f"{seen[key]}:{port}".encode())

        self._view = self.store.add_view(self.entries[0].host, self.ports["view"], change)
        await self._view.start()
        self.launch(self.entries[-1])
        await asyncio.sleep(3.0)  # it has asked its seeds for what they know; none is up yet

    def cut(self, is_cut: bool) -> None:
        """Cut the last entry off from all other entries, or end that."""
        for link in self.links:
            link.is_cut = is_cut
        self.say(f"{self.entries[-1].name} is {'cut off' if is_cut else 'reachable again'}")

    async def remove_entry(self) -> None:
        """Start an entry, and remove its machine for good once it is ready."""
        number = len(self.entries) + self.removed
        self.removed += 1
        host = self.entries[0].host.rpartition(".")[0]
        machine = Machine(f"edge-{number}", f"{host}.{number + 101}", "zone-a", "entry")
        self.launch(machine)
        until_s = time.monotonic() + READY_WITHIN_S
        while not await self.is_ready(machine):
            assert time.monotonic() < until_s, f"{machine.name} is not ready"
            await asyncio.sleep(0.1)
        self.signal(machine, signal.SIGKILL)
        self.say(f"{machine.name} is removed for good")

    def add_rows_of_removed(self, count: int) -> None:
        """Add what ``count`` further entries have left in the store, like those removed here.

        The rows are copies of a removed entry's, each with an address and a nonce of its own.
        """
        table = "entries"
        key = f"edge-{len(self.entries) + self.removed - 1}"
        value = dict(self.store.raw_rows(table))[key]
        host = self.entries[0].host.rpartition(".")[0].rpartition(".")[0]
        old_host = f"{host}.101.{len(self.entries) + self.removed + 100}"
        nonce = re.search(rb"-([0-9a-f]{8})", value)
        assert nonce is not None
        assert old_host.encode() in value, value
        for number in range(count):
            new_host = f"{host}.{110 + number // 100}.{100 + number % 100}"
            copied = value.replace(old_host.encode(), new_host.encode())
            copied = copied.replace(nonce.group(1), f"{number:08x}".encode())
            self.store.put_raw(table, f"{key}-{number}", copied)
        self.say(f"rows of removed entries in the store: {count + self.removed}")

    async def __aenter__(self) -> Deployment:
        """Start everything, and wait until all entries are ready and know all executors."""
        await self.store.server.start()
        self.store.put("op", "config", config(1, self.routes))
        if self._has_links:
            await self._start_links()
        for machine in (*self.entries, *self.agents):
            if machine.process is None:
                self.launch(machine)
        await asyncio.sleep(0.5)
        for executor in self.executors:
            await executor.start()
        until_s = time.monotonic() + READY_WITHIN_S
        for machine in self.entries:
            while not await self.is_ready(machine):
                if time.monotonic() > until_s:
                    self.say(f"{machine.name} is not ready: {self.log_of(machine)[-2000:]}")
                    raise TimeoutError(machine.name)
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)  # all executors have sent a heartbeat, and all entries know them
        self.say("ready")
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """End all processes and stand-ins."""
        self.say_history()
        for machine in (*self.entries, *self.agents):
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for machine in (*self.entries, *self.agents):
                (Path(os.environ["KEEP_LOGS"]) / f"{machine.name}.log").write_text(
                    self.log_of(machine)
                )
        for executor in self.executors:
            await executor.crash()
        for server in (*self.links, self.store.server, self._view):
            if server is not None:
                await server.stop()
        self._record.close()
        self._scratch.cleanup()

    # Clients and the operator.

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether an entry says that it is ready."""
        try:
            address = (machine.host, self.ports["ready"])
            answer = await asyncio.wait_for(call("GET", address, "/v1/readiness"), 1.0)
        except (ConnectionError, TimeoutError):
            return False
        return answer.status == 200

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration as the operator."""
        self.store.put("op", "config", config(version, routes))
        names = ", ".join(each["path_prefix"] for each in routes)
        self.say(f"operator: version {version} acknowledged, routes {names}")

    async def ask(
        self,
        method: str,
        machine: Machine,
        path: str,
        *,
        body: Any = None,
        deadline_ms: int | None = None,
    ) -> Answer | None:
        """Send a client's request to an entry; return None if no answer arrives in time."""
        headers = {} if deadline_ms is None else {"X-Deadline-Ms": str(deadline_ms)}
        address = (machine.host, self.ports["front"])
        self.say(f"client: {method} {path} to {machine.name}")
        sending = call(method, address, path, body=body, host=HOST, headers=headers)
        limit_s = None if deadline_ms is None else deadline_ms / 1000
        answer: Answer | None = None
        cause = "no answer in time"
        try:
            answer = await asyncio.wait_for(sending, limit_s)
        except ConnectionError as error:
            cause = f"connection broke: {error}"
        except TimeoutError:
            pass
        found = cause if answer is None else f"{answer.status} {json.dumps(answer.body)}"
        self.say(f"client: {method} {path} at {machine.name} -> {found}")
        return answer


def run_case(check: Callable[[bool], Any], *, limit_s: float = 115.0) -> None:
    """Run a case, with its disruption unless TROUBLE is 0, and exit with its verdict."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):  # so that no process is left behind
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return bool(await asyncio.wait_for(check(has_trouble), limit_s))

    try:
        is_broken = asyncio.run(main())
    except (TimeoutError, OSError, AssertionError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
