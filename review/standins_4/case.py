"""Runs a case: the exit status, the record, and the switch for the disruption."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from standins_4.deployment import Deployment

if TYPE_CHECKING:
    from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_S = 110.0

Play = Callable[[Deployment, bool], Awaitable[list[str]]]


def run_case(folder: Path, deployment: Deployment, play: Play) -> None:
    """Play a case and exit; ``play`` returns how the rule was broken, one line each."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # end the processes as on SIGINT
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(folder, deployment, play, has_trouble)))


async def _run(folder: Path, deployment: Deployment, play: Play, has_trouble: bool) -> int:
    status = NOT_RUN
    try:
        async with asyncio.timeout(MAX_S):
            found = await play(deployment, has_trouble)
        for line in found:
            deployment.note(f"BROKEN: {line}")
        status = BROKEN if found else HELD
    except Exception as error:
        deployment.note(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        deployment.stop()
        deployment.write_record(folder / "record.txt")
    print(f"trouble={has_trouble} status={status}")
    return status
