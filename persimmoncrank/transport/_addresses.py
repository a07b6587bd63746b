"""Parsing of ``host:port`` addresses."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
