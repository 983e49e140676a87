"""Monitors whether the site is partitioned from its servers, together with the site's other conductors."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ringledge.decide.interface import RecordStore
from ringledge.decide.replay.capacity_estimate import decode_records
from ringledge.decide.replay.partition_detection import (
    PartitionDetector,
    ServerReachability,
    SiteReachability,
    SiteState,
)
from ringledge.observe.logging import log


class SiteObservations(Protocol):
    """Observations of this process about its servers and the responses to its clients."""

    def servers(self, now_s: float) -> list[ServerReachability]:
        """Return the reachability of each server, with times on the clock of `now_s`."""
        ...

    def answers(self) -> tuple[float, float]:
        """Return counts since the start: requests answered, and requests rejected or failed."""
        ...


class SiteMonitor:
    """Feeds the partition detector and publishes this conductor's view of the site as a record."""

    def __init__(self, site: str, observations: SiteObservations, records: RecordStore | None) -> None:
        """`records` are shared with other conductors; None without a cluster."""
        self.state = SiteState.AVAILABLE
        self._site = site
        self._record_key = f"reach/{site}"
        self._observations = observations
        self._records = records
        self._detector = PartitionDetector()
        self._answered, self._rejected = observations.answers()
        self._published: SiteState | None = None

    def update(self, now_s: float) -> None:
        """Evaluate new observations and records, and update `state`."""
        self._feed_answers(now_s)
        self._receive_records(now_s)
        previous = self.state
        self.state = self._detector.update(now_s, self._observations.servers(now_s))
        self._publish(now_s)
        if self.state is not previous:
            log.info("site_state_changed", site=self._site, state=self.state.label)

    def _feed_answers(self, now_s: float) -> None:
        answered, rejected = self._observations.answers()
        if answered > self._answered:
            self._detector.record_served(now_s)
        elif rejected > self._rejected:
            for _ in range(int(rejected - self._rejected)):
                self._detector.record_rejected()
        self._answered = answered
        self._rejected = rejected

    def _receive_records(self, now_s: float) -> None:
        if self._records is None:
            return
        views = decode_records(self._records.values(now_s, self._record_key), SiteReachability)
        # The store selects by prefix, and this key can be a prefix of another site's key.
        own_site = [(writer, view) for (writer, key), view in views.items() if key == self._record_key]
        self._detector.receive(now_s, own_site)

    def _publish(self, now_s: float) -> None:
        """Write the own view at the start and when it changes.

        The initial write is needed because a conductor without a record does not count as available.
        """
        if self._records is None or self._published is self._detector.own_state:
            return
        self._published = self._detector.own_state
        self._records.write(now_s, self._record_key, msgspec.msgpack.encode(self._detector.record()))
