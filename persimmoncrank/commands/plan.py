"""The commands of the group ``plan``: propose, show and confirm."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Result

from persimmoncrank.commands._api import ApiFailure, call_api, format_answer

if TYPE_CHECKING:
    from persimmoncrank.protocol import Intent

log = logging.getLogger(__name__)

CONFLICT = "conflict"

_STATE_TEXTS = {
    "proposed": "proposed; nothing has changed yet",
    "pending": "pending: written, and not yet acknowledged by a majority of the entries",
    "accepted": "accepted: it is in force everywhere within the freshness limit",
    "in_force": "in force everywhere",
}


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanSettings:
    """The entry to call, and the output format."""

    entry_url: str
    is_json: bool = False


def propose(settings: PlanSettings, intent: Intent) -> Result[str, str]:
    """Request a plan for an intent and describe it."""
    answer = call_api(settings.entry_url, "POST", "/v1/plans", asdict(intent))
    return format_answer(answer, describe_plan, is_json=settings.is_json)


def show(settings: PlanSettings, plan_id: str) -> Result[str, str]:
    """Describe a plan and its state."""
    answer = call_api(settings.entry_url, "GET", f"/v1/plans/{plan_id}")
    return format_answer(answer, describe_plan, is_json=settings.is_json)


def confirm(settings: PlanSettings, plan_id: str) -> Result[str, str]:
    """Apply a plan; after a conflict with another change, the error contains a fresh plan."""
    answer = call_api(settings.entry_url, "POST", f"/v1/plans/{plan_id}/confirm")
    if answer.is_err() and answer.unwrap_err().kind == CONFLICT:
        return Err(_describe_conflict(settings, plan_id, answer.unwrap_err()))
    return format_answer(answer, describe_plan, is_json=settings.is_json)


def _describe_conflict(settings: PlanSettings, plan_id: str, conflict: ApiFailure) -> str:
    """Return the error for a conflict, with a fresh plan for the same intent if possible."""
    rejected = f"plan {plan_id} is rejected: {conflict.message}"
    shown = call_api(settings.entry_url, "GET", f"/v1/plans/{plan_id}")
    if shown.is_err():
        return rejected
    intent = shown.unwrap()["plan"]["intent"]
    fresh = call_api(settings.entry_url, "POST", "/v1/plans", intent)
    if fresh.is_err():
        return f"{rejected}; no fresh plan: {fresh.unwrap_err().message}"
    return "\n".join((rejected, "a fresh plan:", *describe_plan(fresh.unwrap())))


def describe_plan(report: Any) -> list[str]:
    """Return a plan report as readable lines."""
    plan = report["plan"]
    lines = [f"plan {plan['plan_id']}: {_STATE_TEXTS[report['state']]}"]
    lines += [f"  change: {change}" for change in plan["changes"]]
    lines.append(f"  slots that may start tasks: {plan['slots_before']} -> {plan['slots_after']}")
    lines += [f"  no longer met: {unmet}" for unmet in plan["unmet_commitments"]]
    lines += [f"  risk: {risk}" for risk in plan["risks"]]
    lines.append(f"  base version: {plan['base_version']}")
    if report["version"] is not None:
        lines.append(f"  written as version: {report['version']}")
    if report["waiting_for"]:
        lines.append(f"  waiting for: {', '.join(report['waiting_for'])}")
    if report["state"] == "proposed":
        lines.append(f"  to confirm: persimmoncrank plan confirm {plan['plan_id']}")
    return lines
