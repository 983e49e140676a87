"""The input and output types of the overload decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected; the values are used in metric labels and in the log."""

    CPU = "cpu"  # CPU use is at its target
    DELAY = "delay"  # the event loop or the reading of requests is delayed
    MEMORY = "memory"  # resident memory or buffered data
    DESCRIPTORS = "descriptors"


@dataclass(slots=True, frozen=True)
class OverloadLimits:
    """Resources that the process may use."""

    cores: float = 1.0
    cpu_target: float = 0.9  # fraction of `cores`
    max_delay_ms: float = 30.0  # tolerated delay of the event loop, and of a request unread in its socket
    memory_shed_start: float = 0.80  # fraction of the memory at which the lowest priority is rejected
    memory_shed_end: float = 0.95  # fraction of the memory at which the highest priority is rejected too

    @property
    def cpu_rate(self) -> float:
        """CPU time that the process may use per unit of time."""
        return self.cores * self.cpu_target


@dataclass(slots=True, frozen=True)
class ResourceSample:
    """Measurements since the previous sample; fractions are relative to the process's limits."""

    at_ms: float
    span_ms: float
    cpu_ms: float
    loop_lag_ms: float = 0.0  # longest delay of the event loop
    queue_wait_ms: float = 0.0  # mean time that requests waited unread in their sockets
    memory_fraction: float = 0.0
    buffered_fraction: float = 0.0  # data buffered by streams and retained responses
    descriptor_fraction: float = 0.0


@dataclass(slots=True, frozen=True)
class Rejection:
    """The decision to reject a request."""

    reason: RejectionReason
    over_quota: bool
    retry_after_ms: float
