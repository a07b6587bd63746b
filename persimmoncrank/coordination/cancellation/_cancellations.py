"""Cancels a job wherever it runs, and answers once the cancel outlasts this entry."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from persimmoncrank.coordination.cancellation._acknowledgement import (
    CancelOutcome,
    CancelProgress,
    decide_outcome,
)
from persimmoncrank.coordination.cancellation._cancel_rows import CancelRows
from persimmoncrank.coordination.cancellation._peer_notices import PeerNotices, TellPeer
from persimmoncrank.protocol import EntryAddress, TableService

log = logging.getLogger(__name__)

ACKNOWLEDGE_WITHIN_S = 3.0  # below the shortest time in which a cancel has to be acknowledged
CHECK_INTERVAL_S = 0.1


async def keep_peers() -> bool:
    """Read no directory: the peers are known by other means."""
    return False


@dataclass(frozen=True, kw_only=True, slots=True)
class CancellationPorts:
    """The store, the other entries, and a call that tells one of them of cancelled jobs.

    ``tell`` returns those of the jobs that were running there, or None if there is no answer.
    ``refresh_peers`` reads the directory of entries, and returns False if it cannot be read.
    """

    table: TableService
    peers: Callable[[], tuple[EntryAddress, ...]]
    tell: TellPeer
    refresh_peers: Callable[[], Awaitable[bool]] = keep_peers
    unix_time: Callable[[], float] = time.time


@dataclass(kw_only=True, eq=False)
class _Request:
    """A cancel that waits for its answer."""

    number: int
    is_found: bool
    asked_at_s: float
    is_stored: bool = False
    is_directory_current: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Let the waiting call look at the progress again."""
        self.changed.set()
        self.changed = anyio.Event()


class Cancellations:
    """The cancels that arrive at one entry."""

    def __init__(self, *, ports: CancellationPorts) -> None:
        """Create an object without cancels."""
        self._ports = ports
        self._rows = CancelRows(
            table=ports.table, unix_time=ports.unix_time, on_stored=self._on_stored
        )
        self._notices = PeerNotices(peers=ports.peers, tell=ports.tell, on_answer=self._on_answer)
        self._requests: dict[str, _Request] = {}
        self._unfound: list[_Request] = []
        self._unfound_added = anyio.Event()

    async def run(self) -> None:
        """Store cancels and tell the other entries until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._rows.run)
            group.start_soon(self._notices.run)
            group.start_soon(self._run_refreshes)

    async def cancel(self, job_id: str, *, is_found: bool) -> CancelOutcome:
        """Cancel a job at all entries; ``is_found`` tells that it was running at this one.

        Cancels of the same job share one answer.
        """
        request = self._requests.get(job_id)
        if request is not None:
            request.is_found |= is_found
            return await self._wait(request, job_id)
        request = _Request(
            number=self._notices.add(job_id, now_s=anyio.current_time()),
            is_found=is_found,
            asked_at_s=anyio.current_time(),
        )
        self._requests[job_id] = request
        self._rows.add(job_id)
        try:
            return await self._wait(request, job_id)
        finally:
            if self._requests.get(job_id) is request:
                del self._requests[job_id]

    async def _wait(self, request: _Request, job_id: str) -> CancelOutcome:
        while True:
            progress = self._progress(request)
            outcome = decide_outcome(progress)
            if outcome is None and progress.waited_s >= ACKNOWLEDGE_WITHIN_S:
                outcome = CancelOutcome.NOT_STORED
            if outcome is not None:
                log.info(
                    "entry: cancel decided job=%s outcome=%s stored=%s found=%s confirmed=%d"
                    " peers=%d waited_ms=%d",
                    job_id,
                    outcome.value,
                    progress.is_stored,
                    progress.is_found,
                    progress.answered,
                    progress.peers,
                    progress.waited_s * 1000,
                )
                return outcome
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await request.changed.wait()

    def _progress(self, request: _Request) -> CancelProgress:
        answered, peers = self._notices.count_confirmed(request.number)
        return CancelProgress(
            is_found=request.is_found,
            is_stored=request.is_stored,
            is_directory_current=request.is_directory_current,
            answered=answered,
            peers=peers,
            waited_s=anyio.current_time() - request.asked_at_s,
        )

    def _on_stored(self, job_ids: tuple[str, ...]) -> None:
        for job_id in job_ids:
            request = self._requests.get(job_id)
            if request is None:
                continue
            request.is_stored = True
            request.notify()
            if not request.is_found:
                self._unfound.append(request)
                self._unfound_added.set()

    def _on_answer(self, job_ids: tuple[str, ...], stopped: tuple[str, ...]) -> None:
        for job_id in job_ids:
            request = self._requests.get(job_id)
            if request is not None:
                request.is_found |= job_id in stopped
                request.notify()

    async def _run_refreshes(self) -> None:
        """Read the directory for stored cancels of jobs that nobody has found; many share a read.

        An entry registers before it reads the stored cancels. So one that is not in a directory
        that was read after the write knows the cancel before it admits a job.
        """
        while True:
            await self._unfound_added.wait()
            self._unfound_added = anyio.Event()
            requests, self._unfound = self._unfound, []
            is_current = await self._ports.refresh_peers()
            self._notices.wake()
            for request in requests:
                request.is_directory_current = is_current
                request.notify()
            await anyio.sleep(CHECK_INTERVAL_S)
