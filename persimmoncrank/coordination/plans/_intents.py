"""The effect of each intent on a configuration, and the capacity of a configuration."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, replace
from typing import Any

from result import Err, Ok, Result

from persimmoncrank.coordination.placement import is_allowed
from persimmoncrank.protocol import (
    Commitment,
    ConfigSnapshot,
    ErrorKind,
    Intent,
    IntentKind,
    Limits,
    ServiceError,
    refusal,
)
from persimmoncrank.state import AgentView, has_majority

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class IntentEffect:
    """A changed configuration, with descriptions of the changes and the risks."""

    snapshot: ConfigSnapshot
    changes: tuple[str, ...]
    risks: tuple[str, ...] = ()
    is_forced: bool = False


IntentHandler = Callable[[ConfigSnapshot, Intent], Result[IntentEffect, ServiceError]]


def apply_intent(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
    """Return the configuration that results from an intent."""
    if not intent.target:
        return _invalid("an intent needs a target", "target")
    return _HANDLERS[intent.kind](snapshot, intent)


def _invalid(message: str, field: str) -> Result[IntentEffect, ServiceError]:
    return Err(refusal(ErrorKind.INVALID_REQUEST, message, field=field))


def _add_customer(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
    if not intent.kinds:
        return _invalid("a commitment must cover at least one kind", "kinds")
    old = snapshot.commitment(intent.target)
    new = Commitment(customer=intent.target, kinds=intent.kinds, domains=intent.domains)
    if old == new:
        return _invalid(f"customer {intent.target!r} already has this commitment", "target")
    others = tuple(c for c in snapshot.commitments if c.customer != intent.target)
    verb = "add" if old is None else "change"
    domains = ", ".join(intent.domains) or "any failure domain"
    change = f"{verb} customer {intent.target}: {', '.join(intent.kinds)} in {domains}"
    return Ok(
        IntentEffect(snapshot=replace(snapshot, commitments=(*others, new)), changes=(change,))
    )


def _end_customer(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
    old = snapshot.commitment(intent.target)
    if old is None or old.is_ended:
        return _invalid(f"customer {intent.target!r} has no active commitment", "target")
    others = tuple(c for c in snapshot.commitments if c.customer != intent.target)
    ended = replace(old, is_ended=True)
    return Ok(
        IntentEffect(
            snapshot=replace(snapshot, commitments=(*others, ended)),
            changes=(f"end the commitment of customer {intent.target}",),
        )
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _NameSet:
    """A set of names in the configuration, with the wording of changes to it.

    ``member_state`` describes a name that is in the set; ``add_change`` and ``remove_change`` are
    templates for the descriptions of changes.
    """

    field: str
    noun: str
    member_state: str
    add_change: str
    remove_change: str


_WITHDRAWN_DOMAINS = _NameSet(
    field="withdrawn_domains",
    noun="failure domain",
    member_state="withdrawn",
    add_change="withdraw failure domain {}: no task starts there",
    remove_change="return failure domain {}: tasks may start there",
)
_RETIRED_BACKENDS = _NameSet(
    field="retired_backends",
    noun="backend server",
    member_state="retired",
    add_change="retire backend server {}: it gets no new work",
    remove_change="return backend server {}: it gets work again",
)


def _add_target_to(name_set: _NameSet) -> IntentHandler:
    """Return a handler that adds an intent's target to a set of names."""

    def apply(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
        names = getattr(snapshot, name_set.field)
        if intent.target in names:
            message = f"{name_set.noun} {intent.target!r} is {name_set.member_state} already"
            return _invalid(message, "target")
        changes: dict[str, Any] = {name_set.field: (*names, intent.target)}
        changed = replace(snapshot, **changes)
        return Ok(
            IntentEffect(snapshot=changed, changes=(name_set.add_change.format(intent.target),))
        )

    return apply


def _remove_target_from(name_set: _NameSet) -> IntentHandler:
    """Return a handler that removes an intent's target from a set of names."""

    def apply(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
        names = getattr(snapshot, name_set.field)
        if intent.target not in names:
            message = f"{name_set.noun} {intent.target!r} is not {name_set.member_state}"
            return _invalid(message, "target")
        kept = tuple(name for name in names if name != intent.target)
        changes: dict[str, Any] = {name_set.field: kept}
        changed = replace(snapshot, **changes)
        return Ok(
            IntentEffect(snapshot=changed, changes=(name_set.remove_change.format(intent.target),))
        )

    return apply


def _set_limit(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
    known = {field.name: field.type for field in fields(Limits)}
    if intent.target not in known:
        names = ", ".join(sorted(known))
        return _invalid(f"no limit {intent.target!r}; the limits are {names}", "target")
    if intent.value is None or intent.value <= 0:
        return _invalid("a limit must be greater than 0", "value")
    old = getattr(snapshot.limits, intent.target)
    value = type(old)(intent.value)
    limits = replace(snapshot.limits, **{intent.target: value})
    return Ok(
        IntentEffect(
            snapshot=replace(snapshot, limits=limits),
            changes=(f"set limit {intent.target} from {old:g} to {value:g}",),
        )
    )


def _expel(snapshot: ConfigSnapshot, intent: Intent) -> Result[IntentEffect, ServiceError]:
    expelled = {name.strip() for name in intent.target.split(",")}
    registered = tuple(entry.incarnation for entry in snapshot.entries)
    groups = (*snapshot.elector_groups, registered)
    known = {name for group in groups for name in group}
    unknown = sorted(expelled - known)
    if unknown:
        return _invalid(f"no registered entry {unknown[0]!r}", "target")
    remaining = tuple(e for e in snapshot.entries if e.incarnation not in expelled)
    is_forced = any(not has_majority(group, set(group) - expelled) for group in groups)
    risk = (
        "a majority of the entries is named lost: one of them that still runs without reaching"
        " the store may let work start under an older version until it is stopped"
    )
    return Ok(
        IntentEffect(
            snapshot=replace(snapshot, entries=remaining),
            changes=tuple(
                f"expel entry {name}: nothing starts under it" for name in sorted(expelled)
            ),
            risks=(risk,) if is_forced else (),
            is_forced=is_forced,
        )
    )


_HANDLERS: dict[IntentKind, IntentHandler] = {
    IntentKind.ADD_CUSTOMER: _add_customer,
    IntentKind.END_CUSTOMER: _end_customer,
    IntentKind.WITHDRAW_DOMAIN: _add_target_to(_WITHDRAWN_DOMAINS),
    IntentKind.RETURN_DOMAIN: _remove_target_from(_WITHDRAWN_DOMAINS),
    IntentKind.RETIRE_BACKEND: _add_target_to(_RETIRED_BACKENDS),
    IntentKind.RETURN_BACKEND: _remove_target_from(_RETIRED_BACKENDS),
    IntentKind.SET_LIMIT: _set_limit,
    IntentKind.EXPEL: _expel,
}


def count_slots(snapshot: ConfigSnapshot, views: Sequence[AgentView]) -> int:
    """Return the slots of the live agents that may start tasks under a configuration."""
    any_customer = Commitment(customer="", kinds=())
    return sum(view.info.slots for view in views if is_allowed(view, any_customer, snapshot))


def unmet_commitments(snapshot: ConfigSnapshot, views: Sequence[AgentView]) -> tuple[str, ...]:
    """Describe the commitments that cover a kind which no live agent can run."""
    unmet = []
    for commitment in snapshot.commitments:
        if commitment.is_ended:
            continue
        allowed = [view for view in views if is_allowed(view, commitment, snapshot)]
        served = {kind for view in allowed for kind in view.info.kinds}
        missing = sorted(set(commitment.kinds) - served)
        if missing:
            unmet.append(f"{commitment.customer}: {', '.join(missing)}")
    return tuple(unmet)
