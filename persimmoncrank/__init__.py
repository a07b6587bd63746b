"""A dispatcher for sub-second tasks, and the coordination parts it is made of."""

from __future__ import annotations

__version__ = "0.1.0"
