"""Parses the JSON objects that servers send: events, token counts and load reports."""

from __future__ import annotations

from typing import Any

import orjson


def parse_json_object(text: bytes) -> dict[str, Any]:
    """Parse a JSON object; anything else gives an empty one."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
