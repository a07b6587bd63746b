"""The interface for calls between processes, and the errors of such calls."""

from __future__ import annotations

import enum
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from result import Result

log = logging.getLogger(__name__)

T = TypeVar("T")


class PeerErrorKind(enum.StrEnum):
    """Why a call to another process failed; in both cases it may have been executed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerError:
    """The error of a failed call to another process."""

    kind: PeerErrorKind
    message: str


class Call(Protocol):
    """Sends a message to the process at an address and returns its reply."""

    async def __call__(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        """Send ``message`` and wait at most ``timeout_s`` for the reply."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class Handler:
    """Handles requests of one message type."""

    request_type: type
    handle: Callable[[Any], Awaitable[Any]]
