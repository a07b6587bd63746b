"""Each invariant catches a deliberately broken line: the check fails with it, and not without."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import pytest

from persimmoncrank.bench import History, World
from persimmoncrank.coordination.configuration._config_keeper import ConfigKeeper
from persimmoncrank.coordination.execution._task_runner import TaskRunner
from persimmoncrank.coordination.jobs import _job_run
from persimmoncrank.coordination.membership._agent_membership import AgentMembership
from persimmoncrank.coordination.recovery import _recovery
from persimmoncrank.state import StartRecords
from persimmoncrank.tests import invariants
from persimmoncrank.tests.base import DOMAINS, make_job, run_virtual, start_world


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """One broken line, the scenario that shows it, and the invariant that catches it."""

    name: str
    broken: Callable[[pytest.MonkeyPatch], None]
    scenario: Callable[[World], Awaitable[None]]
    check: Callable[[History], None]


# Scenarios


async def repeated_messages(world: World) -> None:
    """Let connections go silent under running tasks, so that their batches are sent again."""
    spec = make_job(await world.issue_id("e0"), tasks=20, run_time_ms=1_500, deadline_ms=30_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        for agent in world.agents.values():
            world.network.stall_connection(
                world.entries["e0"].process.address, agent.process.address
            )


async def plain_job(world: World) -> None:
    """Run one job."""
    await world.submit("e0", make_job(await world.issue_id("e0"), tasks=12))


async def deadline_passes(world: World) -> None:
    """Let a deadline pass while tasks run, because their backend servers hang."""
    for agent in world.agents.values():
        agent.options.hang_s = 5.0
    spec = make_job(await world.issue_id("e0"), tasks=4, deadline_ms=1_000)
    await world.submit("e0", spec)


async def withdrawn_while_queued(world: World) -> None:
    """Withdraw a domain whose agents have long queues."""
    spec = make_job(await world.issue_id("e0"), tasks=300, run_time_ms=1_500, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        await world.withdraw("e1", DOMAINS[0])


async def withdrawn_while_paused(world: World) -> None:
    """Withdraw a domain while an agent there is paused, so that it wakes up late."""
    agent = world.agents["a0"]
    spec = make_job(await world.issue_id("e0"), tasks=300, run_time_ms=1_500, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        agent.process.pause()
        await world.withdraw("e1", agent.process.domain)
        await anyio.sleep(6.0)
        agent.process.resume()


async def retired_while_queued(world: World) -> None:
    """Retire a backend server that has a long queue."""
    spec = make_job(await world.issue_id("e0"), tasks=300, run_time_ms=1_500, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        await world.retire("e1", world.agents["a0"].node.info.backend)


async def issuer_and_agent_die(world: World) -> None:
    """Lose the issuer and the only agent that started something, then ask elsewhere."""
    spec = make_job(await world.issue_id("e0"), tasks=1, run_time_ms=20_000, deadline_ms=50_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        started_at = world.history.starts[0].agent
        for agent in world.agents.values():
            if agent.node.info.incarnation == started_at:
                agent.process.kill()
        world.entries["e0"].process.kill()
        group.cancel_scope.cancel()
    await anyio.sleep(15.0)
    await world.submit("e1", spec)


async def agent_stops(world: World) -> None:
    """Stop an agent gracefully while it runs tasks."""
    spec = make_job(await world.issue_id("e0"), tasks=100, run_time_ms=4_000, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        world.agents["a1"].node.stop()


async def entry_loses_store_and_peers(world: World) -> None:
    """Let a version pass an entry by, which then meets a slow reader of the store."""
    world.platform.faults.delay_s = 0.4
    for domain in DOMAINS[:2]:
        await world.withdraw("e0", domain)
    await anyio.sleep(3.0)


# Broken lines


def forget_start_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Admit a task whose record stands."""
    admit = StartRecords.admit

    def broken(self, key, **arguments) -> bool:  # type: ignore[no-untyped-def]
        self._outcomes.pop(key, None)
        return admit(self, key, **arguments)

    monkeypatch.setattr(StartRecords, "admit", broken)


def cross_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the results of a job in another order."""
    complete = _job_run.complete_answer

    def broken(submission_id, results):  # type: ignore[no-untyped-def]
        answer = complete(submission_id, results)
        return replace(answer, results=answer.results[::-1])

    monkeypatch.setattr(_job_run, "complete_answer", broken)


def drop_a_result(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answer a job without one of its results."""
    complete = _job_run.complete_answer
    monkeypatch.setattr(
        _job_run, "complete_answer", lambda submission_id, r: complete(submission_id, r[1:])
    )


def believe_all_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take every cancelled task as not started."""
    monkeypatch.setattr(_job_run, "_all_refused", lambda _reply, _sents: True)


def ignore_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the agent start whatever the configuration says."""
    monkeypatch.setattr(AgentMembership, "_withdrawal_reason", lambda _self: None)


def ignore_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the agent start without a fresh proof."""
    monkeypatch.setattr(AgentMembership, "is_current", lambda _self: True)


def ignore_unaccounted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Conclude without regard to agents that did not answer."""
    answer_from_records = _recovery.answer_from_records
    monkeypatch.setattr(
        _recovery,
        "answer_from_records",
        lambda submission, found, _unaccounted: answer_from_records(submission, found, []),
    )


def do_not_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a leaving agent exit without finishing what runs."""

    async def broken(_self: TaskRunner) -> None:
        return

    monkeypatch.setattr(TaskRunner, "drain", broken)


def take_lower_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an entry go back to the version before after each read of the store."""
    learn = ConfigKeeper._apply

    def broken(self, snapshot, **arguments) -> None:  # type: ignore[no-untyped-def]
        before = self._snapshot
        learn(self, snapshot, **arguments)
        if snapshot is None and before.version > 2:
            self._snapshot = replace(before, version=before.version - 1)

    monkeypatch.setattr(ConfigKeeper, "_apply", broken)


MUTATIONS = (
    Mutation(
        name="start records are forgotten",
        broken=forget_start_records,
        scenario=repeated_messages,
        check=invariants.check_at_most_once,
    ),
    Mutation(
        name="results are crossed",
        broken=cross_answers,
        scenario=plain_job,
        check=invariants.check_whole_answers,
    ),
    Mutation(
        name="a result is dropped",
        broken=drop_a_result,
        scenario=plain_job,
        check=invariants.check_whole_answers,
    ),
    Mutation(
        name="cancelled tasks count as not started",
        broken=believe_all_refused,
        scenario=deadline_passes,
        check=invariants.check_not_run_is_true,
    ),
    Mutation(
        name="unaccounted agents are ignored",
        broken=ignore_unaccounted,
        scenario=issuer_and_agent_die,
        check=invariants.check_not_run_is_true,
    ),
    Mutation(
        name="the withdrawal is ignored at the agent",
        broken=ignore_withdrawal,
        scenario=withdrawn_while_queued,
        check=invariants.check_no_late_starts,
    ),
    Mutation(
        name="the age of the proof is ignored",
        broken=ignore_age,
        scenario=withdrawn_while_paused,
        check=invariants.check_no_late_starts,
    ),
    Mutation(
        name="the retirement is ignored at the agent",
        broken=ignore_withdrawal,
        scenario=retired_while_queued,
        check=invariants.check_no_late_starts,
    ),
    Mutation(
        name="a leaving agent does not finish",
        broken=do_not_drain,
        scenario=agent_stops,
        check=invariants.check_planned_stops_cut_nothing,
    ),
    Mutation(
        name="versions go back",
        broken=take_lower_versions,
        scenario=entry_loses_store_and_peers,
        check=invariants.check_versions_rise,
    ),
)


def run_scenario(scenario: Callable[[World], Awaitable[None]]) -> History:
    """Run a scenario in a world of its own and return its history."""

    async def main() -> History:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=11)
            await scenario(world)
            group.cancel_scope.cancel()
        return world.history

    return run_virtual(main, seed=11)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_invariant_catches_mutation(mutation: Mutation, monkeypatch: pytest.MonkeyPatch) -> None:
    mutation.check(run_scenario(mutation.scenario))
    mutation.broken(monkeypatch)
    with pytest.raises(AssertionError):
        mutation.check(run_scenario(mutation.scenario))
