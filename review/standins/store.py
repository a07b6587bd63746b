"""The platform's metadata store: rows with versions, transactions, reads and a change feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from standins.http import Request, Response

MAX_WAIT_MS = 30_000
POLL_S = 0.01


class Store:
    """Rows by table and key. All rows of this deployment have an empty part."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.version = 0
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._changes: list[tuple[int, str, str]] = []

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator does."""
        self.version += 1
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def _write(self, table: str, key: str, value: str | None) -> None:
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (self.version, value)
        self._changes.append((self.version, table, key))

    async def handle(self, request: Request) -> Response:
        """Answer one call."""
        match request.path:
            case "/v1/rows-tx":
                return self._transact(request.json())
            case "/v1/rows-get":
                return self._get(request.query)
            case "/v1/rows-feed":
                return await self._feed(request.query)
        return Response(status=404)

    def _transact(self, call: dict[str, Any]) -> Response:
        for row in call.get("precondition", ()):
            current = self._rows.get((row["table"], row["key"]), (0, ""))[0]
            if current != row["row_version"]:
                return Response(status=412, body=self._reply([]))
        if any(row["table"] in ("op", "servers") for row in call.get("writes", ())):
            return Response(status=403)
        self.version += 1
        for row in call.get("writes", ()):
            self._write(row["table"], row["key"], row["value"])
        for row in call.get("deletes", ()):
            self._write(row["table"], row["key"], None)
        return Response(status=200, body=self._reply([]))

    def _get(self, query: dict[str, str]) -> Response:
        table, first, last = query["table"], query.get("from", ""), query.get("to")
        keys = sorted(key for name, key in self._rows if name == table)
        found = [key for key in keys if key >= first and (last is None or key < last)]
        return Response(status=200, body=self._reply([self._row(table, key) for key in found]))

    async def _feed(self, query: dict[str, str]) -> Response:
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + min(int(query["wait_ms"]), MAX_WAIT_MS) / 1000
        while not (keys := self._changed(table, after)) and time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
        return Response(status=200, body=self._reply([self._row(table, key) for key in keys]))

    def _changed(self, table: str, after: int) -> list[str]:
        found = [key for version, name, key in self._changes if name == table and version > after]
        return list(dict.fromkeys(found))

    def _row(self, table: str, key: str) -> dict[str, Any]:
        stored = self._rows.get((table, key))
        row = {"table": table, "part": "", "key": key}
        if stored is None:
            version = max(v for v, name, k in self._changes if (name, k) == (table, key))
            return {**row, "removed": True, "row_version": version}
        return {**row, "row_version": stored[0], "value": stored[1]}

    def _reply(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {
            "rows": rows,
            "has_more": False,
            "row_version": self.version,
            "now_ms": now_ms,
        }
