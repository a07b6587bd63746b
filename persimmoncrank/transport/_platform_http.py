"""HTTP clients for the platform's table service and object store."""

from __future__ import annotations

import logging
from urllib.parse import quote

import anyio
import httpcore
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    Committed,
    ObjectStore,
    Row,
    Rows,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    decode_message,
    encode_message,
)
from persimmoncrank.transport._store_calls import wrap_store_call

log = logging.getLogger(__name__)

PLATFORM_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 20
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class PlatformClient:
    """Calls the platform over HTTP; a write whose call failed may have taken effect."""

    def __init__(self, *, url: str) -> None:
        """Create a client for the platform at ``url``."""
        self._url = url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=PLATFORM_TIMEOUT_S
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def table(self) -> TableService:
        """Return the interface to the table service."""
        return TableService(
            get=wrap_store_call(self._get_row, *_ERRORS),
            transact=wrap_store_call(self._transact, *_ERRORS),
            scan=wrap_store_call(self._scan, *_ERRORS),
        )

    def objects(self) -> ObjectStore:
        """Return the interface to the object store."""
        return ObjectStore(
            put=wrap_store_call(self._put_object, *_ERRORS),
            get=wrap_store_call(self._get_object, *_ERRORS),
        )

    async def _request(self, method: str, path: str, content: bytes = b"") -> httpcore.Response:
        with anyio.fail_after(PLATFORM_TIMEOUT_S):
            return await self._pool.request(method, f"{self._url}{path}", content=content)

    async def _get_row(self, key: str) -> Result[Row | None, StoreError]:
        response = await self._request("GET", f"/table/rows/{quote(key, safe='')}")
        if response.status == _NOT_FOUND:
            return Ok(None)
        if response.status != _OK:
            return _unavailable(response)
        return Ok(decode_message(response.content, Row))

    async def _transact(self, transaction: Transaction) -> Result[Committed, StoreError]:
        response = await self._request("POST", "/table/transactions", encode_message(transaction))
        if response.status == _CONFLICT:
            text = response.content.decode(errors="replace")
            return Err(StoreError(kind=StoreErrorKind.CONFLICT, message=text))
        if response.status != _OK:
            return _unavailable(response)
        return Ok(decode_message(response.content, Committed))

    async def _scan(self, prefix: str, since_version: int) -> Result[Rows, StoreError]:
        path = f"/table/scan?prefix={quote(prefix, safe='')}&since={since_version}"
        response = await self._request("GET", path)
        if response.status != _OK:
            return _unavailable(response)
        return Ok(decode_message(response.content, Rows))

    async def _put_object(self, key: str, content: bytes) -> Result[None, StoreError]:
        path = f"/objects/{quote(key, safe='')}"
        response = await self._request("PUT", path, content)
        return Ok(None) if response.status == _OK else _unavailable(response)

    async def _get_object(self, key: str) -> Result[bytes | None, StoreError]:
        response = await self._request("GET", f"/objects/{quote(key, safe='')}")
        if response.status == _NOT_FOUND:
            return Ok(None)
        return Ok(response.content) if response.status == _OK else _unavailable(response)


def _unavailable(response: httpcore.Response) -> Result:
    message = f"the platform answered with status {response.status}"
    return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, message=message))
