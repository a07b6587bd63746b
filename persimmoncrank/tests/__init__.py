"""Tests of the package; ``base`` holds the helpers."""

from __future__ import annotations
