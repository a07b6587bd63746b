"""Tests of the crashes that entries keep in the platform's store."""

from __future__ import annotations

import anyio
import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.dispatch import load_crashes, store_crashes
from persimmoncrank.protocol import CrashedRun, TaskRef, Transaction, WorkerCrash, Write
from persimmoncrank.standin import MemoryPlatform
from persimmoncrank.state import CRASH_RETENTION_S

RUN = CrashedRun(ref=TaskRef(job_id="j", step=0, index=1), kind="q", is_recent=True)
CRASH = WorkerCrash(worker="w", incarnation=7, runs=(RUN,))


async def load(platform: MemoryPlatform) -> list[WorkerCrash]:
    """Return the crashes that an entry reads when it starts."""
    crashes: list[WorkerCrash] = []
    await load_crashes(table=platform.table(), record=crashes.append, unix_time=anyio.current_time)
    return crashes


@pytest.mark.parametrize(
    ("fault", "age_s", "expected"),
    [
        ("none", 1.0, 1),
        ("outage", 3.0, 1),
        ("lost answer", 3.0, 1),
        ("none", CRASH_RETENTION_S + 30.0, 0),
    ],
)
def test_stored_crash_is_read_until_it_expires(fault: str, age_s: float, expected: int) -> None:
    async def main() -> list[WorkerCrash]:
        platform = MemoryPlatform()
        platform.faults.is_down = fault == "outage"
        platform.faults.lost_answers = 1 if fault == "lost answer" else 0
        send, receive = anyio.create_memory_object_stream[WorkerCrash](8)
        async with anyio.create_task_group() as group, send, receive:
            group.start_soon(
                lambda: store_crashes(
                    table=platform.table(), crashes=receive, unix_time=anyio.current_time
                )
            )
            send.send_nowait(CRASH)
            await anyio.sleep(0.5)
            platform.faults.is_down = False
            await anyio.sleep(age_s)
            crashes = await load(platform)
            assert len(platform._rows) == expected
            group.cancel_scope.cancel()
        return crashes

    crashes = run_virtual(main)
    assert [(c.worker, c.incarnation, c.runs) for c in crashes] == [("w", 7, (RUN,))] * expected
    assert all(crash.age_s >= 1.0 for crash in crashes)


def test_row_that_cannot_be_read_is_left_alone() -> None:
    async def main() -> None:
        platform = MemoryPlatform()
        write = Write(key="crashes/other", value=b"\xc1", expected_version=None)
        await platform.transact(Transaction(writes=(write,)))
        assert await load(platform) == []
        assert "crashes/other" in platform._rows

    run_virtual(main)
