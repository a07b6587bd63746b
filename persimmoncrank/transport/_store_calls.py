"""Failures of calls to the platform's store, as errors that the product's ports return."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec
from result import Err, Result

from persimmoncrank.protocol import StoreError, StoreErrorKind
from persimmoncrank.transport._http_connection import HttpError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)


def wrap_store_call(
    send: Callable[..., Awaitable[Result]], *errors: type[Exception]
) -> Callable[..., Awaitable[Result]]:
    """Wrap a call so that connection and decoding failures become store errors.

    ``errors`` are those of another HTTP client, if the call uses one.
    """
    failures: tuple[type[Exception], ...] = (
        HttpError,
        TimeoutError,
        msgspec.MsgspecError,
        ValueError,
        *errors,
    )

    async def call(*args: object) -> Result:
        try:
            return await send(*args)
        except failures as error:
            message = f"call to the platform failed: {type(error).__name__}"
            return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, message=message))

    return call
