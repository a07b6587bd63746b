"""Tests of the circuit breaker."""

from __future__ import annotations

import pytest

from persimmoncrank.state import Breaker


def open_breaker(now_s: float = 0.0) -> Breaker:
    """Return a breaker that two failures have opened for 5 s."""
    breaker = Breaker()
    assert not breaker.record_failure(now_s=now_s)
    assert breaker.record_failure(now_s=now_s)
    return breaker


@pytest.mark.parametrize(("now_s", "expected"), [(0.1, False), (4.9, False), (5.0, True)])
def test_open_breaker_lets_a_probe_through_after_its_period(now_s: float, expected: bool) -> None:
    assert open_breaker().try_pass(now_s=now_s) is expected


def test_only_one_probe_at_a_time() -> None:
    breaker = open_breaker()
    assert breaker.try_pass(now_s=5.0)
    assert not breaker.try_pass(now_s=5.1)


def test_failed_probe_doubles_the_period_and_late_failures_do_not() -> None:
    breaker = open_breaker()
    breaker.record_failure(now_s=0.2)
    assert breaker.try_pass(now_s=5.0)
    breaker.record_failure(now_s=5.5)
    breaker.record_failure(now_s=5.6)
    assert not breaker.try_pass(now_s=15.4)
    assert breaker.try_pass(now_s=15.5)


def test_success_closes() -> None:
    breaker = open_breaker()
    breaker.record_success()
    assert not breaker.is_open
    assert breaker.try_pass(now_s=0.1)
