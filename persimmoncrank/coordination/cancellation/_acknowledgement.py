"""When a cancel is acknowledged, and with which answer.

Load pattern: callers that cancel at any entry while entries end, are cut off or have just begun,
and while the store is slow or down. An acknowledged cancel must outlast the entry that received it.
"""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

STORE_PATIENCE_S = 1.0  # then the confirmation of another entry counts in place of the store's
PEER_PATIENCE_S = 0.75  # longer than the timeout of one call to another entry


class CancelOutcome(enum.Enum):
    """The answer to a cancel.

    ``CANCELLED``: the job does not run any more, or never will. ``UNKNOWN``: no entry had the job;
    a request that arrives later does not run it either. ``NOT_STORED``: the cancel has taken effect
    where it could be delivered, but would be forgotten if this entry ended; it should be repeated.
    """

    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    NOT_STORED = "not stored"


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelProgress:
    """What is known of one cancel after ``waited_s``.

    ``is_found`` is set if an entry was running the job. ``answered`` of ``peers`` other entries
    have confirmed the cancel. ``is_directory_current`` is set if the directory of entries was read
    after the cancel had been stored.
    """

    is_found: bool
    is_stored: bool
    is_directory_current: bool
    answered: int
    peers: int
    waited_s: float


def decide_outcome(progress: CancelProgress) -> CancelOutcome | None:
    """Return the answer to a cancel, or None if it has to wait.

    Running entries do not read the store, so each is told before this one may end; the agents
    refuse the orders of one that does not answer. A job that nobody has found is called unknown
    only if every entry of a current directory has denied it. An entry that registers later reads
    the stored cancel before it admits jobs.
    """
    is_held_elsewhere = progress.answered > 0 and progress.waited_s >= STORE_PATIENCE_S
    has_all_answers = progress.answered >= progress.peers
    has_told_peers = has_all_answers or progress.waited_s >= PEER_PATIENCE_S
    if not (progress.is_stored or is_held_elsewhere) or not has_told_peers:
        return None
    if progress.is_found:
        return CancelOutcome.CANCELLED
    if has_all_answers and progress.is_stored and progress.is_directory_current:
        return CancelOutcome.UNKNOWN
    return CancelOutcome.CANCELLED if progress.waited_s >= PEER_PATIENCE_S else None
