"""Prometheus metrics of cluster membership, registered only if membership is enabled."""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Counter, Gauge

from ringledge.decide.membership.changes import FailureReason
from ringledge.members.codec import DropReason


class Direction(enum.Enum):
    """Direction of a datagram; the values are metric labels."""

    SENT = "sent"
    RECEIVED = "heard"


class MemberMetrics:
    """Counters of sent, received and dropped datagrams and of failed members, and a gauge of active ones."""

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

        self._unwritten = Counter(
            "ringledge_members_records_unwritten",
            "Records of this member that were left out, being above a limit",
            registry=registry,
        )

    def record_unwritten(self) -> None:
        """Count a record of the local member that exceeded a limit."""
        self._unwritten.inc()

    def record_sent(self, size_bytes: int) -> None:
        """Count a sent datagram."""
        self._record(Direction.SENT, size_bytes)

    def record_received(self, size_bytes: int) -> None:
        """Count a received datagram, whether it is accepted or dropped."""
        self._record(Direction.RECEIVED, size_bytes)

    def record_dropped(self, direction: Direction, reason: DropReason, count: int = 1) -> None:
        """Count datagrams that were not sent or not accepted."""
        self._dropped.labels(direction.value, reason.value).inc(count)

    def record_failure(self, reason: FailureReason) -> None:
        """Count a member that was declared failed, with the reason."""
        self._failures.labels(reason.value).inc()

    def _record(self, direction: Direction, size_bytes: int) -> None:
        self._datagrams.labels(direction.value).inc()
        self._bytes.labels(direction.value).inc(size_bytes)
