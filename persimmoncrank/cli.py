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
ROLES = ("entry", "agent", "dispatch-entry", "dispatch-agent")
EXIT_USAGE = 2

HELP_MAIN = "A dispatcher for sub-second tasks."
HELP_ENTRY = """Run an entry, which serves callers and operators and places their tasks.

Example: persimmoncrank entry entry.toml
"""
HELP_AGENT = """Run an agent next to its backend server. It starts each task at most once.

Example: persimmoncrank agent agent.toml
"""
HELP_CHECK = """Check a settings file and report all errors in it.

Example: persimmoncrank check-config entry entry.toml
"""
HELP_SUBMIT = """Submit a job file and print the complete answer.

Example: persimmoncrank submit --entry http://127.0.0.1:8080 job.json
"""
HELP_STATUS = """Show an entry's view of the system: versions, entries and agents.

Example: persimmoncrank status --entry http://127.0.0.1:8080
"""
HELP_PLAN = """Propose, show and confirm plans. Nothing changes until a plan is confirmed.

Example: persimmoncrank plan withdraw-domain monza
"""
HELP_PLAN_SHOW = """Show a plan and its state.

Example: persimmoncrank plan show plan-72a72ef213
"""
HELP_PLAN_CONFIRM = """Apply a plan. Confirming it again changes nothing.

Example: persimmoncrank plan confirm plan-72a72ef213
"""
HELP_ADD_CUSTOMER = """Add or change a customer's commitment.

Example: persimmoncrank plan add-customer passeggiate --kind walker-check-in --domain monza
"""
HELP_SET_LIMIT = """Change a limit.

Example: persimmoncrank plan set-limit max_tasks_per_job 500
"""
HELP_TARGETS = {
    "end-customer": ("CUSTOMER", "End a customer's commitment.", "passeggiate"),
    "withdraw-domain": (
        "DOMAIN",
        "Withdraw a failure domain, so that no task starts there.",
        "monza",
    ),
    "return-domain": ("DOMAIN", "Allow tasks to start in a failure domain again.", "monza"),
    "retire-backend": ("BACKEND", "Send no new tasks to a backend server.", "backend-3"),
    "return-backend": ("BACKEND", "Send tasks to a backend server again.", "backend-3"),
    "expel": (
        "ENTRIES",
        "Remove lost entries, separated by commas, so that none of their tasks start.",
        "entry-monza-1f2e3d4c",
    ),
}
HELP_OPT_KIND = "A task kind covered by the commitment; may be repeated."
HELP_OPT_DOMAIN = "A failure domain in which the tasks may run; may be repeated; default: any."
HELP_BENCH = """Run benchmarks of the system.

Example: persimmoncrank bench live --agents 10
"""
HELP_BENCH_LIVE = """Run real processes on loopback and report CPU, traffic and memory by role.

Example: persimmoncrank bench live --agents 50 --jobs-per-s 10 --json
"""
HELP_BENCH_POLICY = """Simulate a workload in virtual time and compare response times to the ideal.

Example: persimmoncrank bench policy --load 0.8 --faults withdraw --baselines
"""
HELP_BENCH_WORKERS = """Simulate a deployment of workers in virtual time and count the jobs on time.

Example: persimmoncrank bench workers --deployment chattahoochee --load 1.9 --baselines
"""
HELP_OPT_TRAFFIC = "The traffic as a multiple of normal traffic."
HELP_OPT_FAULTS = (
    "Faults to inject, separated by commas: withdraw, store-down, agent-dies, failing-backend,"
    " silent, pause."
)
HELP_OPT_BASELINES = "Also run the baselines."
HELP_OPT_LOAD = "The load as a fraction of the capacity."
HELP_OPT_LIGHT = "Additional agents that only send heartbeats."
HELP_OPT_JOBS_PER_S = "Jobs submitted per second; 0 measures control traffic only."
HELP_LEDGER = """Break down the time of each job, using the logs of entries and agents.

Example: persimmoncrank ledger entry-1.log agent-1.log agent-2.log
"""
HELP_OPT_JOB = "Show all log lines of this job instead."
HELP_DEMO = """Run a complete system in one process and submit the example jobs.

Example: persimmoncrank demo
"""
HELP_OPT_ENTRY = "The URL of an entry, or of the load balancer in front of the entries."
HELP_OPT_KEY = "An idempotency key chosen by the caller."
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
    """Exit with a one-line message on standard error."""
    click.echo(f"persimmoncrank: {message}", err=True)
    sys.exit(code)


def _load_settings_or_exit(path: Path, schema: type[Any]) -> Any:
    """Load settings, or print all errors and exit."""
    from persimmoncrank.settings import load_settings

    loaded = load_settings(path, schema)
    if loaded.is_err():
        for error in loaded.unwrap_err():
            click.echo(f"{path}: {error}", err=True)
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

    settings = _load_settings_or_exit(settings_file, EntrySettings)
    from persimmoncrank.commands import entry as command

    command.entry(settings)


@cli.command(help=HELP_AGENT)
@click.argument("settings_file", type=SETTINGS_FILE)
def agent(settings_file: Path) -> None:
    """Run an agent."""
    from persimmoncrank.settings import AgentSettings

    settings = _load_settings_or_exit(settings_file, AgentSettings)
    from persimmoncrank.commands import agent as command

    command.agent(settings)


@cli.command("check-config", help=HELP_CHECK)
@click.argument("role", type=click.Choice(ROLES))
@click.argument("settings_file", type=SETTINGS_FILE)
def check_config(role: str, settings_file: Path) -> None:
    """Check a settings file."""
    from persimmoncrank import settings

    schemas = (
        settings.EntrySettings,
        settings.AgentSettings,
        settings.DispatchEntrySettings,
        settings.DispatchAgentSettings,
    )
    _load_settings_or_exit(settings_file, dict(zip(ROLES, schemas, strict=True))[role])
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
    _print_result(command.submit(settings))


@cli.command(help=HELP_STATUS)
@entry_option
@json_option
def status(entry_url: str, is_json: bool) -> None:
    """Show the status reported by an entry."""
    from persimmoncrank.commands import status as command

    _print_result(command.status(command.StatusSettings(entry_url=entry_url, is_json=is_json)))


@cli.group(help=HELP_PLAN)
def plan() -> None:
    """Propose, show and confirm plans."""


@plan.command("show", help=HELP_PLAN_SHOW)
@click.argument("plan_id")
@entry_option
@json_option
def plan_show(plan_id: str, entry_url: str, is_json: bool) -> None:
    """Show a plan."""
    from persimmoncrank.commands import plan as command

    _print_result(command.show(command.PlanSettings(entry_url=entry_url, is_json=is_json), plan_id))


@plan.command("confirm", help=HELP_PLAN_CONFIRM)
@click.argument("plan_id")
@entry_option
@json_option
def plan_confirm(plan_id: str, entry_url: str, is_json: bool) -> None:
    """Confirm a plan."""
    from persimmoncrank.commands import plan as command

    _print_result(
        command.confirm(command.PlanSettings(entry_url=entry_url, is_json=is_json), plan_id)
    )


@plan.command("add-customer", help=HELP_ADD_CUSTOMER)
@click.argument("customer")
@click.option("--kind", "kinds", multiple=True, required=True, help=HELP_OPT_KIND)
@click.option("--domain", "domains", multiple=True, help=HELP_OPT_DOMAIN)
@entry_option
@json_option
def plan_add_customer(
    customer: str, kinds: tuple[str, ...], domains: tuple[str, ...], entry_url: str, is_json: bool
) -> None:
    """Propose a plan that adds or changes a customer's commitment."""
    _propose("add-customer", customer, entry_url, is_json, kinds=kinds, domains=domains)


@plan.command("set-limit", help=HELP_SET_LIMIT)
@click.argument("limit")
@click.argument("value", type=float)
@entry_option
@json_option
def plan_set_limit(limit: str, value: float, entry_url: str, is_json: bool) -> None:
    """Propose a plan that changes a limit."""
    _propose("set-limit", limit, entry_url, is_json, value=value)


def _add_target_command(name: str, metavar: str, help_text: str, example: str) -> None:
    """Add a command for an intent whose only argument is a target."""
    full_help = f"{help_text}\n\nExample: persimmoncrank plan {name} {example}"

    @plan.command(name, help=full_help)
    @click.argument("target", metavar=metavar)
    @entry_option
    @json_option
    def command(target: str, entry_url: str, is_json: bool) -> None:
        _propose(name, target, entry_url, is_json)


for _name, (_metavar, _help, _example) in HELP_TARGETS.items():
    _add_target_command(_name, _metavar, _help, _example)


def _propose(kind: str, target: str, entry_url: str, is_json: bool, **details: Any) -> None:
    from persimmoncrank.commands import plan as command
    from persimmoncrank.protocol import Intent, IntentKind

    settings = command.PlanSettings(entry_url=entry_url, is_json=is_json)
    _print_result(
        command.propose(settings, Intent(kind=IntentKind(kind), target=target, **details))
    )


@cli.group(help=HELP_BENCH)
def bench() -> None:
    """Run benchmarks."""


@bench.command("live", help=HELP_BENCH_LIVE)
@click.option("--entries", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--agents", default=10, show_default=True, type=click.IntRange(0, 200))
@click.option(
    "--light-agents",
    default=0,
    show_default=True,
    type=click.IntRange(0, 2_000),
    help=HELP_OPT_LIGHT,
)
@click.option("--slots", default=8, show_default=True, type=click.IntRange(1))
@click.option("--idle-s", default=10.0, show_default=True, type=click.FloatRange(1))
@click.option("--load-s", default=10.0, show_default=True, type=click.FloatRange(1))
@click.option(
    "--jobs-per-s",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0),
    help=HELP_OPT_JOBS_PER_S,
)
@click.option("--tasks", default=170, show_default=True, type=click.IntRange(1, 1_000))
@click.option("--work-ms", default=50, show_default=True, type=click.IntRange(0))
@json_option
def bench_live(is_json: bool, **options: Any) -> None:
    """Benchmark real processes."""
    from persimmoncrank.bench import LiveSettings
    from persimmoncrank.commands import bench as command

    _print_result(command.live(LiveSettings(**options), is_json=is_json))


@bench.command("policy", help=HELP_BENCH_POLICY)
@click.option("--profile", default="passeggiate", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--load", default=0.6, show_default=True, type=click.FloatRange(0.01, 5), help=HELP_OPT_LOAD
)
@click.option("--tasks", default=17, show_default=True, type=click.IntRange(1, 1_000))
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(1))
@click.option("--faults", default="", help=HELP_OPT_FAULTS)
@click.option("--baselines", is_flag=True, help=HELP_OPT_BASELINES)
@json_option
def bench_policy(is_json: bool, baselines: bool, faults: str, profile: str, **options: Any) -> None:
    """Benchmark placement policies in virtual time."""
    try:
        from persimmoncrank.bench import FAULTS, PROFILES, PolicySettings
    except ModuleNotFoundError as error:
        fail(f"no module {error.name!r}; install persimmoncrank[bench]", EXIT_USAGE)
    from persimmoncrank.commands import bench as command

    fault_names = tuple(name for name in faults.split(",") if name)
    unknown = [name for name in fault_names if name not in FAULTS]
    if unknown:
        fail(f"unknown fault {unknown[0]!r}; available: {', '.join(FAULTS)}", EXIT_USAGE)
    if profile not in PROFILES:
        fail(f"unknown profile {profile!r}; available: {', '.join(PROFILES)}", EXIT_USAGE)
    settings = PolicySettings(profile=profile, faults=fault_names, **options)
    click.echo(command.policy(settings, with_baselines=baselines, is_json=is_json))


@bench.command("workers", help=HELP_BENCH_WORKERS)
@click.option("--deployment", default="passeggiate", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--load", default=1.0, show_default=True, type=click.FloatRange(0.01, 5), help=HELP_OPT_TRAFFIC
)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(6))
@click.option("--baselines", is_flag=True, help=HELP_OPT_BASELINES)
@json_option
def bench_workers(is_json: bool, baselines: bool, deployment: str, **options: Any) -> None:
    """Benchmark the choice of workers in virtual time."""
    try:
        from persimmoncrank.bench import DEPLOYMENTS, WorkerPolicySettings
    except ModuleNotFoundError as error:
        fail(f"no module {error.name!r}; install persimmoncrank[bench]", EXIT_USAGE)
    from persimmoncrank.commands import bench as command

    if deployment not in DEPLOYMENTS:
        fail(f"unknown deployment {deployment!r}; available: {', '.join(DEPLOYMENTS)}", EXIT_USAGE)
    settings = WorkerPolicySettings(deployment=deployment, **options)
    click.echo(command.workers(settings, with_baselines=baselines, is_json=is_json))


@cli.command(help=HELP_LEDGER)
@click.argument(
    "paths",
    metavar="LOG...",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option("--job", default="", help=HELP_OPT_JOB)
@json_option
def ledger(paths: tuple[Path, ...], job: str, is_json: bool) -> None:
    """Break down the time of jobs."""
    from persimmoncrank.commands import ledger as command

    settings = command.LedgerSettings(paths=paths, job=job, is_json=is_json)
    _print_result(command.ledger(settings))


@cli.command(help=HELP_DEMO)
@click.option("-v", "--verbose", "is_verbose", is_flag=True, help=HELP_OPT_VERBOSE)
def demo(is_verbose: bool) -> None:
    """Run the demo."""
    from persimmoncrank.commands import demo as command

    outcome = command.demo(command.DemoSettings(is_verbose=is_verbose))
    if outcome.is_err():
        fail(outcome.unwrap_err())


def _print_result(outcome: Any) -> None:
    """Print a command's output, or exit with its error as one line."""
    if outcome.is_err():
        fail(outcome.unwrap_err())
    click.echo(outcome.unwrap())
