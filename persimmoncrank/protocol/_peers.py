"""Messages between entries: copies of the operator's table, and jobs that were cancelled."""

from __future__ import annotations

import logging

import msgspec

from persimmoncrank.protocol._dispatch import EntryAddress
from persimmoncrank.protocol._platform import Row

log = logging.getLogger(__name__)


class CopyRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks an entry for its copy of the operator's table.

    ``entry`` is the sender. The rows are sent only if they are newer than ``known_version`` and
    differ from those with ``known_digest``. A negative version means that the sender has no copy.
    ``cancelled`` are the ids of jobs that were cancelled at the sender. ``wants_cancelled`` asks
    for all cancelled jobs that the receiver knows.
    """

    entry: EntryAddress
    known_version: int
    known_digest: int
    cancelled: tuple[str, ...] = ()
    wants_cancelled: bool = False


class CopyReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry's copy of the operator's table.

    ``version`` is the store's version of it, negative if there is none. ``age_s`` is the time since
    the store confirmed it. ``entries`` are those that the sender knows; only an entry without a
    copy is told of them. ``stopped`` are those of the cancelled jobs that were running here.
    ``cancelled`` are all jobs known to be cancelled, None if the request does not ask for them or
    the sender has not loaded them yet.
    """

    version: int
    age_s: float
    rows: tuple[Row, ...] | None = None
    entries: tuple[EntryAddress, ...] = ()
    stopped: tuple[str, ...] = ()
    cancelled: tuple[str, ...] | None = None
