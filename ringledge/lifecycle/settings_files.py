"""Files under deploy/, read strictly: what is wrong is told with the file, the key and what is allowed."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

S = TypeVar("S", bound=msgspec.Struct)


class SettingsError(Exception):
    """A file can't be used; the message says why in one line."""


def read(kind: type[S], path: Path) -> S | None:
    """The settings that the file holds; None where it is absent or not enabled. Both kinds are checked."""
    told = _told(path)
    if told is None:
        return None
    enabled = told.pop("enabled", False)
    try:
        settings = msgspec.convert(told, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {_plain(kind, str(error))}") from error
    return settings if enabled else None


def enabled(path: Path) -> bool:
    """Whether the file is there and turns its subsystem on; what else it says is not looked at."""
    told = _told(path)
    return told is not None and told.get("enabled", False)


def _told(path: Path) -> dict[str, Any] | None:
    """What the file says; None where there is none."""
    if not path.exists():
        return None
    try:
        told = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(told.get("enabled", False), bool):
        raise SettingsError(f"{path}: enabled: true or false is allowed")
    return told


def _plain(kind: type[Any], text: str) -> str:
    """Turn msgspec's words round: the key first, then what is allowed."""
    if unknown := re.match(r"Object contains unknown field `(.*?)`", text):
        allowed = ", ".join(("enabled", *(each.encode_name for each in msgspec.structs.fields(kind))))
        return f"{unknown[1]}: no such key; allowed are {allowed}"
    if missing := re.match(r"Object missing required field `(.*?)`", text):
        return f"{missing[1]}: it has to be given"
    said, _, place = text.partition(" - at `$.")
    return f"{place.rstrip('`')}: {said}" if place else said
