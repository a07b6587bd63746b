"""Encoding of messages: MessagePack between processes, JSON for callers."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err, Ok, Result

from persimmoncrank.protocol._errors import ErrorKind, ServiceError, refusal

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

T = TypeVar("T")

_OTHER_ERRORS = (RecursionError, UnicodeDecodeError)  # raised by decoders for some bytes
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[type, Callable[[bytes], Any]] = {}
_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]*)`")


def encode_message(message: Any) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_message(data: bytes, message_type: type[T]) -> T:
    """Decode a MessagePack message of a known type; raise MsgspecError if it is not one."""
    try:
        return msgspec.msgpack.decode(data, type=message_type)
    except _OTHER_ERRORS as error:
        raise _decode_error(error) from error


def try_decode_message(data: bytes, message_type: type[T], *, name: str) -> T | None:
    """Decode a stored message; log its name and return None if it cannot be read."""
    try:
        return decode_message(data, message_type)
    except msgspec.MsgspecError as error:
        log.warning("store: message cannot be decoded name=%s cause=%s", name, error)
        return None


def json_decoder(body_type: type[T]) -> Callable[[bytes], T]:
    """Return a function that decodes JSON of a known type; it raises MsgspecError if it fails."""
    decode = msgspec.json.Decoder(body_type).decode

    def decode_body(data: bytes) -> T:
        try:
            return decode(data)
        except _OTHER_ERRORS as error:
            raise _decode_error(error) from error

    return decode_body


def _decode_error(error: Exception) -> msgspec.DecodeError:
    is_nested = isinstance(error, RecursionError)
    return msgspec.DecodeError("the value is too deeply nested" if is_nested else str(error))


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


def _decoder_of(body_type: type[T]) -> Callable[[bytes], T]:
    decode = _decoders.get(body_type)
    if decode is None:
        decode = _decoders[body_type] = json_decoder(body_type)
    return decode


def decode_json(data: bytes, body_type: type[T]) -> Result[T, ServiceError]:
    """Decode a JSON body; the error names the offending field and the cause."""
    try:
        return Ok(_decoder_of(body_type)(data))
    except msgspec.ValidationError as error:
        return Err(_describe_validation(str(error)))
    except msgspec.DecodeError as error:
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


_decode_any = json_decoder(Any)


def is_json(data: bytes) -> bool:
    """Return whether the bytes are one valid JSON value."""
    try:
        _decode_any(data)
    except msgspec.DecodeError:
        return False
    return True
