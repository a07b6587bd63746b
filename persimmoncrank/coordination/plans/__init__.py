"""Plans: the effects of an intent, its confirmation, and the cleanup of old rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.plans._garbage_collector import GarbageCollector
    from persimmoncrank.coordination.plans._plans import Plans

__all__ = [
    "GarbageCollector",
    "Plans",
]

_MODULES = {
    "GarbageCollector": "_garbage_collector",
    "Plans": "_plans",
}

__getattr__ = lazy_exports(__name__, _MODULES)
