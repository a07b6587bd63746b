"""End-to-end tests of entries and agents, mostly without injected faults."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from persimmoncrank.protocol import ErrorKind, Intent, IntentKind
from persimmoncrank.tests.base import make_job, run_virtual, start_world
from persimmoncrank.tests.invariants import check_all


@pytest.mark.parametrize("tasks", [1, 4, 48, 170])
def test_job_returns_complete_answer(tasks: int) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=1)
            submission_id = await world.issue_id("e0")
            answered = await world.submit("e0", make_job(submission_id, tasks=tasks))
            assert answered.is_complete
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main)


def test_resubmission_through_another_entry_attaches_to_the_running_job() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=2)
            spec = make_job(await world.issue_id("e0"), tasks=12)
            async with anyio.create_task_group() as callers:
                for entry in ("e0", "e1", "e2", "e1"):
                    callers.start_soon(world.submit, entry, spec)
            assert all(answered.is_complete for answered in world.history.answers)
            assert len(world.history.starts) == 12
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main)


def test_same_id_with_other_payload_is_refused() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=3)
            submission_id = await world.issue_id("e0")
            await world.submit("e0", make_job(submission_id, tasks=2))
            answered = await world.submit("e1", make_job(submission_id, tasks=3))
            assert answered.error is not None
            assert answered.error.kind == ErrorKind.SUBMISSION_MISMATCH
            group.cancel_scope.cancel()

    run_virtual(main)


def test_idempotency_key_runs_once_through_any_entry() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=4)
            world.platform.faults.lost_answers = 1
            async with anyio.create_task_group() as callers:
                for entry in ("e0", "e1", "e2"):

                    async def submit(entry: str = entry) -> None:
                        await world.submit(entry, make_job("", tasks=3), key="notice-7")

                    callers.start_soon(submit)
            ids = {a.answer.unwrap().submission_id for a in world.history.answers}
            assert len(ids) == 1
            assert len(world.history.starts) == 3
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        ({"customer": "nobody"}, ErrorKind.UNKNOWN_CUSTOMER),
        ({"kind": "other"}, ErrorKind.UNCOVERED_KIND),
        ({"processors": 1000.0}, ErrorKind.CANNOT_RUN),
        ({"deadline_ms": 10}, ErrorKind.DEADLINE_UNREACHABLE),
        ({"tasks": 0}, ErrorKind.INVALID_REQUEST),
    ],
)
def test_jobs_that_cannot_run_are_refused_at_once(change: dict, kind: ErrorKind) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=5)
            spec = make_job(await world.issue_id("e0"), tasks=change.get("tasks", 2))
            task_change = {k: v for k, v in change.items() if k in ("kind", "processors")}
            job_change = {k: v for k, v in change.items() if k in ("customer", "deadline_ms")}
            tasks = tuple(replace(task, **task_change) for task in spec.tasks)
            answered = await world.submit("e0", replace(spec, tasks=tasks, **job_change))
            assert answered.error is not None
            assert answered.error.kind == kind
            assert answered.error.not_run
            assert not world.history.starts
            group.cancel_scope.cancel()

    run_virtual(main)


def test_stopping_entry_finishes_its_jobs() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=6)
            spec = make_job(await world.issue_id("e0"), tasks=40, run_time_ms=1_500)
            group.start_soon(world.submit, "e0", spec)
            await anyio.sleep(0.3)
            world.entries["e0"].node.stop()
            await anyio.sleep(0.1)
            assert world.entries["e0"].node.jobs.issue_ids(1).unwrap_err().not_run
            with anyio.fail_after(20):
                while world.entries["e0"].process.is_alive:
                    await anyio.sleep(0.1)
            assert [a.is_complete for a in world.history.answers] == [True]
            assert not world.entries["e1"].node.config_replica.is_registered(
                world.entries["e0"].node.info.incarnation
            )
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main)


def test_ended_commitment_is_refused() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=7)
            await world.apply_intent(
                "e1", Intent(kind=IntentKind.END_CUSTOMER, target="passeggiate")
            )
            await anyio.sleep(1)
            answered = await world.submit("e0", make_job(await world.issue_id("e0")))
            assert answered.error is not None
            assert answered.error.kind == ErrorKind.COMMITMENT_ENDED
            group.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize(("is_idempotent", "is_complete"), [(True, True), (False, False)])
def test_only_idempotent_work_is_repeated_after_a_failure(
    is_idempotent: bool, is_complete: bool
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=8)
            world.agents["a0"].options.is_failing = True
            spec = make_job(await world.issue_id("e0"), tasks=12, is_idempotent=is_idempotent)
            answered = await world.submit("e0", spec)
            assert answered.is_complete is is_complete
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize(("is_idempotent", "max_starts"), [(True, 2), (False, 1)])
def test_task_that_ends_its_backend_servers_is_given_up(
    is_idempotent: bool, max_starts: int
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=8)
            for agent in world.agents.values():
                agent.options.crashing_indexes = frozenset({3})
            spec = make_job(await world.issue_id("e0"), tasks=12, is_idempotent=is_idempotent)
            for entry in ("e0", "e1", "e0"):
                answered = await world.submit(entry, spec)
                assert answered.error is not None
                assert answered.error.kind == ErrorKind.OUTCOME_UNKNOWN
                assert not answered.error.not_run
            starts = [start for start in world.history.starts if start.index == 3]
            assert 1 <= len(starts) <= max_starts
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main)


def test_status_shows_the_version_of_every_process() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=9)
            await anyio.sleep(2.0)
            for handle in world.entries.values():
                report = await handle.node.status()
                versions = [entry.version for entry in report.entries]
                versions += [agent.version for agent in report.agents]
                assert versions == [report.version] * 9
            group.cancel_scope.cancel()

    run_virtual(main)


def test_retired_backend_server_finishes_and_gets_no_new_work() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=10)
            retired = world.agents["a0"].node.info
            spec = make_job(
                await world.issue_id("e0"), tasks=150, run_time_ms=900, deadline_ms=50_000
            )
            group.start_soon(world.submit, "e0", spec)
            await anyio.sleep(0.4)
            await world.retire("e1", retired.backend)
            await anyio.sleep(20.0)
            assert [answered.is_complete for answered in world.history.answers] == [True]
            check_all(world.history)
            starts = len([s for s in world.history.starts if s.agent == retired.incarnation])
            await world.submit("e2", make_job(await world.issue_id("e2"), tasks=40))
            after = len([s for s in world.history.starts if s.agent == retired.incarnation])
            assert after == starts > 0
            group.cancel_scope.cancel()

    run_virtual(main)
