"""Parsing of ``host:port`` addresses."""

from __future__ import annotations

import logging
import re

log = logging.getLogger(__name__)

MAX_PORT = 65_535
_ADDRESS = re.compile(r"(?P<host>[0-9A-Za-z.\-]{1,253}):(?P<port>[0-9]{1,5})")


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into the host and the port number; raise ValueError if it is neither."""
    match = _ADDRESS.fullmatch(address)
    port = int(match["port"]) if match else 0
    if match is None or not 0 < port <= MAX_PORT:
        raise ValueError(f"expected an address as host:port, not {address[:100]!r}")
    return match["host"], port


def is_address(text: str) -> bool:
    """Return whether a text is an address that can be dialled."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
