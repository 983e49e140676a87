"""The metrics of members, in the program's registry only while members are enabled."""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Counter, Gauge

from ringledge.decide.membership.changes import FailureReason
from ringledge.members.codec import DropReason


class Direction(enum.Enum):
    """Which way a datagram goes."""

    SENT = "sent"
    RECEIVED = "heard"


class MemberMetrics:
    """Counts of datagrams sent, received and dropped, of failures, and the number of active members."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._datagrams = Counter(
            "ringledge_members_datagrams", "Datagrams: sent, heard", ["way"], registry=registry
        )
        self._bytes = Counter(
            "ringledge_members_bytes", "Bytes of datagrams: sent, heard", ["way"], registry=registry
        )
        self._dropped = Counter(
            "ringledge_members_dropped",
            "Datagrams not sent or not taken, by why",
            ["way", "why"],
            registry=registry,
        )
        self.active_members = Gauge(
            "ringledge_members", "Members that count as there, itself too", registry=registry
        )
        self._failures = Counter(
            "ringledge_members_deaths", "Members taken for dead, by why", ["why"], registry=registry
        )

    def record_sent(self, size_bytes: int) -> None:
        """Count a datagram that was sent."""
        self._record(Direction.SENT, size_bytes)

    def record_received(self, size_bytes: int) -> None:
        """Count a datagram that was received, whether it is accepted or dropped."""
        self._record(Direction.RECEIVED, size_bytes)

    def record_dropped(self, direction: Direction, reason: DropReason, count: int = 1) -> None:
        """Count datagrams that were not sent, or not accepted."""
        self._dropped.labels(direction.value, reason.value).inc(count)

    def record_failure(self, reason: FailureReason) -> None:
        """Count a member that was declared failed."""
        self._failures.labels(reason.value).inc()

    def _record(self, direction: Direction, size_bytes: int) -> None:
        self._datagrams.labels(direction.value).inc()
        self._bytes.labels(direction.value).inc(size_bytes)
