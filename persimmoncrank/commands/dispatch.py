"""Setup of the two roles that dispatch to workers; a platform adapter provides the ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.commands._dispatch_agent import (
        WorkerPorts,
        run_dispatch_agent,
        serve_dispatch_agent,
    )
    from persimmoncrank.commands._dispatch_entry import (
        EntryApps,
        StorePorts,
        run_dispatch_entry,
        serve_dispatch_entry,
    )

__all__ = [
    "EntryApps",
    "StorePorts",
    "WorkerPorts",
    "run_dispatch_agent",
    "run_dispatch_entry",
    "serve_dispatch_agent",
    "serve_dispatch_entry",
]

_MODULES = {
    "EntryApps": "_dispatch_entry",
    "StorePorts": "_dispatch_entry",
    "WorkerPorts": "_dispatch_agent",
    "run_dispatch_agent": "_dispatch_agent",
    "run_dispatch_entry": "_dispatch_entry",
    "serve_dispatch_agent": "_dispatch_agent",
    "serve_dispatch_entry": "_dispatch_entry",
}

__getattr__ = lazy_exports("persimmoncrank.commands", _MODULES)
