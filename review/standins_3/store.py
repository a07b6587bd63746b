"""A stand-in for the platform's metadata store: rows, transactions, and a feed of changes."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import TYPE_CHECKING, Any

from standins_3.http import Answer, Request, Server

if TYPE_CHECKING:
    from collections.abc import Callable

READ_S = 0.004
TRANSACTION_S = 0.008
MAX_ROWS = 500


class Store:
    """A store whose answers are linearizable; nothing that it has acknowledged is lost."""

    def __init__(self, host: str, port: int) -> None:
        """Create an empty store."""
        self.version = 0
        self.is_busy = False  # answers all calls with 503, which means that nothing was done
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._changes: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()
        self.listen(host, port)

    def add_view(self, host: str, port: int, change: Callable[[str, bytes], bytes]) -> Server:
        """Return a server that shows the values of ``entries`` changed, by key, to its callers."""

        async def handle(request: Request) -> Answer | None:
            answer = await self._handle(request)
            if answer is None or request.query.get("table") != "entries":
                return answer
            rows = answer.body.get("rows", [])
            for row in rows:
                if "value" in row:
                    value = change(row["key"], base64.b64decode(row["value"]))
                    row["value"] = base64.b64encode(value).decode()
            return answer

        return Server(host, port, handle)

    def listen(self, host: str, port: int) -> None:
        """Serve at an address once ``server`` is started."""
        self.server = Server(host, port, self._handle)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator does; the return is the acknowledgement."""
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, table: str, key: str) -> None:
        """Delete a row as the operator does."""
        self._write(table, key, None)

    def raw_rows(self, table: str) -> list[tuple[str, bytes]]:
        """Return the rows of a table as they were written, in the order of their keys."""
        found = [(key, value) for (name, key), (_, value) in self._rows.items() if name == table]
        return [(key, base64.b64decode(value)) for key, value in sorted(found)]

    def put_raw(self, table: str, key: str, value: bytes) -> None:
        """Write a row as a process of the system does."""
        self._write(table, key, base64.b64encode(value).decode())

    def _write(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        self._apply(table, key, value)
        self._notify()

    def _apply(self, table: str, key: str, value: str | None) -> None:
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (self.version, value)
        self._changes.append((self.version, table, key))

    def set_busy(self, is_busy: bool) -> None:
        """Begin or end to turn all calls away, open ones too."""
        self.is_busy = is_busy
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, table: str, key: str) -> dict[str, Any]:
        row: dict[str, Any] = {"table": table, "part": "", "key": key}
        stored = self._rows.get((table, key))
        if stored is None:
            return {**row, "removed": True, "row_version": self.version}
        return {**row, "row_version": stored[0], "value": stored[1]}

    def _reply(self, **fields: Any) -> Answer:
        now_ms = time.monotonic_ns() // 1_000_000
        return Answer(200, {**fields, "row_version": self.version, "now_ms": now_ms})

    async def _handle(self, request: Request) -> Answer | None:
        if self.is_busy:
            return Answer(503)
        if request.path == "/v1/rows-get":
            await asyncio.sleep(READ_S)
            return self._get(request.query)
        if request.path == "/v1/rows-feed":
            return await self._feed(request.query)
        if request.path == "/v1/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(request.json())
        return Answer(404)

    def _get(self, query: dict[str, str]) -> Answer:
        first, last = query.get("from", ""), query.get("to")
        keys = sorted(key for table, key in self._rows if table == query["table"])
        keys = [key for key in keys if key >= first and (last is None or key < last)]
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [self._row(query["table"], key) for key in keys[:limit]]
        return self._reply(rows=rows, has_more=len(keys) > limit)

    async def _feed(self, query: dict[str, str]) -> Answer:
        await asyncio.sleep(READ_S)
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if self.is_busy:
                return Answer(503)
            after = int(query["after"])
            changes = [c for c in self._changes if c[0] > after and c[1] == query["table"]]
            left_s = until_s - time.monotonic()
            if changes or left_s <= 0:
                keys = dict.fromkeys(key for _, _, key in changes)
                return self._reply(rows=[self._row(query["table"], key) for key in keys])
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> Answer:
        conditions = body.get("precondition", [])
        for row in conditions:
            stored = self._rows.get((row["table"], row["key"]), (0, ""))
            if stored[0] != row["row_version"]:
                rows = [self._row(each["table"], each["key"]) for each in conditions]
                return Answer(412, {"rows": rows, "row_version": self.version})
        changed = [*body.get("writes", []), *body.get("deletes", [])]
        if any(row["table"] in ("op", "servers") for row in changed):
            return Answer(403)
        self.version += 1
        for row in changed:
            self._apply(row["table"], row["key"], row.get("value"))
        self._notify()
        return self._reply()
