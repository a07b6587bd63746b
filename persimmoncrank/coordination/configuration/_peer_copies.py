"""Copies of the operator's table from other entries, for an entry that the store does not answer.

An entry that does not follow the store asks a few other entries a few times a second, and
takes over what is newer. In this way a change reaches all entries that are connected to each other
as soon as one of them has it, also in a partial outage of the store. An entry that follows the
store sends nothing, so peers cost nothing in normal operation.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import (
    CopyReply,
    CopyRequest,
    DialStream,
    EntryAddress,
    MessageStream,
    StreamClosedError,
)

if TYPE_CHECKING:
    import random

    from persimmoncrank.state import TableReplica

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.25
PEERS_PER_POLL = 2
MAX_PEERS_ASKED = 4
CALL_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerPorts:
    """What an entry needs to exchange copies with its peers.

    ``addresses`` returns where peers serve copies, ``entries`` the entries to tell peers about, and
    ``on_reply`` and ``on_request`` receive the entries that peers name. ``on_cancelled`` receives
    the jobs that were cancelled at a peer, and returns those of them that were running here.
    ``cancelled`` returns all jobs known to be cancelled, None before they are loaded.
    """

    dial: DialStream
    addresses: Callable[[], Sequence[str]]
    entries: Callable[[], tuple[EntryAddress, ...]]
    on_reply: Callable[[tuple[EntryAddress, ...]], None]
    on_request: Callable[[EntryAddress], None]
    on_cancelled: Callable[[tuple[str, ...]], tuple[str, ...]] = lambda _job_ids: ()
    cancelled: Callable[[], tuple[str, ...] | None] = lambda: None


async def serve_copy(stream: MessageStream, *, replica: TableReplica, ports: PeerPorts) -> None:
    """Answer one request for a copy."""
    request: CopyRequest | None = None
    with anyio.move_on_after(CALL_TIMEOUT_S):
        request = await stream.receive()
    if request is None:
        return
    ports.on_request(request.entry)
    reply = CopyReply(
        version=replica.version,
        age_s=replica.age_s(now_s=anyio.current_time()),
        rows=replica.rows_for(
            known_version=request.known_version, known_digest=request.known_digest
        ),
        entries=() if request.known_version >= 0 else ports.entries(),
        stopped=ports.on_cancelled(request.cancelled),
        cancelled=ports.cancelled() if request.wants_cancelled else None,
    )
    await stream.send(reply)


async def follow_peers(
    *,
    entry: EntryAddress,
    replica: TableReplica,
    is_following_store: Callable[[], bool],
    ports: PeerPorts,
    rng: random.Random,
) -> None:
    """Ask peers for newer copies while the entry does not follow the store."""
    offsets = itertools.count(rng.randrange(1_000_000), PEERS_PER_POLL)
    while True:
        await anyio.sleep(POLL_INTERVAL_S)
        if is_following_store():
            continue
        async with anyio.create_task_group() as group:
            for address in choose_peers(ports.addresses(), next(offsets)):
                group.start_soon(ask_peer, address, entry, replica, ports)


def choose_peers(addresses: Sequence[str], offset: int) -> list[str]:
    """Return the next peers to ask; offsets that rise by ``PEERS_PER_POLL`` reach all in turn."""
    count = min(PEERS_PER_POLL, len(addresses))
    return [addresses[(offset + number) % len(addresses)] for number in range(count)]


async def ask_peer(
    address: str,
    entry: EntryAddress,
    replica: TableReplica,
    ports: PeerPorts,
    *,
    cancelled: tuple[str, ...] = (),
    wants_cancelled: bool = False,
) -> CopyReply | None:
    """Tell a peer of cancelled jobs, take over a newer copy, and return its reply, if any."""
    request = CopyRequest(
        entry=entry,
        known_version=replica.version,
        known_digest=replica.digest,
        cancelled=cancelled,
        wants_cancelled=wants_cancelled,
    )
    reply: CopyReply | None = None
    asked_at_s = anyio.current_time()
    try:
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with ports.dial(address) as stream:
                await stream.send(request)
                reply = await stream.receive()
    except StreamClosedError as error:
        log.debug("config: peer does not answer address=%s cause=%s", address, error)
    if reply is not None:
        _apply_reply(reply, address, replica, asked_at_s=asked_at_s)
        if reply.entries:
            ports.on_reply(reply.entries)
    return reply


async def ask_any_peer_for_cancels(
    addresses: Sequence[str], entry: EntryAddress, replica: TableReplica, ports: PeerPorts
) -> tuple[str, ...] | None:
    """Return the jobs that the first of several peers to answer knows to be cancelled."""
    found: list[tuple[str, ...]] = []

    async with anyio.create_task_group() as group:

        async def ask(address: str) -> None:
            reply = await ask_peer(address, entry, replica, ports, wants_cancelled=True)
            if reply is not None and reply.cancelled is not None:
                found.append(reply.cancelled)
                group.cancel_scope.cancel()

        for address in addresses[:MAX_PEERS_ASKED]:
            group.start_soon(ask, address)
    return found[0] if found else None


def _apply_reply(
    reply: CopyReply, address: str, replica: TableReplica, *, asked_at_s: float
) -> None:
    """Take over a newer copy, and a confirmation that is as old as the request or older."""
    if reply.version < 0 or reply.version < replica.version:
        return
    if reply.rows is not None and reply.version > replica.version:
        log.info(
            "config: copy taken over from a peer address=%s version=%d version_before=%d age_ms=%d",
            address,
            reply.version,
            replica.version,
            min(reply.age_s, 1e6) * 1000,
        )
        replica.replace(reply.rows, reply.version)
    replica.confirm(at_s=asked_at_s - max(reply.age_s, 0.0))
