"""The command line: groups, options and their help."""

from __future__ import annotations

import logging
import sys
from pathlib import Path
from typing import Any

import click

from persimmoncrank import __version__

log = logging.getLogger(__name__)

EXIT_FAILED = 1
EXIT_USAGE = 2

HELP_MAIN = "A dispatcher for sub-second tasks."
HELP_ENTRY = """Run an entry: it serves callers and operators, and places their tasks.

Example: persimmoncrank entry entry.toml
"""
HELP_AGENT = """Run an agent beside its backend server: it starts each task at most once.

Example: persimmoncrank agent agent.toml
"""
HELP_CHECK = """Check a settings file and report every fault in it.

Example: persimmoncrank check-config entry entry.toml
"""
HELP_SUBMIT = """Submit a job file and print the whole answer.

Example: persimmoncrank submit --entry http://127.0.0.1:8080 job.json
"""
HELP_DEMO = """Run the whole system in one process and submit the example jobs.

Example: persimmoncrank demo
"""
HELP_OPT_ENTRY = "The URL of an entry, or of the balancer before the entries."
HELP_OPT_KEY = "The caller's own idempotency key."
HELP_OPT_JSON = "Print JSON."
HELP_OPT_VERBOSE = "Show the log lines."

SETTINGS_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
entry_option = click.option(
    "--entry",
    "entry_url",
    default="http://127.0.0.1:8080",
    show_default=True,
    envvar="PERSIMMONCRANK_ENTRY",
    help=HELP_OPT_ENTRY,
)
json_option = click.option("--json", "is_json", is_flag=True, help=HELP_OPT_JSON)


def fail(message: str, code: int = EXIT_FAILED) -> None:
    """End with one line on standard error."""
    click.echo(f"persimmoncrank: {message}", err=True)
    sys.exit(code)


def _settings(path: Path, schema: type[Any]) -> Any:
    """Load settings, or end after naming every fault."""
    from persimmoncrank.settings import load_settings

    loaded = load_settings(path, schema)
    if loaded.is_err():
        for fault in loaded.unwrap_err():
            click.echo(f"{path}: {fault}", err=True)
        sys.exit(EXIT_USAGE)
    for warning in loaded.unwrap().warnings:
        click.echo(f"{path}: warning: {warning}", err=True)
    return loaded.unwrap().settings


@click.group(help=HELP_MAIN)
@click.version_option(__version__, prog_name="persimmoncrank")
def cli() -> None:
    """Run one of the commands."""


@cli.command(help=HELP_ENTRY)
@click.argument("settings_file", type=SETTINGS_FILE)
def entry(settings_file: Path) -> None:
    """Run an entry."""
    from persimmoncrank.settings import EntrySettings

    settings = _settings(settings_file, EntrySettings)
    from persimmoncrank.commands import entry as command

    command.entry(settings)


@cli.command(help=HELP_AGENT)
@click.argument("settings_file", type=SETTINGS_FILE)
def agent(settings_file: Path) -> None:
    """Run an agent."""
    from persimmoncrank.settings import AgentSettings

    settings = _settings(settings_file, AgentSettings)
    from persimmoncrank.commands import agent as command

    command.agent(settings)


@cli.command("check-config", help=HELP_CHECK)
@click.argument("role", type=click.Choice(["entry", "agent"]))
@click.argument("settings_file", type=SETTINGS_FILE)
def check_config(role: str, settings_file: Path) -> None:
    """Check a settings file."""
    from persimmoncrank.settings import AgentSettings, EntrySettings

    _settings(settings_file, EntrySettings if role == "entry" else AgentSettings)
    click.echo(f"{settings_file}: ok")


@cli.command(help=HELP_SUBMIT)
@click.argument("job_file", type=SETTINGS_FILE)
@entry_option
@click.option("--key", help=HELP_OPT_KEY)
@json_option
def submit(job_file: Path, entry_url: str, key: str | None, is_json: bool) -> None:
    """Submit a job."""
    from persimmoncrank.commands import submit as command

    settings = command.SubmitSettings(
        entry_url=entry_url, job_file=job_file, key=key, is_json=is_json
    )
    _print(command.submit(settings))


@cli.command(help=HELP_DEMO)
@click.option("-v", "--verbose", "is_verbose", is_flag=True, help=HELP_OPT_VERBOSE)
def demo(is_verbose: bool) -> None:
    """Run the demo."""
    from persimmoncrank.commands import demo as command

    outcome = command.demo(command.DemoSettings(is_verbose=is_verbose))
    if outcome.is_err():
        fail(outcome.unwrap_err())


def _print(outcome: Any) -> None:
    """Print a command's text, or end with its error in one line."""
    if outcome.is_err():
        fail(outcome.unwrap_err())
    click.echo(outcome.unwrap())
