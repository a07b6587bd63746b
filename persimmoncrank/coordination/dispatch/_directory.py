"""The entries of a deployment: those with a row in the store, and those that ask for copies.

An entry that the store turns away cannot register, so its peers pass on what they hear from it.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Err, Ok

from persimmoncrank.protocol import EntryAddress, Transaction, Write, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmoncrank.protocol import TableService

log = logging.getLogger(__name__)

DIRECTORY_TABLE = "entries"
READ_INTERVAL_S = 4.0
RETRY_INTERVAL_S = 0.5
HEARD_RETENTION_S = 20.0
MAX_HEARD = 256


class EntryDirectory:
    """The entries that an entry knows; ``on_change`` receives those that agents should dial."""

    def __init__(
        self, *, own: EntryAddress, on_change: Callable[[tuple[EntryAddress, ...]], None]
    ) -> None:
        """Create a directory that contains only the own entry."""
        self._own = own
        self._on_change = on_change
        self._stored: tuple[EntryAddress, ...] = ()
        self._named: tuple[EntryAddress, ...] = ()
        self._heard: OrderedDict[str, tuple[float, EntryAddress]] = OrderedDict()

    def entries(self) -> tuple[EntryAddress, ...]:
        """Return the own entry, the registered ones, and those heard from recently."""
        oldest_s = anyio.current_time() - HEARD_RETENTION_S
        heard = [entry for heard_at_s, entry in self._heard.values() if heard_at_s >= oldest_s]
        known = {entry.address: entry for entry in (*self._stored, *heard, self._own)}
        return tuple(known.values())

    def set_stored(self, entries: Iterable[EntryAddress]) -> None:
        """Set the registered entries."""
        self._stored = tuple(entries)
        self._on_change(self.entries())

    def add_heard(self, entry: EntryAddress) -> None:
        """Add an entry that has sent a request."""
        self._heard[entry.address] = (anyio.current_time(), entry)
        self._heard.move_to_end(entry.address)
        while len(self._heard) > MAX_HEARD:
            self._heard.popitem(last=False)
        self._on_change(self.entries())

    def set_named(self, entries: Iterable[EntryAddress]) -> None:
        """Set the entries that a peer has named; they are asked, but not passed on."""
        self._named = tuple(entries)

    def peer_addresses(self, seeds: Iterable[str]) -> tuple[str, ...]:
        """Return where other entries and the seeds serve copies, in a fixed order."""
        named = [entry.peer_address for entry in (*self.entries(), *self._named)]
        return tuple(sorted({*seeds, *named} - {"", self._own.peer_address}))


async def register_entry(*, table: TableService, name: str, entry: EntryAddress) -> None:
    """Write the entry's row, with retries; a newer incarnation overwrites the row of its name."""
    write = Write(
        key=f"{DIRECTORY_TABLE}/{name}", value=encode_message(entry), expected_version=None
    )
    while True:
        match await table.transact(Transaction(writes=(write,))):
            case Ok(_):
                log.info("membership: entry registered entry=%s", entry.incarnation)
                return
            case Err(error):
                log.info("membership: registering the entry failed cause=%s", error.message)
                await anyio.sleep(RETRY_INTERVAL_S)


async def follow_directory(
    *, table: TableService, on_entries: Callable[[tuple[EntryAddress, ...]], None]
) -> None:
    """Poll the directory and pass the decoded entries to ``on_entries``."""
    while True:
        match await table.scan(f"{DIRECTORY_TABLE}/", 0):
            case Ok(found):
                on_entries(
                    tuple(_decode(row.value) for row in found.rows if _is_decodable(row.value))
                )
                await anyio.sleep(READ_INTERVAL_S)
            case Err(error):
                log.debug("membership: reading the directory failed cause=%s", error.message)
                await anyio.sleep(RETRY_INTERVAL_S)


def _decode(value: bytes) -> EntryAddress:
    return decode_message(value, EntryAddress)


def _is_decodable(value: bytes) -> bool:
    try:
        _decode(value)
    except msgspec.MsgspecError as error:
        log.warning("membership: directory row not decodable cause=%s", error)
        return False
    return True
