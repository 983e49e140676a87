"""Counts the bytecode instructions that a call executes: a measure of its work that no machine changes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from math import inf
from types import FrameType
from typing import Any

USUAL, LARGE = 200, (800, 3_200)  # numbers of servers
MAX_GROWTH = 1.6  # of the work, against the usual fleet
# For work that takes very few instructions in the usual fleet: a few accesses to each of some indexes.
FREE_INSTRUCTIONS = 2_000


class TooMuchWorkError(AssertionError):
    """A call has executed more instructions than its limit."""


def instructions(call: Callable[[], object], limit: float = inf) -> int:
    """The number of instructions that a call executes; raises TooMuchWorkError as it exceeds the limit."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        if event == "opcode":
            count += 1
            if count > limit:
                sys.settrace(None)
                raise TooMuchWorkError(f"over {limit:.0f} instructions")
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def assert_work_bounded(size: int, count: Callable[[int, float], int]) -> None:
    """Check that work takes hardly more instructions in a fleet of `size` servers than in the usual one.

    `count` does the work with a number of servers, and stops it beyond a limit of instructions.
    """
    count(size, instruction_limit(count(USUAL, inf)))


def instruction_limit(usual: int) -> float:
    """The most instructions of work that takes `usual` ones in the usual fleet."""
    return MAX_GROWTH * usual + FREE_INSTRUCTIONS
