"""Connects the cancels of an entry with the store, the other entries and the dispatcher."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.cancellation import (
    CancellationPorts,
    Cancellations,
    InitialCancelPorts,
    load_cancelled_jobs,
    read_cancelled_jobs,
    wait_for_cancels,
)
from persimmoncrank.coordination.configuration import ask_any_peer_for_cancels, ask_peer
from persimmoncrank.coordination.dispatch import read_directory, register_entry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmoncrank.coordination.configuration import PeerPorts
    from persimmoncrank.coordination.dispatch import Dispatcher, EntryDirectory
    from persimmoncrank.protocol import EntryAddress, TableService
    from persimmoncrank.state import TableReplica

log = logging.getLogger(__name__)

REGISTRATION_PATIENCE_S = 0.3  # then an entry goes on without the store


class EntryCancellation:
    """The cancels of one entry, and what the entry has to know of earlier ones when it starts."""

    def __init__(
        self,
        *,
        table: TableService,
        dispatcher: Dispatcher,
        directory: EntryDirectory,
        replica: TableReplica,
        peers: PeerPorts,
    ) -> None:
        """Create an object; the dispatcher is not ready before ``register`` has loaded cancels."""
        self._table = table
        self._dispatcher = dispatcher
        self._directory = directory
        self._replica = replica
        self._peers = peers
        dispatcher.knows_cancels = False
        self.cancellations = Cancellations(
            ports=CancellationPorts(
                table=table,
                peers=directory.peers,
                tell=self._tell,
                refresh_peers=self._refresh_peers,
            )
        )
        dispatcher.cancel_elsewhere = self.cancellations.cancel

    async def register(self, name: str, seeds: Callable[[], Sequence[str]]) -> None:
        """Register the entry, then load the cancelled jobs from the store and from ``seeds``.

        In this order, a cancel is either loaded, or its entry finds this one in the directory.
        """
        entry = self._dispatcher.entry
        registered, loaded = anyio.Event(), anyio.Event()

        async def register() -> None:
            await register_entry(table=self._table, name=name, entry=entry)
            registered.set()

        async def ask_peers() -> tuple[str, ...] | None:
            addresses = self._directory.peer_addresses(seeds())
            return await ask_any_peer_for_cancels(addresses, entry, self._replica, self._peers)

        async def load() -> None:
            with anyio.move_on_after(REGISTRATION_PATIENCE_S):
                await registered.wait()
            await load_cancelled_jobs(ports=ports, add=self._dispatcher.cancel_all)
            loaded.set()

        ports = InitialCancelPorts(
            read_store=lambda: read_cancelled_jobs(table=self._table, unix_time=time.time),
            ask_peers=ask_peers,
            is_waiting_for_config=lambda: not self._dispatcher.routing.is_loaded,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(register)
            group.start_soon(load)
            await wait_for_cancels(
                ports=ports, has_loaded=loaded.is_set, on_ready=self._dispatcher.set_cancels_known
            )

    async def _tell(self, peer: EntryAddress, job_ids: tuple[str, ...]) -> tuple[str, ...] | None:
        entry = self._dispatcher.entry
        reply = await ask_peer(
            peer.peer_address, entry, self._replica, self._peers, cancelled=job_ids
        )
        return None if reply is None else reply.stopped

    async def _refresh_peers(self) -> bool:
        return await read_directory(table=self._table, on_entries=self._directory.set_stored)
