"""Tests of the format of log lines."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec
import pytest

from persimmoncrank.commands._logs import JsonFormatter, split_fields

if TYPE_CHECKING:
    from typing import Any


@pytest.mark.parametrize(
    ("text", "sentence", "fields"),
    [
        ("job placed", "job placed", {}),
        (
            "job placed waiting=0 batches=a:1,b:2",
            "job placed",
            {"waiting": "0", "batches": "a:1,b:2"},
        ),
        (
            "sync failed cause=no answer within 1 s",
            "sync failed",
            {"cause": "no answer within 1 s"},
        ),
        ("x cause= n=1", "x", {"cause": "", "n": "1"}),
    ],
)
def test_fields_are_split_from_the_sentence(
    text: str, sentence: str, fields: dict[str, Any]
) -> None:
    assert split_fields(text) == (sentence, fields)


def test_json_line_contains_part_and_fields() -> None:
    record = logging.LogRecord(
        "n", logging.INFO, "p", 1, "placement: job placed waiting=%d", (3,), None
    )
    line = msgspec.json.decode(JsonFormatter().format(record))
    assert (line["part"], line["message"], line["waiting"]) == ("placement", "job placed", "3")
