"""The entry's side of dispatch: admits jobs, places their tasks on workers, returns one answer."""

from __future__ import annotations

from persimmoncrank.coordination.dispatch._agent_link import AgentLink
from persimmoncrank.coordination.dispatch._agent_streams import DispatchTimes
from persimmoncrank.coordination.dispatch._crash_store import load_crashes, store_crashes
from persimmoncrank.coordination.dispatch._directory import (
    EntryDirectory,
    follow_directory,
    read_directory,
    register_entry,
)
from persimmoncrank.coordination.dispatch._dispatcher import Dispatcher
from persimmoncrank.coordination.dispatch._routing import Routing
from persimmoncrank.coordination.dispatch._worker_choice import (
    ChooseWorker,
    choose_worker,
    workers_with_capacity,
)
from persimmoncrank.coordination.dispatch._worker_jobs import JobTask

__all__ = [
    "AgentLink",
    "ChooseWorker",
    "DispatchTimes",
    "Dispatcher",
    "EntryDirectory",
    "JobTask",
    "Routing",
    "choose_worker",
    "follow_directory",
    "load_crashes",
    "read_directory",
    "register_entry",
    "store_crashes",
    "workers_with_capacity",
]
