"""A stand-in for the platform's store: versioned rows, atomic transactions and a change feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from standins_2.http import Answer, Request

ANSWER_S = 0.004
RowKey = tuple[str, str, str]


class Store:
    """The rows of all tables; nothing that was acknowledged is lost.

    ``seen_as`` maps addresses to others of the same length, behind which a proxy listens.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.rows: dict[RowKey, tuple[int, str]] = {}
        self.changes: list[tuple[int, RowKey]] = []
        self.version = 0
        self.seen_as: dict[str, str] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator does; the return is the acknowledgement."""
        self.version += 1
        self._set((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def delete(self, table: str, key: str) -> None:
        """Delete a row as the operator does."""
        self.version += 1
        self._drop((table, "", key))
        self._wake()

    def _set(self, key: RowKey, value: str) -> None:
        self.rows[key] = (self.version, value)
        self.changes.append((self.version, key))

    def _drop(self, key: RowKey) -> None:
        if self.rows.pop(key, None) is not None:
            self.changes.append((self.version, key))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle_elsewhere(self, request: Request) -> Answer:
        """Answer a call of a machine that sees some addresses under other ones."""
        answer = await self.handle(request)
        for row in answer.body.get("rows", ()):
            value = base64.b64decode(row.get("value", ""))
            for address, other in self.seen_as.items():
                value = value.replace(address.encode(), other.encode())
            if "value" in row:
                row["value"] = base64.b64encode(value).decode()
        return answer

    async def handle(self, request: Request) -> Answer:
        """Answer a call of the system."""
        await asyncio.sleep(ANSWER_S)
        if request.path == "/v1/rows-tx":
            return self._transact(request.json())
        if request.path == "/v1/rows-get":
            return self._get(request.query)
        if request.path == "/v1/rows-feed":
            return await self._feed(request.query)
        return Answer(status=404)

    def _transact(self, body: dict[str, Any]) -> Answer:
        entries = [*body.get("writes", ()), *body.get("deletes", ())]
        if any(row["table"] in ("op", "servers") for row in entries):
            return Answer(status=403)
        for row in body.get("precondition", ()):
            version = self.rows.get(_key(row), (0, ""))[0]
            if version != row["row_version"]:
                return Answer(status=412, body=self._rows([]))
        self.version += 1
        for row in body.get("writes", ()):
            self._set(_key(row), row["value"])
        for row in body.get("deletes", ()):
            self._drop(_key(row))
        self._wake()
        return Answer(body=self._rows([]))

    def _get(self, query: dict[str, str]) -> Answer:
        part, first, last = query.get("part", ""), query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (query["table"], part)
            and key[2] >= first
            and (last is None or key[2] < last)
        )
        return Answer(body={**self._rows(keys), "has_more": False})

    async def _feed(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while not (keys := self._changed_keys(query["table"], after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        return Answer(body=self._rows(keys))

    def _changed_keys(self, table: str, after: int) -> list[RowKey]:
        found = {key: None for version, key in self.changes if version > after and key[0] == table}
        return list(found)

    def _rows(self, keys: list[RowKey]) -> dict[str, Any]:
        return {
            "rows": [self._row(key) for key in keys],
            "row_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    def _row(self, key: RowKey) -> dict[str, Any]:
        table, part, name = key
        row = {"table": table, "part": part, "key": name}
        if key not in self.rows:
            return {**row, "removed": True}
        version, value = self.rows[key]
        return {**row, "row_version": version, "value": value}


def _key(row: dict[str, Any]) -> RowKey:
    return (row["table"], row.get("part", ""), row["key"])
