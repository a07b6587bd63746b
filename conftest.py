"""Lets a test run pass over the tests that are listed as failing in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def known_red_tests() -> list[str]:
    """Return the ids of the listed tests; each entry starts with ``test: `` and an id."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("test: ") for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; one that passes has to leave the list."""
    known_red = set(known_red_tests())
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for test in known_red_tests():
        terminalreporter.write_line(f"known red: {test}")
