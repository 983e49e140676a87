"""The input and output types of the overload decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected; the values are labels of metrics and fields of the log."""

    CPU = "cpu"  # the core is at its target
    DELAY = "delay"  # the event loop, or unread requests, are late
    MEMORY = "memory"  # resident memory, or buffered responses
    DESCRIPTORS = "descriptors"


@dataclass(slots=True, frozen=True)
class OverloadLimits:
    """What the process may use."""

    cores: float = 1.0
    cpu_target: float = 0.9  # of `cores`
    max_delay_ms: float = 30.0  # that the event loop, or a request unread in its socket, may be late
    memory_shed_start: float = 0.80  # fraction of the memory at which the lowest priority is rejected
    memory_shed_end: float = 0.95  # and the highest

    @property
    def cpu_rate(self) -> float:
        """CPU time per time that the process may use."""
        return self.cores * self.cpu_target


@dataclass(slots=True, frozen=True)
class ResourceSample:
    """Measurements since the previous sample; fractions are of the process's limits."""

    at_ms: float
    span_ms: float
    cpu_ms: float
    loop_lag_ms: float = 0.0  # the event loop's longest delay
    queue_wait_ms: float = 0.0  # mean time that requests waited in their sockets
    memory_fraction: float = 0.0
    buffered_fraction: float = 0.0  # by streams and retained responses, of what they may buffer
    descriptor_fraction: float = 0.0


@dataclass(slots=True, frozen=True)
class Rejection:
    """The decision to reject a request."""

    reason: RejectionReason
    over_quota: bool
    retry_after_ms: float
