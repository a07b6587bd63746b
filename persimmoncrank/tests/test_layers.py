"""Tests of the layers: imports go down only."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import persimmoncrank

ROOT = Path(persimmoncrank.__file__).parent
PACKAGE = "persimmoncrank"

ALLOWED = {
    "protocol": {"protocol"},
    "state": {"protocol", "state"},
    "coordination": {"protocol", "state", "coordination"},
    "transport": {"protocol", "coordination", "transport"},
}
BELOW_ALL = {"_lazy"}
OUTSIDE = {"grpc", "httpcore", "starlette", "uvicorn", "aioprometheus", "click", "socket"}


def imported_modules(path: Path) -> set[str]:
    """Return the dotted names of all modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


@pytest.mark.parametrize("layer", list(ALLOWED))
def test_layer_imports_only_what_is_below(layer: str) -> None:
    for path in (ROOT / layer).rglob("*.py"):
        for name in imported_modules(path):
            parts = name.split(".")
            if parts[0] == PACKAGE and len(parts) > 1:
                assert parts[1] in ALLOWED[layer] | BELOW_ALL, f"{path} imports {name}"
            if layer != "transport":
                assert parts[0] not in OUTSIDE, f"{path} imports {name}"


@pytest.mark.parametrize("path", sorted(ROOT.rglob("*.py")), ids=lambda p: str(p.relative_to(ROOT)))
def test_private_modules_are_imported_inside_their_package_only(path: Path) -> None:
    if "tests" in path.parts:
        return
    for name in imported_modules(path):
        parts = name.split(".")
        if parts[0] == PACKAGE and parts[-1].startswith("_") and parts[1] not in BELOW_ALL:
            assert parts[1:-1] == list(path.relative_to(ROOT).parts[:-1]), f"{path} imports {name}"
