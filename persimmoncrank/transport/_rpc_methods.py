"""Names of gRPC methods: one for each message type, and which types go over a stream."""

from __future__ import annotations

import logging

from persimmoncrank.protocol import Heartbeat, SyncRequest

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_STREAMED = (Heartbeat, SyncRequest)


def is_streamed(request_type: type) -> bool:
    """Tell whether messages of a type go one by one over a long-lived stream.

    Steady traffic does: a message on an open stream costs about two thirds of a unary call.
    """
    return request_type in _STREAMED


def method_path(request_type: type) -> str:
    """Return the path of the unary method for a message type."""
    return f"/persimmoncrank.Unary/{request_type.__name__}"


def stream_path(request_type: type) -> str:
    """Return the path of the streamed method for a message type."""
    return f"/persimmoncrank.Stream/{request_type.__name__}"
