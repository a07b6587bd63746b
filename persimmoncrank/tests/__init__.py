"""Tests of the package; ``base`` holds shared helpers."""

from __future__ import annotations
