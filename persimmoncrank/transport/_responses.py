"""HTTP responses and decoding of request bodies, shared by the HTTP interfaces."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result
from starlette.responses import Response

from persimmoncrank.protocol import (
    ANSWERS,
    ErrorKind,
    ServiceError,
    decode_json,
    encode_json,
    refusal,
)
from persimmoncrank.transport._api_bodies import error_body

if TYPE_CHECKING:
    from starlette.requests import Request

log = logging.getLogger(__name__)

T = TypeVar("T")

JSON_TYPE = "application/json"


def json_response(body: object, *, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(encode_json(body), status_code=status, media_type=JSON_TYPE)


def error_response(error: ServiceError, submission_id: str | None = None) -> Response:
    """Return the response that ``ANSWERS`` defines for the kind of an error."""
    rule = ANSWERS[error.kind]
    body = error_body(error, rule, submission_id)
    headers = {}
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_ms / 1000))
    return Response(
        encode_json(body), status_code=rule.http_status, media_type=JSON_TYPE, headers=headers
    )


async def read_body(request: Request, max_bytes: int) -> Result[bytes, ServiceError]:
    """Read a request body of at most ``max_bytes``."""
    content = bytearray()
    async for chunk in request.stream():
        content += chunk
        if len(content) > max_bytes:
            message = f"the request body is larger than {max_bytes} bytes"
            return Err(refusal(ErrorKind.PAYLOAD_TOO_LARGE, message))
    return Ok(bytes(content))


async def decode_body(
    request: Request, body_type: type[T], max_bytes: int
) -> Result[T, ServiceError]:
    """Read and decode a JSON request body."""
    content = await read_body(request, max_bytes)
    if content.is_err():
        return Err(content.unwrap_err())
    return decode_json(content.unwrap(), body_type)
