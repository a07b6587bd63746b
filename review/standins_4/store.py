"""The platform's store: rows with versions, transactions and a feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from standins_4.http import Request, Response

ANSWER_S = 0.004


class Store:
    """A store that answers all calls."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.version = 0
        self._rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self._changes: list[tuple[int, tuple[str, str, str]]] = []
        self._changed = asyncio.Event()
        self.turned_away: set[str] = set()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._commit({(table, "", key): encoded}, [])

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return sorted(key for name, _, key in self._rows if name == table)

    async def handle(self, caller: str, request: Request) -> Response | None:
        """Answer one call of a machine; those turned away get 503, and nothing is done."""
        await asyncio.sleep(ANSWER_S)
        if caller in self.turned_away:
            return Response(503, {})
        match request.path:
            case "/v1/rows-tx":
                return self._transact(request.json())
            case "/v1/rows-get":
                return self._get(request.query)
            case "/v1/rows-feed":
                return await self._feed(caller, request.query)
            case "/v1/rows-parts":
                parts = sorted(
                    {part for name, part, _ in self._rows if name == request.query["table"]}
                )
                return Response(200, self._about({"parts": parts, "has_more": False}))
        return Response(404, {})

    def turn_away(self, caller: str) -> None:
        """Refuse the calls of a machine from now on, also those that wait for changes."""
        self.turned_away.add(caller)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _about(self, body: dict[str, Any]) -> dict[str, Any]:
        return {**body, "row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _commit(self, writes: dict[tuple[str, str, str], str], deletes: list[Any]) -> None:
        self.version += 1
        for name, value in writes.items():
            self._rows[name] = (self.version, value)
        for name in deletes:
            self._rows.pop(name, None)
        self._changes += [(self.version, name) for name in (*writes, *deletes)]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _transact(self, body: dict[str, Any]) -> Response:
        def name(row: dict[str, Any]) -> tuple[str, str, str]:
            return (row["table"], row.get("part", ""), row["key"])

        for row in body.get("precondition", []):
            if self._rows.get(name(row), (0, ""))[0] != row["row_version"]:
                return Response(412, self._about({"rows": []}))
        writes = {name(row): row["value"] for row in body.get("writes", [])}
        self._commit(writes, [name(row) for row in body.get("deletes", [])])
        return Response(200, self._about({}))

    def _row(self, name: tuple[str, str, str]) -> dict[str, Any]:
        table, part, key = name
        row: dict[str, Any] = {"table": table, "part": part, "key": key}
        stored = self._rows.get(name)
        if stored is None:
            return {**row, "row_version": self.version, "removed": True}
        return {**row, "row_version": stored[0], "value": stored[1]}

    def _get(self, query: dict[str, str]) -> Response:
        first, last = query.get("from", ""), query.get("to")
        names = sorted(
            name
            for name in self._rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        limit = min(int(query.get("limit", "500")), 500)
        rows = [self._row(name) for name in names[:limit]]
        return Response(200, self._about({"rows": rows, "has_more": len(names) > limit}))

    async def _feed(self, caller: str, query: dict[str, str]) -> Response:
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while caller not in self.turned_away:
            names = {n: None for version, n in self._changes if version > after and n[0] == table}
            left_s = until_s - time.monotonic()
            if names or left_s <= 0:
                return Response(200, self._about({"rows": [self._row(name) for name in names]}))
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return Response(503, {})
