"""Sends the heartbeats of many agents from one process, for live runs at the target size."""

from __future__ import annotations

import logging

import anyio
import click

from persimmoncrank.bench._live import DOMAINS, KIND
from persimmoncrank.coordination import AgentMembership
from persimmoncrank.protocol import AgentInfo, AgentLoad, RefusalReason
from persimmoncrank.transport import RpcClient

log = logging.getLogger(__name__)

SPREAD_S = 5.0


def _info(name: str, number: int) -> AgentInfo:
    return AgentInfo(
        incarnation=f"{name}-{number}-00000000",
        backend=f"backend-{name}-{number}",
        rpc_address="127.0.0.1:9",
        domain=DOMAINS[number % len(DOMAINS)],
        kinds=(KIND,),
        slots=8,
        processors=16.0,
        memory_bytes=2**35,
    )


async def _send(name: str, count: int, seeds: tuple[str, ...]) -> None:
    async with RpcClient() as client, anyio.create_task_group() as group:
        for number in range(count):
            membership = AgentMembership(
                info=_info(name, number),
                seeds=seeds,
                call=client.call,
                load=AgentLoad,
                on_refused=_ignore,
            )
            group.start_soon(membership.run)
            await anyio.sleep(SPREAD_S / count)


def _ignore(_reason: RefusalReason) -> None:
    """Hold no queue that could be given back."""


@click.command(help="Send the heartbeats of COUNT agents called NAME to the entries at SEEDS.")
@click.argument("name")
@click.argument("count", type=int)
@click.argument("seeds", nargs=-1, required=True)
def main(name: str, count: int, seeds: tuple[str, ...]) -> None:
    """Send heartbeats until ended."""
    anyio.run(_send, name, count, seeds)


if __name__ == "__main__":
    main()
