"""Tests of the retry budget."""

from __future__ import annotations

import pytest

from persimmoncrank.state import RetryBudget


@pytest.mark.parametrize(("placed", "retries"), [(0, 0), (9, 0), (10, 1), (55, 5), (10_000, 20)])
def test_retries_are_a_tenth_of_the_tasks(placed: int, retries: int) -> None:
    budget = RetryBudget()
    while budget.spend():
        pass
    budget.earn(placed)
    spent = 0
    while budget.spend():
        spent += 1
    assert spent == retries
