"""Addresses in the form ``host:port``."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
