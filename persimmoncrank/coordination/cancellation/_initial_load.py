"""The cancelled jobs that an entry has to know before it admits jobs.

Load pattern: entries that are restarted while requests of cancelled jobs arrive once more. What the
store does not have, because it was down when the cancel was acknowledged, another entry does.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

log = logging.getLogger(__name__)

PEER_TIMEOUT_S = 0.5
STORE_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.02
PATIENCE_S = 0.15  # after the configuration

LoadJobs = Callable[[], Awaitable[tuple[str, ...] | None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class InitialCancelPorts:
    """Reads the ids of cancelled jobs; both return None without an answer.

    ``is_waiting_for_config`` tells that the entry could not admit jobs yet anyway.
    """

    read_store: LoadJobs
    ask_peers: LoadJobs
    is_waiting_for_config: Callable[[], bool]


async def load_cancelled_jobs(
    *, ports: InitialCancelPorts, add: Callable[[tuple[str, ...]], object]
) -> None:
    """Add the cancelled jobs that the store or the other entries know, once one answers."""
    while True:
        found = await _load_once(ports)
        for job_ids in found:
            add(job_ids)
        if found:
            break
        await anyio.sleep(RETRY_INTERVAL_S)
    log.info("entry: recent cancels known jobs=%d sources=%d", len(set().union(*found)), len(found))


async def wait_for_cancels(
    *, ports: InitialCancelPorts, has_loaded: Callable[[], bool], on_ready: Callable[[], None]
) -> None:
    """Call ``on_ready`` once the cancels are loaded, or soon after the first configuration.

    Callers are not turned away for longer because neither the store nor a peer answers: the agents,
    too, refuse the tasks of cancelled jobs.
    """
    configured_at_s: float | None = None
    while not has_loaded():
        now_s = anyio.current_time()
        if configured_at_s is None and not ports.is_waiting_for_config():
            configured_at_s = now_s
        if configured_at_s is not None and now_s >= configured_at_s + PATIENCE_S:
            log.warning("entry: recent cancels are not known, neither the store nor a peer answers")
            break
        await anyio.sleep(CHECK_INTERVAL_S)
    on_ready()


async def _load_once(ports: InitialCancelPorts) -> list[tuple[str, ...]]:
    found: list[tuple[str, ...]] = []

    async def load(read: LoadJobs, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            job_ids = await read()
            if job_ids is not None:
                found.append(job_ids)

    async with anyio.create_task_group() as group:
        group.start_soon(load, ports.read_store, STORE_TIMEOUT_S)
        group.start_soon(load, ports.ask_peers, PEER_TIMEOUT_S)
    return found
