"""The interface of a message stream between two processes."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Any

log = logging.getLogger(__name__)


class StreamClosedError(Exception):
    """The stream ended or broke; the last messages sent may not have arrived."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MessageStream:
    """Sends and receives whole messages; both raise StreamClosedError once it is closed."""

    send: Callable[[Any], Awaitable[None]]
    receive: Callable[[], Awaitable[Any]]


DialStream = Callable[[str], AbstractAsyncContextManager[MessageStream]]
