"""Recovery of a lost entry's submissions, and the handover of leaving agents' start records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.recovery._handover import HandedOverRecords, hand_over
    from persimmoncrank.coordination.recovery._recovery import Recovery

__all__ = [
    "HandedOverRecords",
    "Recovery",
    "hand_over",
]

_MODULES = {
    "HandedOverRecords": "_handover",
    "Recovery": "_recovery",
    "hand_over": "_handover",
}

__getattr__ = lazy_exports(__name__, _MODULES)
