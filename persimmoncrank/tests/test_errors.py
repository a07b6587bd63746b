"""Tests of the error kinds and their HTTP responses."""

from __future__ import annotations

import pytest

from persimmoncrank.protocol import ANSWERS, ErrorKind, ServiceError, refusal


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_an_answer(kind: ErrorKind) -> None:
    assert 400 <= ANSWERS[kind].http_status <= 599


def test_only_refusals_claim_not_run_by_default() -> None:
    assert not ServiceError(kind=ErrorKind.INTERNAL, message="").not_run
    assert refusal(ErrorKind.OVERLOADED, "").not_run
