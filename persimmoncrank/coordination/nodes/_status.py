"""The status report of an entry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import AgentReport, EntryReport, StatusReport

if TYPE_CHECKING:
    from persimmoncrank.coordination.configuration import ConfigReplica
    from persimmoncrank.protocol import AgentVersion, EntryInfo
    from persimmoncrank.state import AgentView, AgentViews

log = logging.getLogger(__name__)


def build_status_report(
    *,
    config_replica: ConfigReplica,
    views: AgentViews,
    running_jobs: int,
    versions: dict[str, AgentVersion],
) -> StatusReport:
    """Build a report from an entry's configuration, its agent views and the agents' versions."""
    held = config_replica.snapshot
    is_accepted = config_replica.accepted_version >= held.version
    return StatusReport(
        entry=config_replica.incarnation,
        version=held.version,
        accepted_version=config_replica.accepted_version,
        age_ms=config_replica.age_ms(),
        waiting_for=() if is_accepted else config_replica.missing_acknowledgements(),
        withdrawn_domains=held.withdrawn_domains,
        retired_backends=held.retired_backends,
        customers=tuple(c.customer for c in held.commitments if not c.is_ended),
        running_jobs=running_jobs,
        entries=tuple(_report_entry(entry, config_replica) for entry in held.entries),
        agents=tuple(_report_agent(view, versions) for view in views.all()),
    )


def _report_entry(entry: EntryInfo, config_replica: ConfigReplica) -> EntryReport:
    version: int | None = None
    age_ms: int | None = None
    if entry.incarnation == config_replica.incarnation:
        version, age_ms = config_replica.snapshot.version, 0
    for peer in config_replica.peer_versions:
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
