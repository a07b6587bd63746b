"""Tests that each layer imports only from itself and from lower layers."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import persimmoncrank

ROOT = Path(persimmoncrank.__file__).parent
PACKAGE = "persimmoncrank"

ALLOWED_IMPORTS = {
    "protocol": {"protocol"},
    "state": {"protocol", "state"},
    "coordination": {"protocol", "state", "coordination"},
    "transport": {"protocol", "coordination", "transport"},
}
SHARED_MODULES = {"_lazy"}
IO_LIBRARIES = {"grpc", "httpcore", "starlette", "uvicorn", "aioprometheus", "click", "socket"}


def imported_modules(path: Path) -> set[str]:
    """Return the dotted names of all modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


@pytest.mark.parametrize("layer", list(ALLOWED_IMPORTS))
def test_layer_imports_only_itself_and_lower_layers(layer: str) -> None:
    for path in (ROOT / layer).rglob("*.py"):
        for name in imported_modules(path):
            parts = name.split(".")
            if parts[0] == PACKAGE and len(parts) > 1:
                assert parts[1] in ALLOWED_IMPORTS[layer] | SHARED_MODULES, f"{path} imports {name}"
            if layer != "transport":
                assert parts[0] not in IO_LIBRARIES, f"{path} imports {name}"


@pytest.mark.parametrize("path", sorted(ROOT.rglob("*.py")), ids=lambda p: str(p.relative_to(ROOT)))
def test_private_modules_are_imported_inside_their_package_only(path: Path) -> None:
    if "tests" in path.parts:
        return
    for name in imported_modules(path):
        parts = name.split(".")
        if parts[0] == PACKAGE and parts[-1].startswith("_") and parts[1] not in SHARED_MODULES:
            assert parts[1:-1] == list(path.relative_to(ROOT).parts[:-1]), f"{path} imports {name}"
