"""The log tells what holds the memory of the process before it reaches its limit."""

from __future__ import annotations

from pathlib import Path

import pytest

from ringledge.lifecycle.memory_watch import LEVELS, MemoryLevels, resident_bytes
from tests.loopback import Node


def test_each_level_is_reported_once_until_the_memory_falls_below_it() -> None:
    levels = MemoryLevels(100.0)
    assert [levels.update(used) for used in (10, 51, 52, 66, 95, 96)] == [
        False,
        True,
        False,
        True,
        True,
        False,
    ]
    assert [levels.update(used) for used in (40, 51)] == [False, True]
    assert levels.level == 1 < len(LEVELS)


@pytest.mark.parametrize("text", [None, "", "12", "12 x"])
def test_unreadable_statistics_count_as_no_memory(tmp_path: Path, text: str | None) -> None:
    statm = tmp_path / "statm"
    if text is not None:
        statm.write_text(text)
    assert resident_bytes(statm) == 0


def test_memory_in_use_is_logged(tmp_path: Path) -> None:
    with Node(tmp_path, memory_mb=40) as node:
        line = node.logged("memory_level_reached")
        assert line["resident_mb"] > LEVELS[0] * line["limit_mb"] and line["bodies_mb"] == 0.0
