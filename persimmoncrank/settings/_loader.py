"""Loads settings from TOML and reports all errors at once."""

from __future__ import annotations

import dataclasses
import difflib
import logging
import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar, get_args, get_type_hints

import msgspec
from result import Err, Ok, Result

from persimmoncrank.settings._schema import DEPRECATED_KEYS, find_contradictions

if TYPE_CHECKING:
    from pathlib import Path

log = logging.getLogger(__name__)

S = TypeVar("S")


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsError:
    """One error in a settings file."""

    key: str
    value: str
    cause: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        shown = f" = {self.value}" if self.value else ""
        return f"{self.key}{shown}: {self.cause}"


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadedSettings:
    """Validated settings and the warnings about them."""

    settings: Any
    warnings: tuple[str, ...]


def load_settings(path: Path, schema: type[S]) -> Result[LoadedSettings, tuple[SettingsError, ...]]:
    """Read and check a settings file against the schema of a role."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err((SettingsError(key=str(path), value="", cause=f"cannot be read: {error}"),))
    return parse_settings(text, schema)


def parse_settings(text: str, schema: type[S]) -> Result[LoadedSettings, tuple[SettingsError, ...]]:
    """Check the text of a settings file against the schema of a role."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return Err((SettingsError(key="file", value="", cause=f"is not valid TOML: {error}"),))
    hints = get_type_hints(schema, include_extras=True)
    values: dict[str, Any] = {}
    errors: list[SettingsError] = []
    for field in dataclasses.fields(schema):  # type: ignore[arg-type]
        if field.name in table:
            _convert(field.name, table[field.name], hints[field.name], values, errors)
        elif field.default is dataclasses.MISSING:
            errors.append(SettingsError(key=field.name, value="", cause="is required"))
    warnings = tuple(_warning(key, list(hints)) for key in table if key not in hints)
    if errors:
        return Err((*errors, *map(_warning_as_error, warnings)))
    settings = schema(**values)
    contradictions = tuple(
        SettingsError(key=key, value="", cause=cause)
        for key, _, cause in (text.partition(": ") for text in find_contradictions(settings))
    )
    if contradictions:
        return Err(contradictions)
    return Ok(LoadedSettings(settings=settings, warnings=warnings))


def _warning_as_error(warning: str) -> SettingsError:
    key, _, cause = warning.partition(": ")
    return SettingsError(key=key, value="", cause=f"{cause} (warning)")


def _convert(
    key: str, value: Any, hint: Any, values: dict[str, Any], errors: list[SettingsError]
) -> None:
    try:
        values[key] = msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        errors.append(SettingsError(key=key, value=repr(value), cause=_cause(hint, error)))


def _cause(hint: Any, error: msgspec.ValidationError) -> str:
    """Return what was expected, from the schema's description if it has one."""
    described = _description(hint)
    if described is not None:
        return f"expected {described}"
    items = [_description(item) for item in get_args(hint)]
    item_described = next((text for text in items if text), None)
    _, separator, path = str(error).rpartition(" - at ")
    return f"expected {item_described}{separator}{path}" if item_described else str(error)


def _description(hint: Any) -> str | None:
    metas = [meta for meta in get_args(hint) if isinstance(meta, msgspec.Meta)]
    return next((meta.description for meta in metas if meta.description), None)


def _warning(key: str, known: list[str]) -> str:
    for deprecated in DEPRECATED_KEYS:
        if deprecated.key == key:
            return f"{key}: is deprecated; {deprecated.advice}"
    nearest = difflib.get_close_matches(key, known, n=1)
    hint = f"; did you mean {nearest[0]}?" if nearest else ""
    return f"{key}: is not a known key and is ignored{hint}"
