"""The figures of members, in the program's registry only while they are on."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge

from ringledge.members.codec import Drop


class Figures:
    """Datagrams sent, heard and dropped, and who is there."""

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
        self.there = Gauge("ringledge_members", "Members that count as there, itself too", registry=registry)
        self._deaths = Counter("ringledge_members_deaths", "Members taken for dead, by why", ["why"],
                               registry=registry)  # fmt: skip

    def sent(self, size: int) -> None:
        """One went out."""
        self._datagrams.labels("sent").inc()
        self._bytes.labels("sent").inc(size)

    def heard(self, size: int) -> None:
        """One came, to be taken or not."""
        self._datagrams.labels("heard").inc()
        self._bytes.labels("heard").inc(size)

    def dropped(self, way: str, why: Drop, count: int = 1) -> None:
        """`way`: "sent" for one that did not go out, "heard" for one that was not taken."""
        self._dropped.labels(way, why.value).inc(count)

    def died(self, why: str) -> None:
        """A member was taken for dead."""
        self._deaths.labels(why).inc()
