"""Cancels of jobs that hold at all entries, whichever of them ends or is cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.cancellation._acknowledgement import (
        CancelOutcome,
        CancelProgress,
        decide_outcome,
    )
    from persimmoncrank.coordination.cancellation._cancel_rows import (
        CancelRows,
        read_cancelled_jobs,
    )
    from persimmoncrank.coordination.cancellation._cancellations import (
        CancellationPorts,
        Cancellations,
    )
    from persimmoncrank.coordination.cancellation._initial_load import (
        InitialCancelPorts,
        load_cancelled_jobs,
        wait_for_cancels,
    )

__all__ = [
    "CancelOutcome",
    "CancelProgress",
    "CancelRows",
    "CancellationPorts",
    "Cancellations",
    "InitialCancelPorts",
    "decide_outcome",
    "load_cancelled_jobs",
    "read_cancelled_jobs",
    "wait_for_cancels",
]

_MODULES = {
    "CancelOutcome": "_acknowledgement",
    "CancelProgress": "_acknowledgement",
    "CancelRows": "_cancel_rows",
    "CancellationPorts": "_cancellations",
    "Cancellations": "_cancellations",
    "InitialCancelPorts": "_initial_load",
    "decide_outcome": "_acknowledgement",
    "load_cancelled_jobs": "_initial_load",
    "read_cancelled_jobs": "_cancel_rows",
    "wait_for_cancels": "_initial_load",
}

__getattr__ = lazy_exports(__name__, _MODULES)
