"""Package exports that import their modules on first use.

Each role needs only some of the modules, and the start-up time of a role adds to every recovery.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def lazy_exports(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a package's ``__getattr__``, which imports each name from the module mapped to it."""

    def get(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return get
