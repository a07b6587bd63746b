"""A dispatcher for sub-second tasks and the coordination components that it is built from."""

from __future__ import annotations

__version__ = "0.1.0"
