"""The directory of entries in the platform's store: one row per entry name."""

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
