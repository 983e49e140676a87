"""Strict reader of the settings files under deploy/; errors name the file, the key and the allowed values."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

S = TypeVar("S", bound=msgspec.Struct)


class SettingsError(Exception):
    """A settings file is invalid; the message states the reason in one line."""


def read_settings(settings_type: type[S], path: Path) -> S | None:
    """Read the settings of a file; returns None if it is absent or disabled.

    Raises SettingsError if the file is invalid, even if it is disabled.
    """
    table = _read_table(path)
    if table is None:
        return None
    is_file_enabled = table.pop("enabled", False)
    try:
        settings = msgspec.convert(table, settings_type)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {_explain(settings_type, str(error))}") from error
    return settings if is_file_enabled else None


def is_enabled(path: Path) -> bool:
    """Whether the file exists and enables its subsystem; the other keys are not validated."""
    table = _read_table(path)
    return table is not None and table.get("enabled", False)


def _read_table(path: Path) -> dict[str, Any] | None:
    """Parse the file; returns None if it does not exist."""
    if not path.exists():
        return None
    try:
        table = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(table.get("enabled", False), bool):
        raise SettingsError(f"{path}: enabled: true or false is allowed")
    return table


def _explain(settings_type: type[Any], error: str) -> str:
    """Rewrite msgspec's message so that it begins with the key."""
    if unknown := re.match(r"Object contains unknown field `(.*?)`", error):
        keys = (each.encode_name for each in msgspec.structs.fields(settings_type))
        allowed = ", ".join(("enabled", *keys))
        return f"{unknown[1]}: no such key; allowed are {allowed}"
    if missing := re.match(r"Object missing required field `(.*?)`", error):
        return f"{missing[1]}: required key is missing"
    problem, _, place = error.partition(" - at `$.")
    return f"{place.rstrip('`')}: {problem}" if place else problem
