"""Setup of the two roles that dispatch to workers; a platform adapter provides the ports."""

from __future__ import annotations

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
