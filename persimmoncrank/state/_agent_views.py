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

    ``reports`` holds what each of the agent's home entries says of it. ``outstanding`` counts this
    entry's own unsettled tasks there and ``outstanding_ms`` adds up their expected service times;
    ``others`` estimates the tasks of other entries from the last
    load that the agent reported.
    """

    info: AgentInfo
    reports: dict[str, AgentStatus] = field(default_factory=dict)
    heard_at_s: float = 0.0
    version: int = 0
    position: int = 0
    outstanding: int = 0
    outstanding_ms: float = 0.0
    others: int = 0
    failures_in_row: int = 0
    quarantine_s: float = 0.0
    quarantined_until_s: float = 0.0

    @property
    def status(self) -> AgentStatus:
        """The status that all reports together give."""
        return combine_statuses(self.reports.values())

    def note_load(self, load: AgentLoad) -> None:
        """Take over the load that the agent reported."""
        self.others = max(0, load.queued + load.running - self.outstanding)

    def note_success(self) -> None:
        """Note that a task succeeded: the quarantine ends."""
        self.failures_in_row = 0
        self.quarantine_s = 0.0
        self.quarantined_until_s = 0.0

    def note_failure(self, *, now_s: float) -> bool:
        """Note that a task failed; return True if the agent is quarantined by this."""
        self.failures_in_row += 1
        if self.failures_in_row < FAILURES_TO_QUARANTINE or now_s < self.quarantined_until_s:
            return False
        doubled_s = max(self.quarantine_s * 2, FIRST_QUARANTINE_S)
        self.quarantine_s = min(doubled_s, LONGEST_QUARANTINE_S)
        self.quarantined_until_s = now_s + self.quarantine_s
        return True

    def pause(self, until_s: float) -> None:
        """Send the agent nothing until an instant."""
        self.quarantined_until_s = max(self.quarantined_until_s, until_s)

    def is_probing(self) -> bool:
        """Tell whether a quarantine was imposed and no task has succeeded since."""
        return self.quarantine_s > 0.0


def combine_statuses(reports: Iterable[AgentStatus]) -> AgentStatus:
    """Return the status that the reports of several home entries give together.

    A silent connection to one home entry does not make an agent suspect, and leaving is final.
    """
    statuses = set(reports)
    if not statuses or statuses == {AgentStatus.GONE}:
        return AgentStatus.GONE
    for status in (AgentStatus.LEAVING, AgentStatus.LIVE):
        if status in statuses:
            return status
    return AgentStatus.SUSPECT


class AgentViews:
    """All agents known to an entry, and a change log of those it is home to."""

    def __init__(self, *, self_incarnation: str) -> None:
        """Create an empty view for the entry of that incarnation."""
        self._self = self_incarnation
        self._views: dict[str, AgentView] = {}
        self._position = 0
        self._digests: dict[str, int] = {}
        self._live: tuple[AgentView, ...] | None = None

    @property
    def position(self) -> int:
        """The position of the newest change among the agents this entry is home to."""
        return self._position

    def all(self) -> list[AgentView]:
        """Return every known agent."""
        return list(self._views.values())

    def live(self) -> tuple[AgentView, ...]:
        """Return the agents that new work may be sent to; the same tuple until that changes."""
        if self._live is None:
            views = self._views.values()
            self._live = tuple(view for view in views if view.status == AgentStatus.LIVE)
        return self._live

    def get(self, incarnation: str) -> AgentView | None:
        """Return the view of one agent."""
        return self._views.get(incarnation)

    def hear(self, info: AgentInfo, status: AgentStatus, *, now_s: float, version: int = 0) -> bool:
        """Note a heartbeat that arrived here; return True if the own report changed."""
        view = self._views.setdefault(info.incarnation, AgentView(info=info))
        view.heard_at_s = now_s
        view.version = version
        return self.report(view, status)

    def report(self, view: AgentView, status: AgentStatus) -> bool:
        """Change this entry's own report on an agent; return True if it changed."""
        old = view.reports.get(self._self)
        is_final = old == AgentStatus.LEAVING and status != AgentStatus.GONE
        if old == status or is_final:
            return False
        self._set_report(view, self._self, status)
        self._position += 1
        view.position = self._position
        return True

    def take_reports(self, home: str, agents: tuple[AgentEntry, ...], *, is_full: bool) -> None:
        """Take over what a peer reports on the agents it is home to."""
        if is_full:
            self.drop_reports(home)
        for agent in agents:
            view = self._views.setdefault(agent.info.incarnation, AgentView(info=agent.info))
            self._set_report(view, home, agent.status)

    def drop_reports(self, home: str) -> None:
        """Drop all that a peer has reported."""
        for view in self._views.values():
            view.reports.pop(home, None)
        self._digests.pop(home, None)
        self._live = None

    def _set_report(self, view: AgentView, home: str, status: AgentStatus) -> None:
        """Set a report and keep the digest of its home entry up to date."""
        self._live = None
        incarnation = view.info.incarnation
        old = _report_hash(incarnation, view.reports.get(home))
        view.reports[home] = status
        new = _report_hash(incarnation, status)
        self._digests[home] = self._digests.get(home, 0) ^ old ^ new

    def changed_since(self, since: int) -> tuple[AgentEntry, ...]:
        """Return the agents this entry is home to whose report changed after a position."""
        return tuple(
            AgentEntry(info=view.info, status=view.reports[self._self])
            for view in self._views.values()
            if view.position > since and self._self in view.reports
        )

    def digest(self, home: str) -> int:
        """Return a digest over the reports of one home entry on agents that are not gone."""
        return self._digests.get(home, 0)

    def forget(self, incarnation: str) -> None:
        """Drop an agent that is gone."""
        self._views.pop(incarnation, None)
        self._live = None


def _report_hash(incarnation: str, status: AgentStatus | None) -> int:
    """Return a report's part of a digest; agents that are gone or unknown have none."""
    if status is None or status == AgentStatus.GONE:
        return 0
    return zlib.crc32(f"{incarnation}={status}".encode())
