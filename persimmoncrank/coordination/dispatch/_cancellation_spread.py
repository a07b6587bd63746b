"""Tells the other entries which jobs were cancelled here.

A cancel may reach another entry than the one that runs the job, and the request of a cancelled job
may arrive once more at any entry. Peers that do not answer are told again until they do.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from persimmoncrank.protocol import EntryAddress
from persimmoncrank.state import CancelledJobs

log = logging.getLogger(__name__)

SPREAD_INTERVAL_S = 0.25
RETRY_INTERVAL_S = 1.0
MAX_JOBS_PER_MESSAGE = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class CancellationPorts:
    """The other entries, and a call that tells one of them of cancelled jobs.

    ``tell`` returns those of the jobs that were running there, or None if there is no answer.
    """

    peers: Callable[[], tuple[EntryAddress, ...]]
    tell: Callable[[EntryAddress, tuple[str, ...]], Awaitable[tuple[str, ...] | None]]


@dataclass(kw_only=True)
class _Progress:
    """The last number that an incarnation of a peer has confirmed, and when it is told again."""

    told_number: int = 0
    next_at_s: float = 0.0
    is_waiting: bool = False


@dataclass(kw_only=True)
class CancellationSpread:
    """Tells all peers of the jobs whose cancel arrived at this entry."""

    ports: CancellationPorts
    cancelled: CancelledJobs = field(default_factory=CancelledJobs)
    _progress: dict[str, _Progress] = field(default_factory=dict)
    _added: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Tell the peers what they have not confirmed yet, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                with anyio.move_on_after(RETRY_INTERVAL_S):
                    await self._added.wait()
                    await anyio.sleep(SPREAD_INTERVAL_S)
                self._added = anyio.Event()
                now_s = anyio.current_time()
                self.cancelled.expire(now_s=now_s)
                peers = self.ports.peers()
                self._forget_other_peers(peers)
                for peer in peers:
                    progress = self._progress.setdefault(peer.incarnation, _Progress())
                    if self._is_due(progress, now_s=now_s):
                        group.start_soon(self._tell_new, peer, progress)

    async def cancel(self, job_id: str, *, is_found: bool) -> bool:
        """Tell all peers of a job; return False if all answer that they do not run it.

        A job that was found at this entry needs no answer.
        """
        self.cancelled.add([job_id], now_s=anyio.current_time())
        self._added.set()
        if is_found:
            return True
        answers: list[bool] = []

        async def tell(peer: EntryAddress) -> None:
            stopped = await self.ports.tell(peer, (job_id,))
            answers.append(stopped is None or job_id in stopped)
            if stopped is None:
                log.info("entry: cancel not confirmed job=%s entry=%s", job_id, peer.incarnation)

        async with anyio.create_task_group() as group:
            for peer in self.ports.peers():
                group.start_soon(tell, peer)
        return any(answers)

    def _is_due(self, progress: _Progress, *, now_s: float) -> bool:
        is_behind = progress.told_number < self.cancelled.newest_number
        return is_behind and not progress.is_waiting and now_s >= progress.next_at_s

    async def _tell_new(self, peer: EntryAddress, progress: _Progress) -> None:
        progress.is_waiting = True
        job_ids, covered = self.cancelled.added_after(
            progress.told_number, limit=MAX_JOBS_PER_MESSAGE
        )
        has_answered = not job_ids or await self.ports.tell(peer, job_ids) is not None
        progress.is_waiting = False
        if has_answered:
            progress.told_number = covered
        else:
            progress.next_at_s = anyio.current_time() + RETRY_INTERVAL_S
        if progress.told_number < self.cancelled.newest_number:
            self._added.set()

    def _forget_other_peers(self, peers: tuple[EntryAddress, ...]) -> None:
        known = {peer.incarnation for peer in peers}
        for incarnation in self._progress.keys() - known:
            del self._progress[incarnation]
