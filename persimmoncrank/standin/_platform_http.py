"""The HTTP application of the platform's stand-in."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from urllib.parse import unquote

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from persimmoncrank.protocol import (
    StoreErrorKind,
    Transaction,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request

    from persimmoncrank.standin._platform import MemoryPlatform

log = logging.getLogger(__name__)

_STATUS = {StoreErrorKind.CONFLICT: 409, StoreErrorKind.UNAVAILABLE: 503}


def platform_app(platform: MemoryPlatform) -> Starlette:
    """Return the HTTP application that serves a platform's rows and objects."""

    async def get_row(request: Request) -> Response:
        return _answer(await platform.get_row(_key(request)))

    async def transact(request: Request) -> Response:
        transaction = decode_message(await request.body(), Transaction)
        return _answer(await platform.transact(transaction))

    async def scan(request: Request) -> Response:
        prefix = request.query_params["prefix"]
        return _answer(await platform.scan(prefix, int(request.query_params["since"])))

    async def put_object(request: Request) -> Response:
        stored = await platform.put_object(_key(request), await request.body())
        return _answer(stored.map(lambda _none: b""))

    async def get_object(request: Request) -> Response:
        return _answer(await platform.get_object(_key(request)))

    return Starlette(
        routes=[
            Route("/table/rows/{key:path}", get_row, methods=["GET"]),
            Route("/table/transactions", transact, methods=["POST"]),
            Route("/table/scan", scan, methods=["GET"]),
            Route("/objects/{key:path}", put_object, methods=["PUT"]),
            Route("/objects/{key:path}", get_object, methods=["GET"]),
        ]
    )


def _key(request: Request) -> str:
    return unquote(request.path_params["key"])


def _answer(result: Result) -> Response:
    if result.is_err():
        error = result.unwrap_err()
        return Response(error.message, status_code=_STATUS[error.kind])
    value = result.unwrap()
    if value is None:
        return Response(status_code=404)
    if isinstance(value, bytes):
        return Response(value)
    return Response(encode_message(value))
