"""The load and experiment tool."""

from __future__ import annotations

from persimmoncrank.bench._live import LiveReport, LiveSettings, run_live

__all__ = ["LiveReport", "LiveSettings", "run_live"]
