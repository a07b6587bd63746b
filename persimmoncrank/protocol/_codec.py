"""Encoding of messages: MessagePack between processes, JSON for callers."""

from __future__ import annotations

import logging
import re
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from persimmoncrank.protocol._errors import ErrorKind, ServiceError, refusal

log = logging.getLogger(__name__)

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]*)`")


def encode_message(message: Any) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_message(data: bytes, message_type: type[T]) -> T:
    """Decode a MessagePack message of a known type."""
    return msgspec.msgpack.decode(data, type=message_type)


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


def decode_json(data: bytes, body_type: type[T]) -> Result[T, ServiceError]:
    """Decode a JSON body; the error names the offending field and the cause."""
    try:
        return Ok(msgspec.json.decode(data, type=body_type))
    except msgspec.ValidationError as error:
        return Err(_describe_validation(str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(refusal(ErrorKind.INVALID_REQUEST, f"body is not valid JSON: {error}"))


def _describe_validation(text: str) -> ServiceError:
    """Split msgspec's message into the field's path and the cause."""
    match = _PATH.search(text)
    cause = _PATH.sub("", text)
    path = match.group("path") if match else ""
    unknown = _UNKNOWN_FIELD.search(cause)
    if unknown:
        path = f"{path}.{unknown.group('name')}".lstrip(".")
    return refusal(ErrorKind.INVALID_REQUEST, cause, field=path or None)


def is_json(data: bytes) -> bool:
    """Return whether the bytes are one valid JSON value."""
    try:
        msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True
