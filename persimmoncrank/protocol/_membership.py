"""Messages about membership: heartbeats of agents and syncs between entries.

The assigned entries of an agent are those that it sends heartbeats to.
"""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

from persimmoncrank.protocol._batches import AgentLoad
from persimmoncrank.protocol._config import AgentConfig, ConfigSnapshot

log = logging.getLogger(__name__)


class AgentStatus(enum.StrEnum):
    """The states of an agent's membership."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentInfo:
    """What an agent announces about itself and its backend server."""

    incarnation: str
    backend: str
    rpc_address: str
    domain: str
    kinds: tuple[str, ...]
    slots: int
    processors: float
    memory_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """An agent's heartbeat to an assigned entry.

    ``info`` is sent until that entry has acknowledged it; ``is_registered`` is true once any entry
    has confirmed the durable registration.
    """

    incarnation: str
    status: AgentStatus
    version: int
    is_registered: bool
    load: AgentLoad
    info: AgentInfo | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """An assigned entry's reply: the version it holds and the age of its proof.

    The proof is that the version is the newest; ``age_ms`` is None while the entry is not current.
    ``config`` is sent if the agent holds an older version.
    ``is_known`` is false if the entry needs the agent's ``info``.
    """

    entry: str
    is_known: bool
    is_registered: bool
    version: int
    age_ms: int | None
    config: AgentConfig | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentEntry:
    """One agent as an assigned entry reports it to its peers."""

    info: AgentInfo
    status: AgentStatus


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """An entry's request to a peer for the changes since the position that it last received."""

    entry: str
    version: int
    accepted_version: int
    since: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """A peer's reply: its version, the age of its proof, and its own agents that changed.

    Its own agents are those that send it heartbeats; ``agents_digest`` covers all of them.
    """

    entry: str
    version: int
    accepted_version: int
    age_ms: int | None
    position: int
    is_full: bool
    agents: tuple[AgentEntry, ...]
    agents_digest: int
    snapshot: ConfigSnapshot | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsRequest:
    """Asks an entry for the versions held by the agents that send it heartbeats."""

    entry: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentVersion:
    """The version that an agent held at its last heartbeat, and the age of that heartbeat."""

    agent: str
    version: int
    heard_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsReply:
    """The versions of the agents that send heartbeats to an entry."""

    entry: str
    agents: tuple[AgentVersion, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentRow:
    """The durable registration of an agent's incarnation.

    ``records_at`` names the entry that took over its records when it left.
    """

    info: AgentInfo
    records_at: str | None = None
