"""Tests of the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import pytest
from click.testing import CliRunner

from persimmoncrank import __version__
from persimmoncrank.cli import cli

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

UNREACHABLE_URL = "http://127.0.0.1:9"


def all_commands(
    group: click.Group, path: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], click.Command]]:
    """Yield the path and the command of each command, with subcommands."""
    for name, command in group.commands.items():
        yield (*path, name), command
        if isinstance(command, click.Group):
            yield from all_commands(command, (*path, name))


@pytest.mark.parametrize("path", [path for path, _ in all_commands(cli)], ids=" ".join)
def test_help_has_an_example(path: tuple[str, ...]) -> None:
    result = CliRunner().invoke(cli, [*path, "--help"])
    assert result.exit_code == 0
    assert f"Example: persimmoncrank {path[0]}" in " ".join(result.output.split())


def test_version() -> None:
    result = CliRunner().invoke(cli, ["--version"])
    assert __version__ in result.output


@pytest.mark.parametrize(
    "arguments",
    [
        ["status", "--entry", UNREACHABLE_URL],
        ["plan", "show", "x", "--entry", UNREACHABLE_URL],
        ["plan", "confirm", "x", "--entry", UNREACHABLE_URL],
        ["plan", "withdraw-domain", "monza", "--entry", UNREACHABLE_URL],
    ],
)
def test_failure_prints_one_line_and_exits_with_1(arguments: list[str]) -> None:
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 1
    assert result.stderr.startswith("persimmoncrank: entry http://127.0.0.1:9 does not answer")
    assert len(result.stderr.splitlines()) == 1


def test_usage_error_exits_with_2() -> None:
    assert CliRunner().invoke(cli, ["fly"]).exit_code == 2


@pytest.mark.parametrize(
    ("text", "exit_code", "shown"),
    [
        ('name = "e"\ndomain = "m"\nplatform_url = "http://h:1"\n', 0, "ok"),
        ('name = "e"\n', 2, "platform_url: is required"),
    ],
)
def test_check_config(text: str, exit_code: int, shown: str, tmp_path: Path) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    result = CliRunner().invoke(cli, ["check-config", "entry", str(path)])
    assert result.exit_code == exit_code
    assert shown in result.output


def test_demo_runs_both_example_jobs() -> None:
    result = CliRunner().invoke(cli, ["demo"])
    assert result.exit_code == 0, result.output
    assert result.output.count("complete") == 2
    assert "tasks started twice: 0" in result.output
