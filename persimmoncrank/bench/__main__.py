"""Sends the heartbeats of many simulated agents from one process, to scale up live runs."""

from __future__ import annotations

import logging

import anyio
import click

from persimmoncrank.bench._live import DOMAINS, KIND
from persimmoncrank.coordination import AgentMembership
from persimmoncrank.protocol import AgentInfo, AgentLoad, RefusalReason
from persimmoncrank.transport import RpcClient

log = logging.getLogger(__name__)

START_SPREAD_S = 5.0


def _agent_info(name: str, number: int) -> AgentInfo:
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


async def _send_heartbeats(name: str, count: int, seeds: tuple[str, ...]) -> None:
    async with RpcClient() as client, anyio.create_task_group() as group:
        for number in range(count):
            membership = AgentMembership(
                info=_agent_info(name, number),
                seeds=seeds,
                call=client.call,
                load=AgentLoad,
                on_refused=_ignore_refusal,
            )
            group.start_soon(membership.run)
            await anyio.sleep(START_SPREAD_S / count)


def _ignore_refusal(_reason: RefusalReason) -> None:
    """Do nothing: a simulated agent has no queued tasks to return."""


@click.command(help="Send the heartbeats of COUNT agents called NAME to the entries at SEEDS.")
@click.argument("name")
@click.argument("count", type=int)
@click.argument("seeds", nargs=-1, required=True)
def main(name: str, count: int, seeds: tuple[str, ...]) -> None:
    """Send heartbeats until the process is stopped."""
    anyio.run(_send_heartbeats, name, count, seeds)


if __name__ == "__main__":
    main()
