"""Counts the bytecode instructions that a call executes: a measure of its work that no machine changes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from math import inf
from types import FrameType
from typing import Any


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
