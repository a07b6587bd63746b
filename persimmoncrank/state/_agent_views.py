"""An entry's view of the agents: membership, load and health."""

from __future__ import annotations

import logging
import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmoncrank.protocol import AgentEntry, AgentInfo, AgentLoad, AgentStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

FAILURES_TO_QUARANTINE = 3
FIRST_QUARANTINE_S = 1.0
LONGEST_QUARANTINE_S = 30.0


@dataclass(kw_only=True, slots=True)
class AgentView:
    """One agent as an entry sees it.

    ``reports`` maps each assigned entry of the agent (an entry that it sends heartbeats to) to the
    status that the assigned entry reports. ``outstanding`` counts the tasks that this entry has
    sent to the agent and that have no outcome yet; ``outstanding_ms`` is the sum of their expected
    service times. ``other_tasks`` estimates the number of tasks from other entries, from the load
    that the agent last reported.
    """

    info: AgentInfo
    reports: dict[str, AgentStatus] = field(default_factory=dict)
    last_heartbeat_at_s: float = 0.0
    version: int = 0
    position: int = 0
    outstanding: int = 0
    outstanding_ms: float = 0.0
    other_tasks: int = 0
    failures_in_row: int = 0
    quarantine_s: float = 0.0
    quarantined_until_s: float = 0.0

    @property
    def status(self) -> AgentStatus:
        """The combined status of all reports."""
        return combine_statuses(self.reports.values())

    def update_load(self, load: AgentLoad) -> None:
        """Update the estimate of other entries' tasks from a reported load."""
        self.other_tasks = max(0, load.queued + load.running - self.outstanding)

    def record_success(self) -> None:
        """Reset the failure count and end the quarantine."""
        self.failures_in_row = 0
        self.quarantine_s = 0.0
        self.quarantined_until_s = 0.0

    def record_failure(self, *, now_s: float) -> bool:
        """Count a failed task; return True if the agent is quarantined as a result."""
        self.failures_in_row += 1
        if self.failures_in_row < FAILURES_TO_QUARANTINE or now_s < self.quarantined_until_s:
            return False
        doubled_s = max(self.quarantine_s * 2, FIRST_QUARANTINE_S)
        self.quarantine_s = min(doubled_s, LONGEST_QUARANTINE_S)
        self.quarantined_until_s = now_s + self.quarantine_s
        return True

    def pause_until(self, until_s: float) -> None:
        """Send the agent no tasks before ``until_s``."""
        self.quarantined_until_s = max(self.quarantined_until_s, until_s)

    def is_probing(self) -> bool:
        """Return whether the agent was quarantined and no task has succeeded since."""
        return self.quarantine_s > 0.0


def combine_statuses(reports: Iterable[AgentStatus]) -> AgentStatus:
    """Return the combined status of the reports of several assigned entries.

    An agent is suspect only if no assigned entry reports it as live, so a broken connection to one
    of them does not make it suspect. Leaving is final and takes precedence over live.
    """
    statuses = set(reports)
    if not statuses or statuses == {AgentStatus.GONE}:
        return AgentStatus.GONE
    for status in (AgentStatus.LEAVING, AgentStatus.LIVE):
        if status in statuses:
            return status
    return AgentStatus.SUSPECT


class AgentViews:
    """All agents known to an entry, with a change log of those that send it heartbeats."""

    def __init__(self, *, self_incarnation: str) -> None:
        """Create an empty set of views for the entry with that incarnation."""
        self._self_incarnation = self_incarnation
        self._views: dict[str, AgentView] = {}
        self._position = 0
        self._digests: dict[str, int] = {}
        self._live: tuple[AgentView, ...] | None = None

    @property
    def position(self) -> int:
        """The position of the latest change among this entry's own reports."""
        return self._position

    def all(self) -> list[AgentView]:
        """Return every known agent."""
        return list(self._views.values())

    def live(self) -> tuple[AgentView, ...]:
        """Return the agents that may receive new work, cached until a report changes."""
        if self._live is None:
            views = self._views.values()
            self._live = tuple(view for view in views if view.status == AgentStatus.LIVE)
        return self._live

    def get(self, incarnation: str) -> AgentView | None:
        """Return the view of one agent."""
        return self._views.get(incarnation)

    def record_heartbeat(
        self, info: AgentInfo, status: AgentStatus, *, now_s: float, version: int = 0
    ) -> bool:
        """Record a heartbeat that this entry received; return True if its report changed."""
        view = self._views.setdefault(info.incarnation, AgentView(info=info))
        view.last_heartbeat_at_s = now_s
        view.version = version
        return self.report(view, status)

    def report(self, view: AgentView, status: AgentStatus) -> bool:
        """Set this entry's own report on an agent; return True if it changed."""
        old = view.reports.get(self._self_incarnation)
        is_final = old == AgentStatus.LEAVING and status != AgentStatus.GONE
        if old == status or is_final:
            return False
        self._set_report(view, self._self_incarnation, status)
        self._position += 1
        view.position = self._position
        return True

    def apply_reports(
        self, reporter: str, agents: tuple[AgentEntry, ...], *, is_full: bool
    ) -> None:
        """Apply a peer's reports on its agents; a full list replaces its earlier reports."""
        if is_full:
            self.drop_reports(reporter)
        for agent in agents:
            view = self._views.setdefault(agent.info.incarnation, AgentView(info=agent.info))
            self._set_report(view, reporter, agent.status)

    def drop_reports(self, reporter: str) -> None:
        """Remove all reports of a peer."""
        for view in self._views.values():
            view.reports.pop(reporter, None)
        self._digests.pop(reporter, None)
        self._live = None

    def _set_report(self, view: AgentView, reporter: str, status: AgentStatus) -> None:
        """Set a report and update the digest of the entry that made it."""
        self._live = None
        incarnation = view.info.incarnation
        old = _report_hash(incarnation, view.reports.get(reporter))
        view.reports[reporter] = status
        new = _report_hash(incarnation, status)
        self._digests[reporter] = self._digests.get(reporter, 0) ^ old ^ new

    def changed_since(self, since: int) -> tuple[AgentEntry, ...]:
        """Return the agents on which this entry's own report changed after a position."""
        return tuple(
            AgentEntry(info=view.info, status=view.reports[self._self_incarnation])
            for view in self._views.values()
            if view.position > since and self._self_incarnation in view.reports
        )

    def digest(self, reporter: str) -> int:
        """Return a digest of one entry's reports on agents that are not gone."""
        return self._digests.get(reporter, 0)

    def remove(self, incarnation: str) -> None:
        """Remove an agent."""
        self._views.pop(incarnation, None)
        self._live = None


def _report_hash(incarnation: str, status: AgentStatus | None) -> int:
    """Return a report's contribution to a digest; 0 for agents that are gone or unknown."""
    if status is None or status == AgentStatus.GONE:
        return 0
    return zlib.crc32(f"{incarnation}={status}".encode())
