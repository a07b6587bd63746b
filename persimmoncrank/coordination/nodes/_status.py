"""The status report of an entry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import AgentReport, EntryReport, StatusReport

if TYPE_CHECKING:
    from persimmoncrank.coordination.configuration import ConfigKeeper
    from persimmoncrank.protocol import AgentVersion, EntryInfo
    from persimmoncrank.state import AgentView, AgentViews

log = logging.getLogger(__name__)


def build_status_report(
    *,
    keeper: ConfigKeeper,
    views: AgentViews,
    running_jobs: int,
    versions: dict[str, AgentVersion],
) -> StatusReport:
    """Build a report from an entry's configuration, its agent views and the agents' versions."""
    held = keeper.snapshot
    is_accepted = keeper.accepted_version >= held.version
    return StatusReport(
        entry=keeper.incarnation,
        version=held.version,
        accepted_version=keeper.accepted_version,
        age_ms=keeper.age_ms(),
        waiting_for=() if is_accepted else keeper.missing_acknowledgements(),
        withdrawn_domains=held.withdrawn_domains,
        retired_backends=held.retired_backends,
        customers=tuple(c.customer for c in held.commitments if not c.is_ended),
        running_jobs=running_jobs,
        entries=tuple(_report_entry(entry, keeper) for entry in held.entries),
        agents=tuple(_report_agent(view, versions) for view in views.all()),
    )


def _report_entry(entry: EntryInfo, keeper: ConfigKeeper) -> EntryReport:
    version: int | None = None
    age_ms: int | None = None
    if entry.incarnation == keeper.incarnation:
        version, age_ms = keeper.snapshot.version, 0
    for peer in keeper.peer_versions:
        if peer.incarnation == entry.incarnation:
            version = peer.version
            age_ms = int((anyio.current_time() - peer.asked_at_s) * 1000)
    return EntryReport(
        incarnation=entry.incarnation, domain=entry.domain, version=version, age_ms=age_ms
    )


def _report_agent(view: AgentView, versions: dict[str, AgentVersion]) -> AgentReport:
    known = versions.get(view.info.incarnation)
    return AgentReport(
        incarnation=view.info.incarnation,
        backend=view.info.backend,
        domain=view.info.domain,
        status=view.status,
        slots=view.info.slots,
        outstanding=view.outstanding,
        version=None if known is None else known.version,
        heard_ms=None if known is None else known.heard_ms,
    )
