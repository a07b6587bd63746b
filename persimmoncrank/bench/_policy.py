"""Runs the real coordination code in virtual time, against ideal schedules and baselines."""

from __future__ import annotations

import logging
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from hdrh.histogram import HdrHistogram
from result import Err

from persimmoncrank.bench._baselines import POLICIES
from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._workload import (
    PROFILES,
    SLOTS,
    JobPlan,
    capacity_per_s,
    clairvoyant_responses_s,
    declare_tasks,
    draw_slowness,
    draw_trace,
    min_response_s,
    true_work_ms,
)
from persimmoncrank.bench._world import CUSTOMER, AgentOptions, World, wait_until_converged
from persimmoncrank.protocol import Intent, IntentKind, JobSpec

if TYPE_CHECKING:
    from persimmoncrank.bench._history import AnswerRecord, History, TaskStart

log = logging.getLogger(__name__)

FAULTS = ("withdraw", "store-down", "agent-dies", "failing-backend", "silent", "pause")
DEADLINE_MS = 60_000
LATE_START_LIMIT_S = 3.0
STORE_DOWN_AFTER_S = 0.5
"""Delay from a withdrawal to the store outage when a run has both faults."""

SAMPLE_INTERVAL_S = 0.05
QUEUE_WATCH_S = 3.0
WARM_UP_JOBS = 5
RATIO_SCALE = 1_000  # histograms hold integers, so ratios are recorded in thousandths
MAX_SCALED_RATIO = 10_000_000
DATA_MESSAGES = ("RunBatch", "CancelBatch", "ForwardJob", "ForwardLookup")


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicySettings:
    """The settings of one policy run."""

    profile: str = "passeggiate"
    policy: str = "shortest-completion"
    seed: int = 1
    load: float = 0.6
    tasks: int = 17
    seconds: float = 30.0
    entries: int = 3
    faults: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicyReport:
    """The measurements of one policy run.

    Response ratios are response times relative to the lower bound for each job, and clairvoyant
    ratios relative to the clairvoyant schedule. ``messages_per_task`` counts the requests of the
    types in ``DATA_MESSAGES`` and their replies; ``wasted_messages_ratio`` is the share of these
    requests beyond one for each job and agent that starts its tasks.

    The fields about a withdrawal are None in a run without one. ``in_force_s`` is the time from the
    acceptance until every live process has the version or is not current. ``return_queue_excess``
    is the maximum excess of queued tasks per slot at the agents of the returned domain over all
    others, in the first seconds after the return.
    """

    policy: str
    seed: int
    load: float
    jobs: int
    response_ratio_p50: float
    response_ratio_p99: float
    clairvoyant_ratio_p50: float
    clairvoyant_ratio_p99: float
    messages_per_task: float
    wasted_messages_ratio: float
    withdrawal_work_ratio: float | None
    acceptance_s: float | None
    in_force_s: float | None
    last_start_after_acceptance_s: float | None
    return_queue_excess: float | None
    duplicate_starts: int
    late_starts: int
    partial_answers: int
    false_not_run: int
    refused_ratio: float
    failed_ratio: float


@dataclass(kw_only=True)
class _Withdrawal:
    """The domain, times and queue measurements of a withdrawal during a run."""

    domain: str = ""
    requested_at_s: float = 0.0
    accepted_at_s: float = 0.0
    returned_at_s: float = 0.0
    in_force_s: float | None = None
    queue_excess: float = 0.0


@dataclass(kw_only=True)
class _Run:
    """The state of a run in progress."""

    settings: PolicySettings
    world: World
    rng: random.Random
    slowness: tuple[float, ...]
    trace: list[JobPlan]
    responses_s: dict[int, float]
    submission_ids: dict[str, int]
    withdrawal: _Withdrawal
    started_at_s: float = 0.0


def run_policy(settings: PolicySettings) -> PolicyReport:
    """Run a workload in virtual time; the same settings give the same report."""

    async def main() -> PolicyReport:
        async with anyio.create_task_group() as group:
            run = _prepare(settings, World(group=group, seed=settings.seed))
            await wait_until_converged(run.world)
            await _add_customer(run.world)
            await anyio.sleep(2.0)
            await _run_trace(run)
            report = _report(run)
            group.cancel_scope.cancel()
        return report

    return run_virtual(main, seed=settings.seed)


def _prepare(settings: PolicySettings, world: World) -> _Run:
    rng = random.Random(settings.seed)
    profile = PROFILES[settings.profile]
    slowness = draw_slowness(rng, profile)
    world.kinds = tuple(profile.median_work_ms)
    world.network.min_delay_s = profile.min_delay_s
    world.work_ms_of = true_work_ms
    world.make_placement_policy = POLICIES[settings.policy](settings.seed)
    for number in range(settings.entries):
        world.start_entry(f"e{number}", profile.domains[number % len(profile.domains)])
    for number, agent_slowness in enumerate(slowness):
        domain = profile.domains[number % len(profile.domains)]
        world.start_agent(f"a{number}", domain, AgentOptions(slots=SLOTS, slowness=agent_slowness))
    trace = draw_trace(
        rng,
        medians_ms=profile.median_work_ms,
        load=settings.load,
        capacity_ms_per_s=capacity_per_s(slowness),
        tasks=settings.tasks,
        seconds=settings.seconds,
    )
    return _Run(
        settings=settings,
        world=world,
        rng=rng,
        slowness=slowness,
        trace=trace,
        responses_s={},
        submission_ids={},
        withdrawal=_Withdrawal(),
    )


async def _add_customer(world: World) -> None:
    intent = Intent(kind=IntentKind.ADD_CUSTOMER, target=CUSTOMER, kinds=world.kinds)
    (await world.apply_intent("e0", intent)).unwrap()


async def _run_trace(run: _Run) -> None:
    run.world.network.call_counts.clear()
    run.started_at_s = anyio.current_time()
    async with anyio.create_task_group() as group:
        for fault in run.settings.faults:
            group.start_soon(_inject_fault, run, fault)
        for number, plan in enumerate(run.trace):
            group.start_soon(_submit, run, number, plan)


async def _submit(run: _Run, number: int, plan: JobPlan) -> None:
    await anyio.sleep(plan.at_s)
    entry = f"e{number % run.settings.entries}"
    issued = run.world.entries[entry].node.jobs.issue_ids(1)
    if issued.is_err():
        run.world.record_answer(_placeholder_job(), Err(issued.unwrap_err()))
        return
    spec = JobSpec(
        submission_id=issued.unwrap()[0],
        customer=CUSTOMER,
        deadline_ms=DEADLINE_MS,
        tasks=declare_tasks(run.rng, plan, PROFILES[run.settings.profile].median_work_ms),
    )
    run.submission_ids[spec.submission_id] = number
    answered = await run.world.submit(entry, spec)
    if answered.is_complete:
        run.responses_s[number] = answered.at_s - run.started_at_s - plan.at_s


def _placeholder_job() -> JobSpec:
    return JobSpec(submission_id="", customer=CUSTOMER, deadline_ms=1, tasks=())


async def _inject_fault(run: _Run, fault: str) -> None:
    seconds = run.settings.seconds
    world = run.world
    await anyio.sleep(seconds / 3)
    if fault == "withdraw":
        await _withdraw_and_return(run)
    elif fault == "store-down":
        await anyio.sleep(STORE_DOWN_AFTER_S)
        world.platform.faults.is_down = True
        await anyio.sleep(seconds / 3)
        world.platform.faults.is_down = False
    elif fault == "agent-dies":
        world.agents["a0"].process.kill()
    elif fault == "failing-backend":
        world.agents["a0"].options.is_failing = True
    elif fault == "silent":
        for entry in world.entries.values():
            for agent in world.agents.values():
                world.network.stall_connection(entry.process.address, agent.process.address)
                world.network.stall_connection(agent.process.address, entry.process.address)
    elif fault == "pause":
        world.agents["a0"].process.pause()
        await anyio.sleep(seconds / 6)
        world.agents["a0"].process.resume()


async def _withdraw_and_return(run: _Run) -> None:
    withdrawal = run.withdrawal
    withdrawal.domain = PROFILES[run.settings.profile].domains[0]
    withdrawal.requested_at_s = anyio.current_time()
    withdrawn = await run.world.withdraw("e1", withdrawal.domain)
    if withdrawn.is_err():
        return
    withdrawal.accepted_at_s = anyio.current_time()
    version = withdrawn.unwrap().version
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_in_force, run, version)
        await anyio.sleep(run.settings.seconds / 3)
        group.cancel_scope.cancel()
    run.world.record_return(withdrawal.domain)
    withdrawal.returned_at_s = anyio.current_time()
    await run.world.apply_intent(
        "e2", Intent(kind=IntentKind.RETURN_DOMAIN, target=withdrawal.domain)
    )
    await _watch_queues(run)


async def _watch_in_force(run: _Run, version: int) -> None:
    """Record when every live process has at least this version or is not current."""
    while not _is_in_force(run.world, version):
        await anyio.sleep(SAMPLE_INTERVAL_S)
    run.withdrawal.in_force_s = anyio.current_time() - run.withdrawal.accepted_at_s


def _is_in_force(world: World, version: int) -> bool:
    replicas = [e.node.config_replica for e in world.entries.values() if e.process.is_alive]
    agents = [a.node.membership for a in world.agents.values() if a.process.is_alive]
    return all(
        replica.snapshot.version >= version or not replica.is_current() for replica in replicas
    ) and all(agent.config.version >= version or not agent.is_current() for agent in agents)


async def _watch_queues(run: _Run) -> None:
    """Record the maximum excess of the returned domain's queues over those of the others."""
    withdrawal = run.withdrawal
    for _ in range(int(QUEUE_WATCH_S / SAMPLE_INTERVAL_S)):
        await anyio.sleep(SAMPLE_INTERVAL_S)
        returned = _queue_per_slot(run.world, withdrawal.domain, is_inside=True)
        others = _queue_per_slot(run.world, withdrawal.domain, is_inside=False)
        withdrawal.queue_excess = max(withdrawal.queue_excess, returned - others)


def _queue_per_slot(world: World, domain: str, *, is_inside: bool) -> float:
    """Return the queued tasks per slot, of the agents inside or outside a domain."""
    nodes = [a.node for a in world.agents.values() if (a.node.info.domain == domain) is is_inside]
    return sum(node.runner.load.queued for node in nodes) / sum(n.info.slots for n in nodes)


def _report(run: _Run) -> PolicyReport:
    history = run.world.history
    ideal = _ratios(run, [min_response_s(plan, run.slowness) for plan in run.trace])
    clairvoyant = _ratios(run, clairvoyant_responses_s(run.trace, run.slowness))
    tasks = max(1, len(history.starts))
    calls = sum(run.world.network.call_counts[name] for name in DATA_MESSAGES)
    useful = len({(start.submission_id, start.agent) for start in history.starts})
    jobs = max(1, len(history.answers))
    withdrawal = run.withdrawal
    late, last_s = _starts_after_acceptance(history, withdrawal)
    return PolicyReport(
        policy=run.settings.policy,
        seed=run.settings.seed,
        load=run.settings.load,
        jobs=len(history.answers),
        response_ratio_p50=ideal.get_value_at_percentile(50) / RATIO_SCALE,
        response_ratio_p99=ideal.get_value_at_percentile(99) / RATIO_SCALE,
        clairvoyant_ratio_p50=clairvoyant.get_value_at_percentile(50) / RATIO_SCALE,
        clairvoyant_ratio_p99=clairvoyant.get_value_at_percentile(99) / RATIO_SCALE,
        messages_per_task=2 * calls / tasks,
        wasted_messages_ratio=max(0, calls - useful) / max(1, calls),
        withdrawal_work_ratio=_withdrawal_work_ratio(run),
        acceptance_s=withdrawal.accepted_at_s - withdrawal.requested_at_s
        if withdrawal.accepted_at_s
        else None,
        in_force_s=withdrawal.in_force_s,
        last_start_after_acceptance_s=last_s,
        return_queue_excess=withdrawal.queue_excess if withdrawal.returned_at_s else None,
        duplicate_starts=_duplicate_starts(history),
        late_starts=late,
        partial_answers=sum(_is_partial(answered) for answered in history.answers),
        false_not_run=_false_not_run(history),
        refused_ratio=sum(a.answer.is_err() for a in history.answers) / jobs,
        failed_ratio=sum(a.answer.is_ok() and not a.is_complete for a in history.answers) / jobs,
    )


def _ratios(run: _Run, ideal_s: list[float]) -> HdrHistogram:
    """Return a histogram of response times relative to ideal ones, without the warm-up jobs."""
    histogram = HdrHistogram(1, MAX_SCALED_RATIO, 3)
    for number, response_s in run.responses_s.items():
        if number >= WARM_UP_JOBS:
            histogram.record_value(int(response_s / ideal_s[number] * RATIO_SCALE))
    return histogram


def _duplicate_starts(history: History) -> int:
    starts = Counter((start.submission_id, start.index) for start in history.starts)
    return sum(count - 1 for count in starts.values())


def _starts_after_acceptance(history: History, withdrawal: _Withdrawal) -> tuple[int, float | None]:
    """Return the number of late starts in a withdrawn domain, and the delay of the last start."""
    if not withdrawal.accepted_at_s:
        return 0, None
    delays_s = [
        start.at_s - withdrawal.accepted_at_s
        for start in history.starts
        if start.domain == withdrawal.domain
        and withdrawal.accepted_at_s < start.at_s < withdrawal.returned_at_s
    ]
    return sum(delay_s > LATE_START_LIMIT_S for delay_s in delays_s), max(delays_s, default=0.0)


def _is_partial(answered: AnswerRecord) -> bool:
    if answered.answer.is_err():
        return False
    count = len(answered.answer.unwrap().results)
    return count not in (0, len(answered.spec.tasks))


def _false_not_run(history: History) -> int:
    started = {start.submission_id for start in history.starts}
    return sum(
        answered.error is not None
        and answered.error.not_run
        and answered.spec.submission_id in started
        for answered in history.answers
    )


def _withdrawal_work_ratio(run: _Run) -> float | None:
    """Return the work started while a domain was withdrawn, as a share of the possible work.

    The possible work is what the remaining slots can process in that time if they are never idle
    while work is waiting: the backlog at the withdrawal, and the jobs as they arrive.
    """
    withdrawal = run.withdrawal
    if not withdrawal.returned_at_s:
        return None
    started = [(start.at_s, _work_ms_of(run, start)) for start in run.world.history.starts]
    before_ms = sum(work_ms for at_s, work_ms in started if at_s < withdrawal.requested_at_s)
    done_ms = sum(
        work_ms
        for at_s, work_ms in started
        if withdrawal.requested_at_s <= at_s < withdrawal.returned_at_s
    )
    remaining = [
        SLOTS * 1000 / agent.options.slowness
        for agent in run.world.agents.values()
        if agent.node.info.domain != withdrawal.domain
    ]
    possible_ms = _possible_work_ms(run, backlog_ms=-before_ms, capacity_ms_per_s=sum(remaining))
    return done_ms / max(possible_ms, 1.0)


def _work_ms_of(run: _Run, start: TaskStart) -> float:
    number = run.submission_ids[start.submission_id]
    return run.trace[number].work_ms[start.index]


def _possible_work_ms(run: _Run, *, backlog_ms: float, capacity_ms_per_s: float) -> float:
    """Return the work that a given capacity can process during the withdrawal as jobs arrive.

    ``backlog_ms`` is the work started before the withdrawal, as a negative number. The work of the
    jobs is added to it, including those that arrived before the withdrawal.
    """
    withdrawal = run.withdrawal
    worked_ms = 0.0
    at_s = withdrawal.requested_at_s
    for plan in run.trace:
        arrives_at_s = min(plan.at_s + run.started_at_s, withdrawal.returned_at_s)
        if arrives_at_s > at_s:
            step_ms = min(max(backlog_ms, 0.0), (arrives_at_s - at_s) * capacity_ms_per_s)
            worked_ms += step_ms
            backlog_ms -= step_ms
            at_s = arrives_at_s
        if plan.at_s + run.started_at_s < withdrawal.returned_at_s:
            backlog_ms += sum(plan.work_ms)
    last_ms = (withdrawal.returned_at_s - at_s) * capacity_ms_per_s
    return worked_ms + min(max(backlog_ms, 0.0), last_ms)
