"""Mutation tests: each invariant check passes on intact code and fails on a broken variant."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import pytest

from persimmoncrank.bench import History, World
from persimmoncrank.coordination.configuration._config_replica import ConfigReplica
from persimmoncrank.coordination.execution._task_runner import TaskRunner
from persimmoncrank.coordination.jobs import _job_run
from persimmoncrank.coordination.membership._agent_membership import AgentMembership
from persimmoncrank.coordination.recovery import _recovery
from persimmoncrank.state import StartRecords
from persimmoncrank.tests import invariants
from persimmoncrank.tests.base import DOMAINS, make_job, run_virtual, start_world


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """A defect, the scenario that exposes it, and the invariant check that must detect it."""

    name: str
    apply: Callable[[pytest.MonkeyPatch], None]
    scenario: Callable[[World], Awaitable[None]]
    check: Callable[[History], None]


# Scenarios


async def resend_batches(world: World) -> None:
    """Stall connections while tasks are running, so that their batches are sent again."""
    spec = make_job(await world.issue_id("e0"), tasks=20, run_time_ms=1_500, deadline_ms=30_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        for agent in world.agents.values():
            world.network.stall_connection(
                world.entries["e0"].process.address, agent.process.address
            )


async def run_one_job(world: World) -> None:
    """Run one job."""
    await world.submit("e0", make_job(await world.issue_id("e0"), tasks=12))


async def exceed_deadline(world: World) -> None:
    """Let a deadline expire while tasks are running on backend servers that hang."""
    for agent in world.agents.values():
        agent.options.hang_s = 5.0
    spec = make_job(await world.issue_id("e0"), tasks=4, deadline_ms=1_000)
    await world.submit("e0", spec)


async def withdraw_domain_with_queues(world: World) -> None:
    """Withdraw a domain whose agents have long queues."""
    spec = make_job(await world.issue_id("e0"), tasks=300, run_time_ms=1_500, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        await world.withdraw("e1", DOMAINS[0])


async def withdraw_domain_of_paused_agent(world: World) -> None:
    """Withdraw a domain while one of its agents is paused, and resume the agent 6 s later."""
    agent = world.agents["a0"]
    spec = make_job(await world.issue_id("e0"), tasks=300, run_time_ms=1_500, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        agent.process.pause()
        await world.withdraw("e1", agent.process.domain)
        await anyio.sleep(6.0)
        agent.process.resume()


async def retire_backend_with_queue(world: World) -> None:
    """Retire a backend server that has a long queue."""
    spec = make_job(await world.issue_id("e0"), tasks=300, run_time_ms=1_500, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        await world.retire("e1", world.agents["a0"].node.info.backend)


async def kill_issuer_and_agent(world: World) -> None:
    """Kill the issuer and the only agent that started a task, then submit through another entry."""
    spec = make_job(await world.issue_id("e0"), tasks=1, run_time_ms=20_000, deadline_ms=50_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        agent_incarnation = world.history.starts[0].agent
        for agent in world.agents.values():
            if agent.node.info.incarnation == agent_incarnation:
                agent.process.kill()
        world.entries["e0"].process.kill()
        group.cancel_scope.cancel()
    await anyio.sleep(15.0)
    await world.submit("e1", spec)


async def stop_agent(world: World) -> None:
    """Stop an agent gracefully while it runs tasks."""
    spec = make_job(await world.issue_id("e0"), tasks=100, run_time_ms=4_000, deadline_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.submit, "e0", spec)
        await anyio.sleep(0.5)
        world.agents["a1"].node.stop()


async def withdraw_with_slow_store(world: World) -> None:
    """Withdraw two domains while the store is slow, and give the entries time to poll it."""
    world.platform.faults.delay_s = 0.4
    for domain in DOMAINS[:2]:
        await world.withdraw("e0", domain)
    await anyio.sleep(3.0)


# Mutations


def drop_start_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Admit a task again although it has a start record."""
    admit = StartRecords.admit

    def broken(self, key, **arguments) -> bool:  # type: ignore[no-untyped-def]
        self._outcomes.pop(key, None)
        return admit(self, key, **arguments)

    monkeypatch.setattr(StartRecords, "admit", broken)


def reverse_results(monkeypatch: pytest.MonkeyPatch) -> None:
    """Return the results of a job in reverse order."""
    complete = _job_run.complete_answer

    def broken(submission_id, results):  # type: ignore[no-untyped-def]
        answer = complete(submission_id, results)
        return replace(answer, results=answer.results[::-1])

    monkeypatch.setattr(_job_run, "complete_answer", broken)


def drop_a_result(monkeypatch: pytest.MonkeyPatch) -> None:
    """Omit one result from the answer to a job."""
    complete = _job_run.complete_answer
    monkeypatch.setattr(
        _job_run, "complete_answer", lambda submission_id, r: complete(submission_id, r[1:])
    )


def treat_cancelled_as_not_started(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treat every cancelled task as not started."""
    monkeypatch.setattr(_job_run, "_all_refused", lambda _reply, _sent_tasks: True)


def ignore_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the agent start tasks in a withdrawn domain or on a retired backend server."""
    monkeypatch.setattr(AgentMembership, "_withdrawal_reason", lambda _self: None)


def ignore_proof_age(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the agent start tasks without a recent proof that its configuration is current."""
    monkeypatch.setattr(AgentMembership, "is_current", lambda _self: True)


def ignore_unaccounted_agents(monkeypatch: pytest.MonkeyPatch) -> None:
    """Derive the answer as if every agent had replied."""
    answer_from_records = _recovery.answer_from_records
    monkeypatch.setattr(
        _recovery,
        "answer_from_records",
        lambda submission, found, _unaccounted: answer_from_records(submission, found, []),
    )


def skip_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an agent exit without waiting for its running tasks."""

    async def broken(_self: TaskRunner) -> None:
        return

    monkeypatch.setattr(TaskRunner, "drain", broken)


def return_to_older_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Return an entry to the previous version after each poll or sync without a snapshot."""
    apply = ConfigReplica._apply

    def broken(self, snapshot, **arguments) -> None:  # type: ignore[no-untyped-def]
        before = self._snapshot
        apply(self, snapshot, **arguments)
        if snapshot is None and before.version > 2:
            self._snapshot = replace(before, version=before.version - 1)

    monkeypatch.setattr(ConfigReplica, "_apply", broken)


MUTATIONS = (
    Mutation(
        name="start records are dropped",
        apply=drop_start_records,
        scenario=resend_batches,
        check=invariants.check_at_most_once,
    ),
    Mutation(
        name="results are in reverse order",
        apply=reverse_results,
        scenario=run_one_job,
        check=invariants.check_answer_results,
    ),
    Mutation(
        name="a result is missing",
        apply=drop_a_result,
        scenario=run_one_job,
        check=invariants.check_answer_results,
    ),
    Mutation(
        name="cancelled tasks count as not started",
        apply=treat_cancelled_as_not_started,
        scenario=exceed_deadline,
        check=invariants.check_not_run_answers,
    ),
    Mutation(
        name="unaccounted agents are ignored",
        apply=ignore_unaccounted_agents,
        scenario=kill_issuer_and_agent,
        check=invariants.check_not_run_answers,
    ),
    Mutation(
        name="the withdrawal is ignored at the agent",
        apply=ignore_withdrawal,
        scenario=withdraw_domain_with_queues,
        check=invariants.check_no_late_starts,
    ),
    Mutation(
        name="the age of the configuration proof is ignored",
        apply=ignore_proof_age,
        scenario=withdraw_domain_of_paused_agent,
        check=invariants.check_no_late_starts,
    ),
    Mutation(
        name="the retirement is ignored at the agent",
        apply=ignore_withdrawal,
        scenario=retire_backend_with_queue,
        check=invariants.check_no_late_starts,
    ),
    Mutation(
        name="a stopping agent does not drain",
        apply=skip_drain,
        scenario=stop_agent,
        check=invariants.check_graceful_stops_complete_jobs,
    ),
    Mutation(
        name="configuration versions decrease",
        apply=return_to_older_versions,
        scenario=withdraw_with_slow_store,
        check=invariants.check_versions_never_decrease,
    ),
)


def run_scenario(scenario: Callable[[World], Awaitable[None]]) -> History:
    """Run a scenario in a new simulated deployment and return its history."""

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
    mutation.apply(monkeypatch)
    with pytest.raises(AssertionError):
        mutation.check(run_scenario(mutation.scenario))
