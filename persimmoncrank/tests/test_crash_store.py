"""Tests of the crashes that entries keep in the platform's store."""

from __future__ import annotations

import math

import anyio
import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.dispatch import load_crashes, store_crashes
from persimmoncrank.coordination.dispatch._crash_store import _StoredCrash
from persimmoncrank.protocol import (
    CrashedRun,
    TaskRef,
    Transaction,
    WorkerCrash,
    Write,
    encode_message,
)
from persimmoncrank.standin import MemoryPlatform
from persimmoncrank.state import CRASH_RETENTION_S

RUN = CrashedRun(ref=TaskRef(job_id="j", step=0, index=1), kind="q", is_recent=True)
CRASH = WorkerCrash(worker="w", incarnation=7, runs=(RUN,))


async def load(platform: MemoryPlatform) -> list[WorkerCrash]:
    """Return the crashes that an entry reads when it starts."""
    crashes: list[WorkerCrash] = []
    await load_crashes(
        table=platform.table(),
        record=crashes.append,
        unix_time=anyio.current_time,
        on_ready=lambda: None,
    )
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


ODD_VALUES = {
    "not a message": b"\xc1",
    "no time": encode_message(_StoredCrash(crash=CRASH, at_unix_s=math.nan)),
    "endless time": encode_message(_StoredCrash(crash=CRASH, at_unix_s=math.inf)),
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_row_that_cannot_be_read_is_left_alone(value: bytes) -> None:
    async def main() -> None:
        platform = MemoryPlatform()
        write = Write(key="crashes/other", value=value, expected_version=None)
        await platform.transact(Transaction(writes=(write,)))
        assert await load(platform) == []
        assert "crashes/other" in platform._rows

    run_virtual(main)


@pytest.mark.parametrize("outage_s", [0.0, 3.0], ids=["store up", "store down"])
def test_entry_serves_while_the_stored_crashes_cannot_be_read(outage_s: float) -> None:
    """After a restart of all processes in an outage of the store, callers must not wait for it."""

    async def main() -> None:
        platform = MemoryPlatform()
        value = encode_message(_StoredCrash(crash=CRASH, at_unix_s=0.0))
        write = Write(key="crashes/w.7", value=value, expected_version=None)
        await platform.transact(Transaction(writes=(write,)))
        platform.faults.is_down = outage_s > 0.0
        crashes: list[WorkerCrash] = []
        ready = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(
                lambda: load_crashes(
                    table=platform.table(),
                    record=crashes.append,
                    unix_time=anyio.current_time,
                    on_ready=ready.set,
                )
            )
            with anyio.fail_after(0.2):
                await ready.wait()
            assert len(crashes) == (0 if outage_s else 1)
            await anyio.sleep(outage_s)
            platform.faults.is_down = False
            await anyio.sleep(1.0)
            assert len(crashes) == 1

    run_virtual(main)
