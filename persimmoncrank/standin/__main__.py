"""Command line that runs the stand-ins as separate processes."""

from __future__ import annotations

import logging

import anyio
import click

from persimmoncrank.standin import BackendStandin, MemoryPlatform, platform_app
from persimmoncrank.transport import serve_http

log = logging.getLogger(__name__)


@click.group(help="Stand-ins for the platform and for backend servers.")
def cli() -> None:
    """Run one of the stand-ins."""


@cli.command(help="Serve an in-memory platform at ADDRESS.")
@click.argument("address")
def platform(address: str) -> None:
    """Serve an in-memory platform."""

    async def main() -> None:
        async with serve_http(platform_app(MemoryPlatform()), address):
            await anyio.sleep_forever()

    anyio.run(main)


@cli.command(help="Serve one backend server at each of ADDRESSES.")
@click.argument("addresses", nargs=-1, required=True)
def backends(addresses: tuple[str, ...]) -> None:
    """Serve a backend server at each address."""

    async def serve(address: str) -> None:
        async with serve_http(BackendStandin(name=address).app(), address):
            await anyio.sleep_forever()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(serve, address)

    anyio.run(main)


if __name__ == "__main__":
    cli()
