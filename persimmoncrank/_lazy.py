"""Exports of a package that load their modules on first use.

A role needs a part of the modules only, and the time of its start is a part of each recovery.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def lazy_exports(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a package's ``__getattr__`` that finds each name in the module given for it."""

    def get(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return get
