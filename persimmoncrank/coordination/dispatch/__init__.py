"""The entry's part: it admits jobs for workers, places their tasks and answers once."""

from __future__ import annotations

from persimmoncrank.coordination.dispatch._agent_streams import DispatchTimes
from persimmoncrank.coordination.dispatch._directory import follow_directory, register_entry
from persimmoncrank.coordination.dispatch._dispatcher import Dispatcher

__all__ = ["DispatchTimes", "Dispatcher", "follow_directory", "register_entry"]
