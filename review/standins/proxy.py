"""A network address translator in front of the entries' streams, whose connections can be reset.

Agents reach an entry at a public address. Entries name their own addresses to the agents, so the
translator replaces these in the frames by the public ones, which have the same length. It delays
and changes nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from dataclasses import dataclass, field

from standins.http import reset

LENGTH_BYTES = 4
CHUNK_BYTES = 65_536
AGENT_NAME = re.compile(rb"agent-[0-9]+")


@dataclass(kw_only=True, eq=False)
class _Connection:
    """One connection, as its two halves; ``agent`` is the name that its first frame gives."""

    to_agent: asyncio.StreamWriter
    to_entry: asyncio.StreamWriter
    agent: str = ""


@dataclass(kw_only=True)
class StreamProxy:
    """Forwards one entry's streams; ``public_hosts`` maps the hosts of all entries."""

    host: str
    port: int
    public_hosts: dict[str, str]
    connections: list[_Connection] = field(default_factory=list)

    async def start(self) -> asyncio.Server:
        """Listen at the entry's public address."""
        return await asyncio.start_server(self._forward, self.public_hosts[self.host], self.port)

    def reset(self, agents: set[str]) -> int:
        """Reset the connections of some agents at both ends; return their number."""
        found = [connection for connection in self.connections if connection.agent in agents]
        for connection in found:
            reset(connection.to_agent)
            reset(connection.to_entry)
        return len(found)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            from_entry, to_entry = await asyncio.open_connection(self.host, self.port)
        except OSError:
            reset(writer)
            return
        connection = _Connection(to_agent=writer, to_entry=to_entry)
        self.connections.append(connection)
        pumps = [
            asyncio.create_task(_pump(reader, connection)),
            asyncio.create_task(self._pump_frames(from_entry, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self.connections.remove(connection)
            writer.close()
            to_entry.close()

    async def _pump_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readexactly(LENGTH_BYTES)
                frame = await reader.readexactly(int.from_bytes(head, "big"))
                for host, public in self.public_hosts.items():
                    own, shown = f"{host}:{self.port}".encode(), f"{public}:{self.port}".encode()
                    frame = frame.replace(own, shown)
                writer.write(head + frame)
                await writer.drain()


async def _pump(reader: asyncio.StreamReader, connection: _Connection) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(CHUNK_BYTES):
            name = AGENT_NAME.search(data)
            if not connection.agent and name is not None:
                connection.agent = name.group().decode()
            connection.to_entry.write(data)
            await connection.to_entry.drain()
