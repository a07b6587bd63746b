"""Starts the processes of a live run, and reads their CPU time and memory from ``/proc``."""

from __future__ import annotations

import logging
import os
import subprocess
import sys
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

log = logging.getLogger(__name__)

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STOP_TIMEOUT_S = 20.0
_USER_TICKS_FIELD = 11  # utime in /proc/PID/stat, counted after the name; stime follows
_LOOPBACK = "lo:"


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleUsage:
    """Resource usage of one role: total CPU time, and the largest memory of one process."""

    processes: int
    cpu_s: float
    max_memory_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Resource usage of all roles and traffic of the loopback interface at one time."""

    by_role: dict[str, RoleUsage]
    loopback_bytes: int
    loopback_packets: int


@dataclass(kw_only=True)
class Processes:
    """The processes that a live run has started."""

    log_dir: Path
    by_role: dict[str, list[subprocess.Popen[bytes]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def start(self, role: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a Python module with arguments, with its output in a log file."""
        number = len(self.by_role[role])
        with (self.log_dir / f"{role}-{number}.log").open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.by_role[role].append(process)
        return process

    def stop(self) -> None:
        """Terminate all processes, agents and entries first; kill those that do not exit."""
        for role in ("light", "agent", "entry", "backends", "platform"):
            processes = self.by_role.pop(role, [])
            for process in processes:
                process.terminate()
            for process in processes:
                _wait_or_kill(process)

    def describe_exited(self) -> str:
        """Return the names of exited processes, and the last log line of the first of them."""
        exited = [
            f"{role}-{number}"
            for role, found in self.by_role.items()
            for number, process in enumerate(found)
            if process.poll() is not None
        ]
        if not exited:
            return "every process is running"
        lines = (self.log_dir / f"{exited[0]}.log").read_text().splitlines() or [""]
        return f"exited: {', '.join(exited)}; {exited[0]}: {lines[-1]}"

    def read(self) -> Usage:
        """Return the resource usage since the start."""
        received_bytes, packets = _read_loopback()
        return Usage(
            by_role={role: _read_role(found) for role, found in self.by_role.items()},
            loopback_bytes=received_bytes,
            loopback_packets=packets,
        )


def _wait_or_kill(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _read_role(processes: list[subprocess.Popen[bytes]]) -> RoleUsage:
    ticks = 0
    max_memory_bytes = 0
    for process in processes:
        ticks += _read_ticks(process.pid)
        max_memory_bytes = max(max_memory_bytes, _read_memory_bytes(process.pid))
    return RoleUsage(
        processes=len(processes),
        cpu_s=ticks / CLOCK_TICKS_PER_S,
        max_memory_bytes=max_memory_bytes,
    )


def _read_ticks(pid: int) -> int:
    after_name = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(after_name[_USER_TICKS_FIELD]) + int(after_name[_USER_TICKS_FIELD + 1])


def _read_memory_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def _read_loopback() -> tuple[int, int]:
    """Return the bytes and packets that the loopback interface has received."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        words = line.split()
        if words and words[0] == _LOOPBACK:
            return int(words[1]), int(words[2])
    return 0, 0
