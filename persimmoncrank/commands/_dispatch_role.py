"""What the two dispatching roles share: leases, log output, and the way a role ends."""

from __future__ import annotations

import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.commands._log_output import BufferedLogHandler
from persimmoncrank.commands._logs import set_up_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from persimmoncrank.settings import DispatchSettings

log = logging.getLogger(__name__)

LEASE_FRACTION = 0.45  # of resend_s; two consecutive leases end before a caller resends its job
MAX_LEASE_S = 0.6
SHUTDOWN_MARGIN_S = 0.8  # closing the servers and streams takes up to 0.5 s
STDOUT_FD = 1

ReadSeeds = Callable[[], tuple[str, ...]]


def lease_s(settings: DispatchSettings) -> float:
    """Return the duration of a lease at entries, agents and workers."""
    return min(MAX_LEASE_S, LEASE_FRACTION * settings.resend_s, settings.worker_lease_limit_s)


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
