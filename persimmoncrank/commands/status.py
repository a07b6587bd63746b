"""The command ``status``."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from persimmoncrank.commands._api import call_api, format_answer

if TYPE_CHECKING:
    from result import Result

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusSettings:
    """The entry to call, and the output format."""

    entry_url: str
    is_json: bool = False


def status(settings: StatusSettings) -> Result[str, str]:
    """Return an entry's view of the system as text."""
    answer = call_api(settings.entry_url, "GET", "/v1/status")
    return format_answer(answer, describe_status, is_json=settings.is_json)


def describe_status(report: Any) -> list[str]:
    """Return a status report as readable lines."""
    age = (
        "not current"
        if report["age_ms"] is None
        else f"confirmed current {report['age_ms']} ms ago"
    )
    lines = [
        f"entry {report['entry']}",
        f"version {report['version']}, {age}; accepted version {report['accepted_version']}",
    ]
    if report["waiting_for"]:
        lines.append(f"acceptance waiting for: {', '.join(report['waiting_for'])}")
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
        return f"{entry['incarnation']} in {entry['domain']}: no report received yet"
    reported = f"version {entry['version']}, reported {entry['age_ms']} ms ago"
    return f"{entry['incarnation']} in {entry['domain']}: {reported}"


def _describe_agent(agent: Any) -> str:
    version_text = "version unknown"
    if agent["version"] is not None:
        version_text = f"version {agent['version']}, reported {agent['heard_ms']} ms ago"
    return (
        f"{agent['incarnation']} in {agent['domain']}: {agent['status']},"
        f" backend server {agent['backend']}, {agent['slots']} slots, {version_text}"
    )
