"""Paths of the gRPC methods; each request type has its own method."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


def method_path(request_type: type) -> str:
    """Return the path of the method for a request type."""
    return f"/persimmoncrank.Calls/{request_type.__name__}"
