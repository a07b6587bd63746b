"""Operators' intents and the plans that are made for them."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)


class IntentKind(enum.StrEnum):
    """The kinds of change that operators can request."""

    ADD_CUSTOMER = "add-customer"
    END_CUSTOMER = "end-customer"
    WITHDRAW_DOMAIN = "withdraw-domain"
    RETURN_DOMAIN = "return-domain"
    RETIRE_BACKEND = "retire-backend"
    RETURN_BACKEND = "return-backend"
    SET_LIMIT = "set-limit"
    EXPEL = "expel"


@dataclass(frozen=True, kw_only=True, slots=True)
class Intent:
    """One operator's intent; ``target`` is the customer, domain, backend server, limit or entries.

    ``target`` of an expulsion is a comma-separated list of incarnations.
    """

    kind: IntentKind
    target: str
    kinds: tuple[str, ...] = ()
    domains: tuple[str, ...] = ()
    value: float | None = None


class PlanState(enum.StrEnum):
    """The progress of a plan.

    A pending plan is written but not yet acknowledged by a majority of the entries.
    """

    PROPOSED = "proposed"
    PENDING = "pending"
    ACCEPTED = "accepted"
    IN_FORCE = "in_force"


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The changes that an intent would make; they take effect only once the plan is confirmed."""

    plan_id: str
    proposed_at_unix_ms: int
    intent: Intent
    base_version: int
    changes: tuple[str, ...]
    slots_before: int
    slots_after: int
    unmet_commitments: tuple[str, ...] = ()
    risks: tuple[str, ...] = ()
    is_forced: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanReport:
    """A plan, its state, and the entries whose acknowledgement is still missing."""

    plan: Plan
    state: PlanState
    version: int | None = None
    waiting_for: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentReport:
    """One agent in a status report.

    ``version`` is the one it held at its last heartbeat, ``heard_ms`` ago; both are None if no
    entry has received one.
    """

    incarnation: str
    backend: str
    domain: str
    status: str
    slots: int
    outstanding: int
    version: int | None
    heard_ms: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryReport:
    """One entry in a status report; ``age_ms`` is the age of its last reply."""

    incarnation: str
    domain: str
    version: int | None
    age_ms: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReport:
    """The state of the system as one entry sees it."""

    entry: str
    version: int
    accepted_version: int
    age_ms: int | None
    waiting_for: tuple[str, ...]
    withdrawn_domains: tuple[str, ...]
    retired_backends: tuple[str, ...]
    customers: tuple[str, ...]
    running_jobs: int
    entries: tuple[EntryReport, ...]
    agents: tuple[AgentReport, ...]
