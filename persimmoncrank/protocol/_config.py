"""The versioned configuration and the part of it that agents need."""

from __future__ import annotations

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

DEFAULT_REGION = "region-1"


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryInfo:
    """One registered entry and the address at which its peers reach it."""

    incarnation: str
    rpc_address: str
    domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Commitment:
    """A standing commitment to a customer: the task kinds covered and the domains allowed.

    An empty ``domains`` allows every failure domain.
    """

    customer: str
    kinds: tuple[str, ...]
    domains: tuple[str, ...] = ()
    is_ended: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits that operators can change while the system runs."""

    max_tasks_per_job: int = 1_000
    max_running_jobs_per_entry: int = 2_000
    max_queued_s: float = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigSnapshot:
    """The whole configuration of a region at one version.

    ``elector_groups`` contains the set of entries registered at the previous version and, if that
    version was not known to be accepted, its elector groups too. This version is accepted once more
    than half of each group has acknowledged it. ``plan_id`` names the plan that wrote it.
    ``operator_version`` is the last version that changed anything but ``entries``.
    """

    version: int = 0
    operator_version: int = 0
    plan_id: str = ""
    elector_groups: tuple[tuple[str, ...], ...] = ()
    entries: tuple[EntryInfo, ...] = ()
    withdrawn_domains: tuple[str, ...] = ()
    retired_backends: tuple[str, ...] = ()
    commitments: tuple[Commitment, ...] = ()
    limits: Limits = Limits()

    def entry(self, incarnation: str) -> EntryInfo | None:
        """Return the registered entry with that incarnation."""
        return next((e for e in self.entries if e.incarnation == incarnation), None)

    def commitment(self, customer: str) -> Commitment | None:
        """Return the commitment of a customer."""
        return next((c for c in self.commitments if c.customer == customer), None)


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentConfig:
    """The part of a configuration that an agent needs to decide whether a task may start."""

    version: int = 0
    entries: tuple[EntryInfo, ...] = ()
    withdrawn_domains: tuple[str, ...] = ()
    retired_backends: tuple[str, ...] = ()


def agent_config(snapshot: ConfigSnapshot) -> AgentConfig:
    """Return the part of a configuration that agents need."""
    return AgentConfig(
        version=snapshot.version,
        entries=snapshot.entries,
        withdrawn_domains=snapshot.withdrawn_domains,
        retired_backends=snapshot.retired_backends,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigHead:
    """A small row with the newest version, which saves reading the whole snapshot.

    A row with the same content under a plan's own key proves that the plan's write took effect.
    """

    version: int
    written_at_unix_ms: int = 0
