"""The commands of the group ``bench``."""

from __future__ import annotations

import logging
from dataclasses import fields, replace
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from persimmoncrank.bench import CHOICES, POLICIES, run_live, run_policy, run_worker_policy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmoncrank.bench import (
        LiveReport,
        LiveSettings,
        PolicyReport,
        PolicySettings,
        WorkerPolicyReport,
        WorkerPolicySettings,
    )

log = logging.getLogger(__name__)

MIB = 1024 * 1024


def live(settings: LiveSettings, *, is_json: bool) -> Result[str, str]:
    """Run real processes on loopback and return a report of their resource usage."""
    ran = run_live(settings)
    if ran.is_err():
        return Err(ran.unwrap_err())
    report = ran.unwrap()
    if is_json:
        return Ok(msgspec.json.format(msgspec.json.encode(report)).decode())
    return Ok("\n".join(describe_live(report)))


def policy(settings: PolicySettings, *, with_baselines: bool, is_json: bool) -> str:
    """Simulate a workload in virtual time under one policy, or under all policies."""
    names = list(POLICIES) if with_baselines else [settings.policy]
    reports = [run_policy(replace(settings, policy=name)) for name in names]
    if is_json:
        return msgspec.json.format(msgspec.json.encode(reports)).decode()
    return "\n".join(describe_policies(reports))


def workers(settings: WorkerPolicySettings, *, with_baselines: bool, is_json: bool) -> str:
    """Simulate a deployment of workers in virtual time, optionally with the baselines."""
    names = list(CHOICES) if with_baselines else [settings.choice]
    reports = [run_worker_policy(replace(settings, choice=name)) for name in names]
    if is_json:
        return msgspec.json.format(msgspec.json.encode(reports)).decode()
    return "\n".join(describe_policies(reports))


def describe_policies(reports: Sequence[PolicyReport | WorkerPolicyReport]) -> list[str]:
    """Return policy reports as a readable table with one column per policy."""
    lines = []
    for field in fields(reports[0]):
        values = [getattr(report, field.name) for report in reports]
        lines.append(f"{field.name:<30}" + "".join(f"{_show(value):>21}" for value in values))
    return lines


def _show(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def describe_live(report: LiveReport) -> list[str]:
    """Return a live report as a readable table."""
    lines = [f"{'phase':<6} {'role':<10} {'processes':>9} {'cpu of a core':>14} {'memory MiB':>11}"]
    phases = {"idle": report.idle, "load": report.load_phase}
    for name, phase in phases.items():
        if phase is None:
            continue
        for role, cost in phase.roles.items():
            memory_mib = cost.max_memory_bytes / MIB
            lines.append(
                f"{name:<6} {role:<10} {cost.processes:>9} {cost.cpu_share:>13.2%}"
                f" {memory_mib:>11.1f}"
            )
    lines.append(f"control bytes/s for each agent: {report.idle_bytes_per_s_per_agent:.0f}")
    if report.load is not None:
        load = report.load
        lines.append(
            f"jobs complete {load.jobs_complete}, failed {load.jobs_failed};"
            f" tasks/s {load.tasks_per_s:.0f}"
        )
        lines.append(f"latency p50 {load.latency_p50_ms:.1f} ms, p99 {load.latency_p99_ms:.1f} ms")
        lines.append(
            f"cpu for each task: entry {load.entry_cpu_us_per_task:.0f} us,"
            f" agent {load.agent_cpu_us_per_task:.0f} us"
        )
    return lines
