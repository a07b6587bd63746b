"""Tests of the recovery of submissions whose issuer is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.coordination.recovery._recovery import (
    HolderReport,
    RecordHolder,
    answer_from_records,
)
from persimmoncrank.protocol import (
    ErrorKind,
    JobState,
    OutcomeState,
    SubmissionRecords,
    TaskOutcome,
)
from persimmoncrank.tests.base import make_job, run_virtual, start_world
from persimmoncrank.tests.invariants import check_all

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmoncrank.bench import World

SUCCEEDED, FAILED, REFUSED, STARTED = (
    OutcomeState.SUCCEEDED,
    OutcomeState.FAILED,
    OutcomeState.REFUSED,
    OutcomeState.STARTED,
)


def make_report(*states: OutcomeState, first: int = 0) -> HolderReport:
    """Return a holder's report on the tasks from index ``first`` on, in a job of two tasks."""
    outcomes = tuple(
        TaskOutcome(index=first + number, attempt=0, state=state, detail=b"1")
        for number, state in enumerate(states)
    )
    holder = RecordHolder(incarnation="a", agent="a", domain="monza", rpc_address="a:1")
    records = SubmissionRecords(submission_id="s", task_count=2, outcomes=outcomes)
    return HolderReport(holder=holder, records=records)


@pytest.mark.parametrize(
    ("reports", "unaccounted", "state", "kind", "not_run"),
    [
        ([], [], JobState.FAILED, ErrorKind.ISSUER_GONE, True),
        ([], ["a"], JobState.FAILED, ErrorKind.OUTCOME_UNKNOWN, False),
        ([make_report(REFUSED, REFUSED)], [], JobState.FAILED, ErrorKind.ISSUER_GONE, True),
        ([make_report(SUCCEEDED, SUCCEEDED)], [], JobState.COMPLETE, None, None),
        (
            [make_report(SUCCEEDED), make_report(SUCCEEDED, first=1)],
            ["b"],
            JobState.COMPLETE,
            None,
            None,
        ),
        (
            [make_report(REFUSED), make_report(SUCCEEDED, SUCCEEDED)],
            [],
            JobState.COMPLETE,
            None,
            None,
        ),
        ([make_report(SUCCEEDED)], [], JobState.FAILED, ErrorKind.OUTCOME_UNKNOWN, False),
        ([make_report(SUCCEEDED, FAILED)], [], JobState.FAILED, ErrorKind.OUTCOME_UNKNOWN, False),
        ([make_report(SUCCEEDED, STARTED)], [], JobState.FAILED, ErrorKind.OUTCOME_UNKNOWN, False),
    ],
)
def test_answer_from_records(
    reports: list[HolderReport],
    unaccounted: list[str],
    state: JobState,
    kind: ErrorKind | None,
    not_run: bool | None,
) -> None:
    answer = answer_from_records("s", reports, unaccounted)
    assert answer.state == state
    if answer.error is not None:
        assert (answer.error.kind, answer.error.not_run) == (kind, not_run)


def run_with_world(test: Callable[[World], Awaitable[None]]) -> None:
    """Run a test in a world and check the invariants of its history."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=41)
            await test(world)
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main, seed=41)


def test_two_entries_recover_a_job_while_its_paused_issuer_resumes() -> None:
    async def test(world: World) -> None:
        spec = make_job(await world.issue_id("e0"), tasks=120, run_time_ms=900, deadline_ms=50_000)
        issuer = world.entries["e0"].process
        async with anyio.create_task_group() as group:
            group.start_soon(world.submit, "e0", spec)
            await anyio.sleep(0.5)
            issuer.pause()
            await anyio.sleep(11.0)
            for entry in ("e1", "e2", "e1"):
                group.start_soon(world.submit, entry, spec)
            await anyio.sleep(1.5)
            issuer.resume()
            await anyio.sleep(20.0)
            group.cancel_scope.cancel()
        assert len(world.history.answers) >= 3

    run_with_world(test)


def test_unused_id_of_a_lost_issuer_is_answered_as_not_run() -> None:
    async def test(world: World) -> None:
        spec = make_job(await world.issue_id("e0"))
        world.entries["e0"].process.kill()
        await anyio.sleep(14.0)
        answered = await world.submit("e1", spec)
        assert answered.error is not None
        assert (answered.error.kind, answered.error.not_run) == (ErrorKind.ISSUER_GONE, True)

    run_with_world(test)


def test_finished_job_of_a_stopped_entry_is_answered_completely() -> None:
    async def test(world: World) -> None:
        spec = make_job(await world.issue_id("e0"), tasks=20)
        assert (await world.submit("e0", spec)).is_complete
        for name in ("a0", "a1"):
            world.agents[name].node.stop()
        world.entries["e0"].node.stop()
        await anyio.sleep(8.0)
        assert (await world.submit("e2", spec)).is_complete

    run_with_world(test)
