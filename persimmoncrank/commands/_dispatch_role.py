"""What the two dispatching roles share: leases, log output, and the way a role ends."""

from __future__ import annotations

import logging
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.commands._log_output import BufferedLogHandler
from persimmoncrank.commands._logs import set_up_logs
from persimmoncrank.transport import HttpLimits

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from persimmoncrank.settings import DispatchSettings

log = logging.getLogger(__name__)

LEASE_FRACTION = 0.45  # of resend_s; two consecutive leases end before a caller resends its job
MAX_LEASE_S = 0.6
SHUTDOWN_MARGIN_S = 0.8  # closing the servers and streams takes up to 0.5 s
STDOUT_FD = 1
RESERVED_DESCRIPTORS = 200  # for files
CONNECTIONS_SHARE = 0.6  # of the descriptors; streams to agents and calls need the others
BUFFERED_SHARE = 0.2  # of the memory

ReadSeeds = Callable[[], tuple[str, ...]]


def lease_s(settings: DispatchSettings) -> float:
    """Return the duration of a lease at entries, agents and workers."""
    return min(MAX_LEASE_S, LEASE_FRACTION * settings.resend_s, settings.worker_lease_limit_s)


def http_limits(settings: DispatchSettings) -> HttpLimits:
    """Return the limits of a role's servers, within its descriptors and its memory."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    most_connections = max(int(CONNECTIONS_SHARE * (descriptors - RESERVED_DESCRIPTORS)), 1)
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    most_bytes = int(BUFFERED_SHARE * memory_bytes)
    return HttpLimits(
        max_connections=min(settings.max_connections, most_connections),
        max_buffered_bytes=min(settings.max_buffered_bytes, most_bytes),
        max_head_bytes=settings.max_head_bytes,
        max_read_ahead_bytes=settings.max_read_ahead_bytes,
        head_timeout_s=settings.head_timeout_s,
        body_timeout_s=settings.body_timeout_s,
        answer_timeout_s=settings.answer_timeout_s,
    )


def boot_time_s() -> float:
    """Return the time since boot, including time during which the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_role(serve: Callable[[anyio.Event], Awaitable[None]], settings: DispatchSettings) -> None:
    """Run a role until SIGTERM or SIGINT, which set the event that ``serve`` receives."""
    handler = BufferedLogHandler(descriptor=STDOUT_FD)
    set_up_logs(settings.log_format, settings.log_level, handler=handler)

    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(handler.run)
            group.start_soon(_watch_signals, stop)
            await serve(stop)
            handler.flush()
            sys.stdout.flush()
            # Closing the event loop would wait for threads and for tasks that ignore cancellation.
            os._exit(0)

    try:
        anyio.run(main, backend_options={"use_uvloop": True})
    finally:
        handler.flush()
        sys.stdout.flush()


async def _watch_signals(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signum in signals:
            log.info("process: signal received signal=%s", signal.Signals(signum).name)
            if signum != signal.SIGHUP:
                stop.set()
