"""The entries' directory in the platform's store: one row for each entry's name."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Err, Ok

from persimmoncrank.protocol import EntryAddress, Transaction, Write, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.protocol import TableService

log = logging.getLogger(__name__)

DIRECTORY_TABLE = "entries"
READ_INTERVAL_S = 4.0
RETRY_INTERVAL_S = 0.5


async def register_entry(*, table: TableService, name: str, entry: EntryAddress) -> None:
    """Write the entry's row until that succeeds; the newest incarnation of a name counts."""
    write = Write(
        key=f"{DIRECTORY_TABLE}/{name}", value=encode_message(entry), expected_version=None
    )
    while True:
        match await table.transact(Transaction(writes=(write,))):
            case Ok(_):
                log.info("membership: entry registered entry=%s", entry.incarnation)
                return
            case Err(error):
                log.info("membership: entry not registered cause=%s", error.message)
                await anyio.sleep(RETRY_INTERVAL_S)


async def follow_directory(
    *, table: TableService, on_entries: Callable[[tuple[EntryAddress, ...]], None]
) -> None:
    """Read the directory from time to time and hand on what is found."""
    while True:
        match await table.scan(f"{DIRECTORY_TABLE}/", 0):
            case Ok(found):
                on_entries(tuple(_decode(row.value) for row in found.rows if _is_entry(row.value)))
                await anyio.sleep(READ_INTERVAL_S)
            case Err(error):
                log.debug("membership: directory not read cause=%s", error.message)
                await anyio.sleep(RETRY_INTERVAL_S)


def _decode(value: bytes) -> EntryAddress:
    return decode_message(value, EntryAddress)


def _is_entry(value: bytes) -> bool:
    try:
        _decode(value)
    except msgspec.MsgspecError as error:
        log.warning("membership: row of the directory not readable cause=%s", error)
        return False
    return True
