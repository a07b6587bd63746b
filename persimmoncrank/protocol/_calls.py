"""The port for calls between processes, and how such a call fails."""

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
    """Why a call to another process failed; after either kind it may have been carried out."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerError:
    """One failed call to another process."""

    kind: PeerErrorKind
    message: str


class Call(Protocol):
    """Sends a message to the process at an address and returns its reply."""

    async def __call__(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        """Send ``message`` and wait for the reply at most ``timeout_s``."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class Handler:
    """Serves one type of message."""

    request_type: type
    handle: Callable[[Any], Awaitable[Any]]
