"""The commands; each is a plain function that takes validated settings."""

from __future__ import annotations
