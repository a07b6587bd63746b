"""The commands: one plain function each, which takes checked settings."""

from __future__ import annotations
