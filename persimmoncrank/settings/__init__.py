"""Settings: a schema for each role, and a loader that reports all errors at once."""

from __future__ import annotations

from persimmoncrank.settings._loader import (
    LoadedSettings,
    SettingsError,
    load_settings,
    parse_settings,
)
from persimmoncrank.settings._schema import (
    AgentSettings,
    DispatchAgentSettings,
    DispatchEntrySettings,
    DispatchSettings,
    EntrySettings,
    LogFormat,
    LogLevel,
    peer_seeds,
    stream_seeds,
)

__all__ = [
    "AgentSettings",
    "DispatchAgentSettings",
    "DispatchEntrySettings",
    "DispatchSettings",
    "EntrySettings",
    "LoadedSettings",
    "LogFormat",
    "LogLevel",
    "SettingsError",
    "load_settings",
    "parse_settings",
    "peer_seeds",
    "stream_seeds",
]
