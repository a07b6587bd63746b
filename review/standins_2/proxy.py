"""A proxy that stands for the network between machines, and can be cut."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """Passes connections on to an address. While it is cut, no byte arrives, without a reset."""

    def __init__(self, *, target: str) -> None:
        """Create a proxy that is not cut."""
        self.is_cut = False
        self.target = target

    async def serve(self, address: str) -> asyncio.Server:
        """Accept connections at ``host:port``."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._handle, host, int(port))

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            if self.is_cut:
                while await reader.read(65_536):
                    pass
                return
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        finally:
            if self.is_cut:
                writer.close()
        with contextlib.suppress(asyncio.CancelledError):  # at the end of the case
            await asyncio.gather(
                self._pass_on(reader, target_writer), self._pass_on(target_reader, writer)
            )

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        writer.close()
