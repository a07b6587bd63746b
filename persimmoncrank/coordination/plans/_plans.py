"""Plans: proposing a plan for an operator's intent, and applying it once confirmed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.configuration import (
    FRESHNESS_LIMIT_S,
    ConfigReplica,
    ConfigWriter,
    applied_key,
)
from persimmoncrank.coordination.plans._intents import apply_intent, count_slots, unmet_commitments
from persimmoncrank.protocol import (
    ConfigHead,
    ConfigSnapshot,
    ErrorKind,
    Intent,
    Plan,
    PlanReport,
    PlanState,
    ServiceError,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
    encode_message,
    refusal,
    store_refusal,
    try_decode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.coordination.membership import EntryMembership
    from persimmoncrank.state import AgentViews

log = logging.getLogger(__name__)

ACCEPTANCE_TIMEOUT_S = 5.0
WRITE_ATTEMPTS = 3
PLAN_ROWS_PREFIX = "plans/"
STORE_UNREACHABLE = "the platform's store does not answer"
IN_FORCE_DELAY_S = FRESHNESS_LIMIT_S
"""Delay from acceptance until no process starts tasks under an older version."""


class Plans:
    """Handles operators' plans at one entry; they are stored, so any entry can confirm them."""

    def __init__(
        self,
        *,
        config_replica: ConfigReplica,
        membership: EntryMembership,
        writer: ConfigWriter,
        views: AgentViews,
        table: TableService,
        new_plan_id: Callable[[], str],
        unix_ms: Callable[[], int],
    ) -> None:
        """Create the plan handling of an entry."""
        self._config_replica = config_replica
        self._membership = membership
        self._writer = writer
        self._views = views
        self._table = table
        self._new_plan_id = new_plan_id
        self._unix_ms = unix_ms
        self._accepted_at_s: dict[int, float] = {}

    async def propose(self, intent: Intent) -> Result[PlanReport, ServiceError]:
        """Return a plan for an intent, based on the latest version in the store."""
        polled = await self._config_replica.poll_store()
        if polled.is_err():
            return Err(store_refusal(STORE_UNREACHABLE))
        plan = self._make_plan(intent)
        if plan.is_err():
            return Err(plan.unwrap_err())
        new_plan = plan.unwrap()
        if not await self._store_plan(new_plan):
            return Err(store_refusal(STORE_UNREACHABLE))
        log.info(
            "plans: proposed plan=%s intent=%s target=%s base_version=%d",
            new_plan.plan_id,
            intent.kind,
            intent.target,
            new_plan.base_version,
        )
        return Ok(PlanReport(plan=new_plan, state=PlanState.PROPOSED))

    async def _store_plan(self, plan: Plan) -> bool:
        """Write a plan's row; on a conflict, an earlier attempt wrote it and its reply was lost."""
        row = Write(key=_plan_key(plan.plan_id), value=encode_message(plan), expected_version=0)
        for _ in range(WRITE_ATTEMPTS):
            written = await self._table.transact(Transaction(writes=(row,)))
            if written.is_ok() or written.unwrap_err().kind == StoreErrorKind.CONFLICT:
                return True
        return False

    def _make_plan(self, intent: Intent) -> Result[Plan, ServiceError]:
        snapshot = self._config_replica.snapshot
        applied = apply_intent(snapshot, intent)
        if applied.is_err():
            return Err(applied.unwrap_err())
        after = applied.unwrap()
        views = self._views.live()
        unmet_before = unmet_commitments(snapshot, views)
        unmet_after = unmet_commitments(after.snapshot, views)
        return Ok(
            Plan(
                plan_id=self._new_plan_id(),
                proposed_at_unix_ms=self._unix_ms(),
                intent=intent,
                base_version=snapshot.operator_version,
                changes=after.changes,
                slots_before=count_slots(snapshot, views),
                slots_after=count_slots(after.snapshot, views),
                unmet_commitments=tuple(u for u in unmet_after if u not in unmet_before),
                risks=after.risks,
                is_forced=after.is_forced,
            )
        )

    async def show(self, plan_id: str) -> Result[PlanReport, ServiceError]:
        """Return a plan and its state."""
        read = await self._table.get(_plan_key(plan_id))
        applied = await self._table.get(applied_key(plan_id))
        if read.is_err() or applied.is_err():
            return Err(store_refusal(STORE_UNREACHABLE))
        row, applied_row = read.unwrap(), applied.unwrap()
        if row is None:
            return Err(refusal(ErrorKind.NOT_FOUND, f"no plan {plan_id!r}", field="plan_id"))
        plan = try_decode_message(row.value, Plan, name=row.key)
        if plan is None:
            return Err(store_refusal(f"the stored plan {plan_id!r} cannot be read"))
        if applied_row is None:
            return Ok(PlanReport(plan=plan, state=PlanState.PROPOSED))
        applied_head = try_decode_message(applied_row.value, ConfigHead, name=applied_row.key)
        if applied_head is None:
            return Err(store_refusal(f"the stored state of plan {plan_id!r} cannot be read"))
        return Ok(self._make_report(plan, applied_head.version))

    async def confirm(self, plan_id: str) -> Result[PlanReport, ServiceError]:
        """Apply a plan; confirming it again has no effect.

        If operators have changed the configuration since the plan was proposed, the error is a
        conflict and the operator has to request a new plan.
        """
        shown = await self.show(plan_id)
        if shown.is_err() or shown.unwrap().state != PlanState.PROPOSED:
            return shown
        plan = shown.unwrap().plan

        def change(snapshot: ConfigSnapshot) -> Result[ConfigSnapshot, ServiceError]:
            return apply_intent(snapshot, plan.intent).map(lambda applied: applied.snapshot)

        written = await self._writer.write(
            change, plan_id=plan_id, base_version=plan.base_version, is_forced=plan.is_forced
        )
        if written.is_err():
            error = written.unwrap_err()
            log.info("plans: not confirmed plan=%s cause=%s", plan_id, error.message)
            return Err(error)
        version = written.unwrap().version
        await self._membership.gather_acceptance(version, ACCEPTANCE_TIMEOUT_S)
        report = self._make_report(plan, version)
        log.info("plans: confirmed plan=%s version=%d state=%s", plan_id, version, report.state)
        return Ok(report)

    def _make_report(self, plan: Plan, version: int) -> PlanReport:
        waiting_for: tuple[str, ...] = ()
        if self._config_replica.accepted_version < version:
            state = PlanState.PENDING
            waiting_for = self._config_replica.missing_acknowledgements()
        else:
            now_s = anyio.current_time()
            accepted_at_s = self._accepted_at_s.setdefault(version, now_s)
            is_in_force = now_s - accepted_at_s >= IN_FORCE_DELAY_S
            state = PlanState.IN_FORCE if is_in_force else PlanState.ACCEPTED
        return PlanReport(plan=plan, state=state, version=version, waiting_for=waiting_for)


def _plan_key(plan_id: str) -> str:
    return f"{PLAN_ROWS_PREFIX}{plan_id}"
