"""The settings schema of each role: types, defaults and validation."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

log = logging.getLogger(__name__)

_HOST = r"[0-9A-Za-z.\-]{1,253}"
_PORT = r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])"  # 1 to 65535
Address = Annotated[
    str,
    Meta(pattern=f"^{_HOST}:{_PORT}\\Z", description="an address as host:port"),
]
Url = Annotated[
    str, Meta(pattern=f"^http://{_HOST}(:{_PORT})?/?\\Z", description="a URL as http://host:port")
]
Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9_\-]{0,59}$",
        description="a name of letters, digits, - and _",
    ),
]
PositiveInt = Annotated[int, Meta(ge=1, description="a whole number of 1 or more")]
Port = Annotated[int, Meta(ge=1, le=65_535, description="a port from 1 to 65535")]
HeldTaskLimit = Annotated[int, Meta(ge=10_000, description="a whole number of 10000 or more")]
Seconds = Annotated[float, Meta(gt=0, description="a number of seconds above 0")]


class LogFormat(enum.StrEnum):
    """The format of log lines."""

    PLAIN = "plain"
    JSON = "json"


class LogLevel(enum.StrEnum):
    """The lowest severity of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """The settings of an entry."""

    name: Name
    domain: Name
    platform_url: Url
    region: Name = "region-1"
    http_address: Address = "127.0.0.1:8080"
    rpc_address: Address = "127.0.0.1:9080"
    max_body_bytes: PositiveInt = 8 * 1024 * 1024
    max_connections: PositiveInt = 2_000
    id_lifetime_s: Seconds = 120.0
    max_answer_bytes: PositiveInt = 32 * 1024 * 1024
    record_retention_s: Seconds = 240.0
    log_format: LogFormat = LogFormat.PLAIN
    log_level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentSettings:
    """The settings of an agent; ``seeds`` are addresses of entries or of their load balancer."""

    name: Name
    domain: Name
    backend: Name
    backend_url: Url
    kinds: Annotated[tuple[str, ...], Meta(min_length=1, description="a list of task kinds")]
    seeds: Annotated[tuple[Address, ...], Meta(min_length=1, description="a list of addresses")]
    rpc_address: Address = "127.0.0.1:9180"
    http_address: Address = "127.0.0.1:8180"
    slots: PositiveInt = 8
    processors: Annotated[float, Meta(gt=0, description="a number above 0")] = 16.0
    memory_bytes: PositiveInt = 32 * 1024**3
    max_backend_connections: PositiveInt = 60
    task_timeout_s: Seconds = 60.0
    max_queued: PositiveInt = 2_000
    max_result_bytes: PositiveInt = 32 * 1024 * 1024
    max_records: PositiveInt = 50_000
    record_retention_s: Seconds = 240.0
    log_format: LogFormat = LogFormat.PLAIN
    log_level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchSettings:
    """The settings shared by the two roles that dispatch to workers.

    ``seeds`` are addresses of entries, which serve their streams at ``seed_stream_port``. Leases
    last at most ``worker_lease_limit_s``, and expire before a caller sends its job again after
    ``resend_s``. ``grace_s`` limits the time from a stop signal to the exit.

    The servers of a process together keep at most ``max_connections`` connections, but not more
    than three fifths of its descriptors, and at most ``max_buffered_bytes`` of unfinished requests,
    but not more than a fifth of the machine's memory. A request's head is at most
    ``max_head_bytes`` long and arrives within ``head_timeout_s``; a body makes progress within
    ``body_timeout_s``, and an answer is read within ``answer_timeout_s``.
    """

    name: Name
    domain: Name
    control_address: Address
    store_address: Address
    metrics_address: Address
    seed_stream_port: Port
    seeds: tuple[Address, ...] = ()
    worker_lease_limit_s: Seconds = 1.0
    resend_s: Seconds = 1.3
    grace_s: Seconds = 6.0
    max_connections: PositiveInt = 800
    max_buffered_bytes: PositiveInt = 32 * 1024 * 1024
    max_head_bytes: PositiveInt = 65_536
    max_read_ahead_bytes: PositiveInt = 65_536
    head_timeout_s: Seconds = 15.0
    body_timeout_s: Seconds = 30.0
    answer_timeout_s: Seconds = 30.0
    log_format: LogFormat = LogFormat.JSON
    log_level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchEntrySettings(DispatchSettings):
    """The settings of an entry that dispatches to workers.

    Other entries get copies of the configuration at ``control_address``. Tasks take
    ``remote_data_factor`` times as long on a worker that is far from their data. The jobs that run
    at one time have at most ``max_held_tasks`` tasks; a single job may have 10,000.
    """

    front_address: Address
    ready_address: Address
    stream_address: Address
    remote_data_factor: Annotated[float, Meta(ge=1, description="a number of 1 or more")] = 1.0
    max_held_tasks: HeldTaskLimit = 40_000


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchAgentSettings(DispatchSettings):
    """The settings of an agent that serves one worker.

    The worker sends a heartbeat every ``worker_heartbeat_s``.
    """

    worker_address: Address
    worker_heartbeat_s: Seconds = 1.5


def find_contradictions(settings: object) -> tuple[str, ...]:
    """Return the settings of a role that cannot all hold, each as the key and its cause."""
    if not isinstance(settings, DispatchSettings):
        return ()
    smallest_bytes = settings.max_head_bytes + settings.max_read_ahead_bytes
    found = []
    if settings.max_buffered_bytes < smallest_bytes:
        found.append(
            "max_buffered_bytes: is less than max_head_bytes and max_read_ahead_bytes together"
        )
    return tuple(found)


def stream_seeds(settings: DispatchSettings) -> tuple[str, ...]:
    """Return the stream addresses of the seeds."""
    hosts = [seed.rpartition(":")[0] for seed in settings.seeds]
    return tuple(f"{host}:{settings.seed_stream_port}" for host in hosts)


def peer_seeds(settings: DispatchSettings) -> tuple[str, ...]:
    """Return where the seeds serve copies of the configuration."""
    return settings.seeds


@dataclass(frozen=True, kw_only=True, slots=True)
class DeprecatedKey:
    """A key that is no longer read, and what to use instead."""

    key: str
    advice: str


DEPRECATED_KEYS: tuple[DeprecatedKey, ...] = ()
