"""What each intent changes in a configuration, and what that means for capacity."""

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
class Applied:
    """A changed configuration, with the changes and the risks in words."""

    snapshot: ConfigSnapshot
    changes: tuple[str, ...]
    risks: tuple[str, ...] = ()
    is_forced: bool = False


Apply = Callable[[ConfigSnapshot, Intent], Result[Applied, ServiceError]]


def apply_intent(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
    """Return the configuration that an intent leads to."""
    if not intent.target:
        return _invalid("an intent needs a target", "target")
    return _APPLY[intent.kind](snapshot, intent)


def _invalid(message: str, field: str) -> Result[Applied, ServiceError]:
    return Err(refusal(ErrorKind.INVALID_REQUEST, message, field=field))


def _add_customer(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
    if not intent.kinds:
        return _invalid("a commitment covers at least one kind", "kinds")
    old = snapshot.commitment(intent.target)
    new = Commitment(customer=intent.target, kinds=intent.kinds, domains=intent.domains)
    if old == new:
        return _invalid(f"customer {intent.target!r} has this commitment already", "target")
    others = tuple(c for c in snapshot.commitments if c.customer != intent.target)
    verb = "add" if old is None else "change"
    domains = ", ".join(intent.domains) or "any failure domain"
    change = f"{verb} customer {intent.target}: {', '.join(intent.kinds)} in {domains}"
    return Ok(Applied(snapshot=replace(snapshot, commitments=(*others, new)), changes=(change,)))


def _end_customer(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
    old = snapshot.commitment(intent.target)
    if old is None or old.is_ended:
        return _invalid(f"customer {intent.target!r} has no commitment that runs", "target")
    others = tuple(c for c in snapshot.commitments if c.customer != intent.target)
    ended = replace(old, is_ended=True)
    return Ok(
        Applied(
            snapshot=replace(snapshot, commitments=(*others, ended)),
            changes=(f"end the commitment of customer {intent.target}",),
        )
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _NamedSet:
    """A set of names in the configuration, and the words for adding and removing one."""

    field: str
    noun: str
    added: str
    add: str
    remove: str


_WITHDRAWN_DOMAINS = _NamedSet(
    field="withdrawn_domains",
    noun="failure domain",
    added="withdrawn",
    add="withdraw failure domain {}: no task starts there",
    remove="return failure domain {}: tasks may start there",
)
_RETIRED_BACKENDS = _NamedSet(
    field="retired_backends",
    noun="backend server",
    added="retired",
    add="retire backend server {}: it gets no new work",
    remove="return backend server {}: it gets work again",
)


def _adding_to(named: _NamedSet) -> Apply:
    """Return what adds an intent's target to a set of names."""

    def apply(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
        names = getattr(snapshot, named.field)
        if intent.target in names:
            message = f"{named.noun} {intent.target!r} is {named.added} already"
            return _invalid(message, "target")
        changes: dict[str, Any] = {named.field: (*names, intent.target)}
        changed = replace(snapshot, **changes)
        return Ok(Applied(snapshot=changed, changes=(named.add.format(intent.target),)))

    return apply


def _removing_from(named: _NamedSet) -> Apply:
    """Return what removes an intent's target from a set of names."""

    def apply(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
        names = getattr(snapshot, named.field)
        if intent.target not in names:
            message = f"{named.noun} {intent.target!r} is not {named.added}"
            return _invalid(message, "target")
        kept = tuple(name for name in names if name != intent.target)
        changes: dict[str, Any] = {named.field: kept}
        changed = replace(snapshot, **changes)
        return Ok(Applied(snapshot=changed, changes=(named.remove.format(intent.target),)))

    return apply


def _set_limit(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
    known = {field.name: field.type for field in fields(Limits)}
    if intent.target not in known:
        names = ", ".join(sorted(known))
        return _invalid(f"no limit {intent.target!r}; there are {names}", "target")
    if intent.value is None or intent.value <= 0:
        return _invalid("a limit needs a value above 0", "value")
    old = getattr(snapshot.limits, intent.target)
    value = type(old)(intent.value)
    limits = replace(snapshot.limits, **{intent.target: value})
    return Ok(
        Applied(
            snapshot=replace(snapshot, limits=limits),
            changes=(f"set limit {intent.target} from {old:g} to {value:g}",),
        )
    )


def _expel(snapshot: ConfigSnapshot, intent: Intent) -> Result[Applied, ServiceError]:
    named = {name.strip() for name in intent.target.split(",")}
    registered = tuple(entry.incarnation for entry in snapshot.entries)
    groups = (*snapshot.elector_groups, registered)
    known = {name for group in groups for name in group}
    unknown = sorted(named - known)
    if unknown:
        return _invalid(f"no registered entry {unknown[0]!r}", "target")
    remaining = tuple(e for e in snapshot.entries if e.incarnation not in named)
    is_forced = any(not has_majority(group, set(group) - named) for group in groups)
    risk = (
        "a majority of the entries is named lost: one of them that still runs without reaching"
        " the store may let work start under an older version until it is stopped"
    )
    return Ok(
        Applied(
            snapshot=replace(snapshot, entries=remaining),
            changes=tuple(f"expel entry {name}: nothing starts under it" for name in sorted(named)),
            risks=(risk,) if is_forced else (),
            is_forced=is_forced,
        )
    )


_APPLY: dict[IntentKind, Apply] = {
    IntentKind.ADD_CUSTOMER: _add_customer,
    IntentKind.END_CUSTOMER: _end_customer,
    IntentKind.WITHDRAW_DOMAIN: _adding_to(_WITHDRAWN_DOMAINS),
    IntentKind.RETURN_DOMAIN: _removing_from(_WITHDRAWN_DOMAINS),
    IntentKind.RETIRE_BACKEND: _adding_to(_RETIRED_BACKENDS),
    IntentKind.RETURN_BACKEND: _removing_from(_RETIRED_BACKENDS),
    IntentKind.SET_LIMIT: _set_limit,
    IntentKind.EXPEL: _expel,
}


def count_slots(snapshot: ConfigSnapshot, views: Sequence[AgentView]) -> int:
    """Return the slots of the live agents that may start tasks under a configuration."""
    anyone = Commitment(customer="", kinds=())
    return sum(view.info.slots for view in views if is_allowed(view, anyone, snapshot))


def unmet_commitments(snapshot: ConfigSnapshot, views: Sequence[AgentView]) -> tuple[str, ...]:
    """Return the commitments of which some kind can run nowhere, in words."""
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
