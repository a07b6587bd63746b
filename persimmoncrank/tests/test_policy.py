"""Tests of policy runs: they are reproducible, and the guarantees to callers hold in them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from persimmoncrank.bench import (
    FAULTS,
    POLICIES,
    PROFILES,
    PolicyReport,
    PolicySettings,
    run_policy,
)
from persimmoncrank.bench._workload import JobPlan, clairvoyant_responses_s, min_response_s

SHORT = PolicySettings(seconds=9.0, tasks=12, load=0.5)


def check_invariants(report: PolicyReport) -> None:
    """Check the counts of violations, which must be zero in every run."""
    assert report.duplicate_starts == 0
    assert report.late_starts == 0
    assert report.partial_answers == 0
    assert report.false_not_run == 0


def test_same_seed_gives_the_same_report() -> None:
    assert run_policy(SHORT) == run_policy(SHORT)


def test_profiles_give_different_response_ratios() -> None:
    reports = [run_policy(replace(SHORT, profile=profile)) for profile in PROFILES]
    assert len({report.response_ratio_p50 for report in reports}) == len(PROFILES)


@pytest.mark.parametrize("fault", FAULTS)
def test_invariants_hold_under_each_fault(fault: str) -> None:
    check_invariants(run_policy(replace(SHORT, faults=(fault,))))


@pytest.mark.parametrize("policy", [name for name in POLICIES if name != "shortest-completion"])
def test_product_policy_beats_baseline(policy: str) -> None:
    settings = replace(SHORT, seconds=20.0, load=0.6)
    product = run_policy(settings)
    baseline = run_policy(replace(settings, policy=policy))
    check_invariants(baseline)
    assert product.response_ratio_p50 < baseline.response_ratio_p50


@pytest.mark.parametrize(
    ("work_ms", "slowness", "bound_s"),
    [
        ((1_000.0,), (1.0, 2.0), 1.0),
        ((1_000.0,), (2.0, 4.0), 2.0),
        ((1_000.0,) * 24, (1.0, 2.0), 2.0),
    ],
)
def test_ideal_responses_respect_the_lower_bound(
    work_ms: tuple[float, ...], slowness: tuple[float, ...], bound_s: float
) -> None:
    plan = JobPlan(at_s=0.0, kinds=("k",) * len(work_ms), work_ms=work_ms)
    lower_bound_s = min_response_s(plan, slowness)
    assert lower_bound_s == pytest.approx(bound_s + 0.001)
    assert clairvoyant_responses_s([plan], slowness)[0] >= lower_bound_s - 1e-9
