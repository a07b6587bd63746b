"""Tells the other entries which jobs were cancelled at this one, until each has confirmed it.

Load pattern: waves of cancels at many entries. Each peer has at most one open call, and the pause
between two calls grows with the number of peers, so that an entry's calls a second are bounded.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.state import CancelledJobs

if TYPE_CHECKING:
    from persimmoncrank.protocol import EntryAddress

log = logging.getLogger(__name__)

TELL_INTERVAL_PER_PEER_S = 0.01
RETRY_INTERVAL_S = 1.0
MAX_JOBS_PER_MESSAGE = 500

TellPeer = Callable[["EntryAddress", tuple[str, ...]], Awaitable[tuple[str, ...] | None]]


@dataclass(kw_only=True)
class _Progress:
    """The last number that an incarnation of a peer has confirmed, and when it is told again."""

    told_number: int = 0
    next_at_s: float = 0.0
    is_waiting: bool = False


class PeerNotices:
    """The cancels of one entry, and which peers have confirmed them."""

    def __init__(
        self,
        *,
        peers: Callable[[], tuple[EntryAddress, ...]],
        tell: TellPeer,
        on_answer: Callable[[tuple[str, ...], tuple[str, ...]], None],
    ) -> None:
        """Create notices without jobs.

        ``tell`` returns those of the jobs that were running at a peer, or None without an answer.
        ``on_answer`` receives the jobs that a peer was told of, and those that ran there.
        """
        self.cancelled = CancelledJobs()
        self._peers = peers
        self._tell = tell
        self._on_answer = on_answer
        self._progress: dict[str, _Progress] = {}
        self._changed = anyio.Event()

    def add(self, job_id: str, *, now_s: float) -> int:
        """Tell all peers of a job; return the job's number."""
        self.cancelled.add([job_id], now_s=now_s)
        self.wake()
        return self.cancelled.number_of(job_id)

    def wake(self) -> None:
        """Look for peers to tell, for example after the peers have changed."""
        self._changed.set()

    def count_confirmed(self, number: int) -> tuple[int, int]:
        """Return how many peers have confirmed the job with a number, and how many there are."""
        peers = self._peers()
        confirmed = sum(
            peer.incarnation in self._progress
            and self._progress[peer.incarnation].told_number >= number
            for peer in peers
        )
        return confirmed, len(peers)

    async def run(self) -> None:
        """Tell the peers what they have not confirmed yet, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                with anyio.move_on_after(RETRY_INTERVAL_S):
                    await self._changed.wait()
                self._changed = anyio.Event()
                now_s = anyio.current_time()
                self.cancelled.expire(now_s=now_s)
                peers = self._peers()
                self._forget_other_peers(peers)
                for peer in peers:
                    progress = self._progress.setdefault(peer.incarnation, _Progress())
                    if self._is_due(progress, now_s=now_s):
                        progress.is_waiting = True
                        group.start_soon(self._tell_new, peer, progress, len(peers))

    def _is_due(self, progress: _Progress, *, now_s: float) -> bool:
        is_behind = progress.told_number < self.cancelled.newest_number
        return is_behind and not progress.is_waiting and now_s >= progress.next_at_s

    async def _tell_new(self, peer: EntryAddress, progress: _Progress, peer_count: int) -> None:
        job_ids, covered = self.cancelled.added_after(
            progress.told_number, limit=MAX_JOBS_PER_MESSAGE
        )
        stopped = await self._tell(peer, job_ids) if job_ids else ()
        if stopped is None:
            log.info(
                "entry: cancels not confirmed jobs=%d entry=%s", len(job_ids), peer.incarnation
            )
            progress.next_at_s = anyio.current_time() + RETRY_INTERVAL_S
        else:
            progress.told_number = covered
            self._on_answer(job_ids, stopped)
            await anyio.sleep(TELL_INTERVAL_PER_PEER_S * peer_count)
        progress.is_waiting = False
        if stopped is not None and progress.told_number < self.cancelled.newest_number:
            self.wake()

    def _forget_other_peers(self, peers: tuple[EntryAddress, ...]) -> None:
        known = {peer.incarnation for peer in peers}
        for incarnation in self._progress.keys() - known:
            del self._progress[incarnation]
