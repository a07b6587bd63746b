"""Claims of callers' idempotency keys: a conditional write maps each key to a submission id."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    ClaimRow,
    Committed,
    Row,
    ServiceError,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
    encode_message,
    store_refusal,
    try_decode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

CLAIM_LIFETIME_S = 24 * 3600.0
"""How long a key refers to its first submission; after that it can be claimed again."""

CLAIM_ATTEMPTS = 5
CLAIM_RETRY_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The submission that a key refers to; replacing the claim requires ``claim_version``."""

    submission_id: str
    claim_version: int


class Claims:
    """Claims idempotency keys through the store."""

    def __init__(self, *, table: TableService, unix_ms: Callable[[], int]) -> None:
        """Create the claims of an entry; ``unix_ms`` returns the time that expiry is based on."""
        self._table = table
        self._unix_ms = unix_ms

    async def claim(
        self, *, customer: str, key: str, submission_id: str, replaced_version: int = 0
    ) -> Result[Claim, ServiceError]:
        """Claim a key for a submission, or return the existing claim.

        ``replaced_version`` is the row version of a claim whose submission is known not to have
        run. If the reply to a write is lost, the write is repeated: it takes effect at most once,
        and the row that exists afterwards shows which submission holds the key.
        """
        row_key = _row_key(customer, key)
        expected_version = replaced_version
        for attempt in range(CLAIM_ATTEMPTS):
            if attempt > 0:
                await anyio.sleep(CLAIM_RETRY_INTERVAL_S)
            written = await self._write(row_key, submission_id, expected_version)
            if written.is_ok():
                version = written.unwrap().version
                return Ok(Claim(submission_id=submission_id, claim_version=version))
            if written.unwrap_err().kind != StoreErrorKind.CONFLICT:
                continue
            read = await self._table.get(row_key)
            match read:
                case Ok(None):
                    expected_version = 0
                case Ok(Row() as row):
                    claim = try_decode_message(row.value, ClaimRow, name=row_key)
                    if claim is None:
                        return Err(store_refusal("the claim of the idempotency key cannot be read"))
                    if claim.expires_at_unix_ms >= self._unix_ms():
                        return Ok(
                            Claim(submission_id=claim.submission_id, claim_version=row.version)
                        )
                    expected_version = row.version
                case Err(_):
                    continue
        message = "the idempotency key could not be claimed: the store does not answer"
        return Err(store_refusal(message))

    async def _write(
        self, row_key: str, submission_id: str, expected_version: int
    ) -> Result[Committed, StoreError]:
        expires_at_unix_ms = self._unix_ms() + int(CLAIM_LIFETIME_S * 1000)
        claim = ClaimRow(submission_id=submission_id, expires_at_unix_ms=expires_at_unix_ms)
        write = Write(key=row_key, value=encode_message(claim), expected_version=expected_version)
        return await self._table.transact(Transaction(writes=(write,)))


def _row_key(customer: str, key: str) -> str:
    return f"claims/{customer}/{key}"
