"""What goes into and comes out of the overload decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a request was rejected."""

    CPU = "cpu"  # the core is at its target
    DELAY = "delay"  # the loop, or what waits unread, is late
    MEMORY = "memory"  # resident memory, or what streams hold of it
    DESCRIPTORS = "descriptors"


@dataclass(slots=True, frozen=True)
class Limits:
    """What the process may use."""

    cores: float = 1.0
    target: float = 0.9  # of `cores`
    delay_ms: float = 30.0  # that the loop, or a request unread in its socket, may be late
    memory_from: float = 0.80  # of the memory at which the least worth is rejected
    memory_to: float = 0.95  # and the most

    @property
    def cpu_share(self) -> float:
        """CPU time per time that the process may use."""
        return self.cores * self.target


@dataclass(slots=True, frozen=True)
class Sample:
    """What was measured since the last sample; shares are of the process's limits."""

    at_ms: float
    span_ms: float
    cpu_ms: float
    loop_ms: float = 0.0  # how late the loop was, at worst
    unread_ms: float = 0.0  # how long requests had waited in their sockets, on average
    memory: float = 0.0
    held: float = 0.0  # by streams and answers, of what they may hold
    descriptors: float = 0.0


@dataclass(slots=True, frozen=True)
class Rejection:
    """A request is rejected."""

    reason: Reason
    over_share: bool
    retry_after_ms: float
