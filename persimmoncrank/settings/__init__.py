"""Settings: one declared schema for each role, and a loader that reports every fault at once."""

from __future__ import annotations

from persimmoncrank.settings._loader import Fault, Loaded, load_settings, parse_settings
from persimmoncrank.settings._schema import (
    AgentSettings,
    DispatchAgentSettings,
    DispatchEntrySettings,
    EntrySettings,
    LogFormat,
    LogLevel,
    stream_seeds,
)

__all__ = [
    "AgentSettings",
    "DispatchAgentSettings",
    "DispatchEntrySettings",
    "EntrySettings",
    "Fault",
    "Loaded",
    "LogFormat",
    "LogLevel",
    "load_settings",
    "parse_settings",
    "stream_seeds",
]
