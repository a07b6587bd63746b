"""A proxy that stands for the link to one machine, and can be cut silently."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """Forwards connections; while ``is_cut`` is set, nothing passes, and nothing is answered."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        """Create a proxy that does not listen yet."""
        self.is_cut = False
        self._host, self._port, self._target = host, port, target
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        """Stop to listen, and break all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._open):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            with contextlib.suppress(OSError):
                far_reader, far_writer = await asyncio.open_connection(*self._target)
                try:
                    await asyncio.gather(
                        self._forward(reader, far_writer), self._forward(far_reader, writer)
                    )
                finally:
                    far_writer.close()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._open.discard(task)
            writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            if not self.is_cut:
                writer.write(data)
                await writer.drain()
        if not self.is_cut and writer.can_write_eof():
            writer.write_eof()
