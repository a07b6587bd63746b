"""Simple stand-ins for the platform, backend servers and workers, for tests, demo and bench."""

from __future__ import annotations

from persimmoncrank.standin._backend import TASK_HANDLERS, BackendStandin
from persimmoncrank.standin._free_addresses import free_addresses
from persimmoncrank.standin._platform import MemoryPlatform, PlatformFaults
from persimmoncrank.standin._platform_http import platform_app
from persimmoncrank.standin._worker import (
    CrashRecord,
    WorkerFaults,
    WorkerHistoryEntry,
    WorkerStandin,
)

__all__ = [
    "TASK_HANDLERS",
    "BackendStandin",
    "CrashRecord",
    "MemoryPlatform",
    "PlatformFaults",
    "WorkerFaults",
    "WorkerHistoryEntry",
    "WorkerStandin",
    "free_addresses",
    "platform_app",
]
