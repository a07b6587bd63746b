"""The command ``status``."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from persimmoncrank.commands._api import call_api, present

if TYPE_CHECKING:
    from result import Result

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusSettings:
    """Which entry to ask, and how to print its answer."""

    entry_url: str
    is_json: bool = False


def status(settings: StatusSettings) -> Result[str, str]:
    """Return what an entry knows of the system, as text."""
    answer = call_api(settings.entry_url, "GET", "/v1/status")
    return present(answer, describe_status, is_json=settings.is_json)


def describe_status(report: Any) -> list[str]:
    """Return a status report in readable lines."""
    age = "not current" if report["age_ms"] is None else f"proved {report['age_ms']} ms ago"
    lines = [
        f"entry {report['entry']}",
        f"version {report['version']}, {age}; accepted version {report['accepted_version']}",
    ]
    if report["waiting_for"]:
        lines.append(f"acceptance waits for: {', '.join(report['waiting_for'])}")
    lines.append(f"withdrawn failure domains: {_names(report['withdrawn_domains'])}")
    lines.append(f"retired backend servers: {_names(report['retired_backends'])}")
    lines.append(f"customers: {_names(report['customers'])}")
    lines.append(f"running jobs: {report['running_jobs']}")
    lines.append("entries:")
    lines += [f"  {_describe_entry(entry)}" for entry in report["entries"]]
    lines.append("agents:")
    lines += [f"  {_describe_agent(agent)}" for agent in report["agents"]]
    return lines


def _names(names: list[str]) -> str:
    return ", ".join(names) or "none"


def _describe_entry(entry: Any) -> str:
    if entry["version"] is None:
        return f"{entry['incarnation']} in {entry['domain']}: not heard yet"
    heard = f"version {entry['version']}, heard {entry['age_ms']} ms ago"
    return f"{entry['incarnation']} in {entry['domain']}: {heard}"


def _describe_agent(agent: Any) -> str:
    held = "version not heard"
    if agent["version"] is not None:
        held = f"version {agent['version']}, heard {agent['heard_ms']} ms ago"
    return (
        f"{agent['incarnation']} in {agent['domain']}: {agent['status']},"
        f" backend server {agent['backend']}, {agent['slots']} slots, {held}"
    )
