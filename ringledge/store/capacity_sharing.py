"""Shares the spare capacity of the servers among the replays of all sites.

The holder of a site's replay lease estimates the capacity that live traffic leaves unused, borrows the shares
of other sites while they have nothing to replay, and limits the rate of its replay to the result. Requests
for loans and the loans themselves are exchanged as replicated records.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ringledge.decide.interface import (
    DEMAND_PREFIX,
    SERVER_PREFIX,
    ClassDemand,
    RecordStore,
    ServerObservation,
)
from ringledge.decide.replay.capacity_estimate import decode_records, estimate_capacity
from ringledge.decide.replay.capacity_loans import (
    GRANT_PREFIX,
    REQUEST_PREFIX,
    CapacityLoans,
    LoanGrant,
    LoanRequest,
)
from ringledge.decide.replay.rate_control import spare_capacity
from ringledge.decide.replay.scheduler import ReplayScheduler
from ringledge.store.settings import QueueConfig

BORROWED_RATE_FACTOR = 2  # requested multiple of the current rate, so that loans arrive before it grows


class CapacitySharing:
    """Allots capacity to the replay of the local site."""

    def __init__(self, config: QueueConfig, records: RecordStore | None) -> None:
        """`records` are shared with other sites; None without a cluster, and then no capacity is known."""
        self._config = config
        self._records = records
        self._loans: CapacityLoans | None = None
        self._published: set[str] = set()  # keys of the records that this site has written

    def begin_lease(self, now_s: float, token: int) -> None:
        """Start without loans, because this process has just acquired the replay lease."""
        weights = self._config.site_weights or {self._config.site: 1.0}
        self._loans = CapacityLoans(self._config.site, weights, token, now_s)

    def allot(self, now_s: float, scheduler: ReplayScheduler, has_work: bool) -> None:
        """Exchange loans and set the maximum rate of the replay.

        `has_work` states whether entries wait and the site is available.
        """
        assert self._loans is not None
        capacity = self._spare_capacity(now_s, scheduler)
        self._loans.update_demand(now_s, self._needed_fraction(self._loans, scheduler, capacity, has_work))
        if self._records is not None:
            self._exchange_loans(now_s, self._loans, self._records)
        max_rate = None if capacity is None else capacity * self._loans.available_fraction(now_s)
        scheduler.rate_controller.set_ceiling(now_s, max_rate)

    def _spare_capacity(self, now_s: float, scheduler: ReplayScheduler) -> float | None:
        """Return the unused capacity that replay may use, in tokens/s; None if it is not known."""
        if self._records is None:
            return None
        observations = decode_records(self._records.values(now_s, SERVER_PREFIX), ServerObservation)
        demand = decode_records(self._records.values(now_s, DEMAND_PREFIX), ClassDemand)
        estimate = estimate_capacity(observations, demand)
        unused = spare_capacity(
            estimate, self._config.reserved_fraction, scheduler.decode_fraction(estimate.decode_fraction())
        )
        return None if unused is None else unused * self._config.replay_fraction

    @staticmethod
    def _needed_fraction(
        loans: CapacityLoans, scheduler: ReplayScheduler, capacity: float | None, has_work: bool
    ) -> float:
        """Return the fraction of the shared capacity that this site could use now."""
        if not has_work:
            return 0.0
        if not capacity:
            return 1.0
        return min(
            1.0, max(loans.own_fraction, BORROWED_RATE_FACTOR * scheduler.rate_controller.rate / capacity)
        )

    def _exchange_loans(self, now_s: float, loans: CapacityLoans, records: RecordStore) -> None:
        requests = _newest_by_site(decode_records(records.values(now_s, REQUEST_PREFIX), LoanRequest))
        grants = decode_records(records.values(now_s, GRANT_PREFIX), LoanGrant)
        to_this_site = f"/{self._config.site}"
        by_lender = {
            key.split("/")[1]: grant for (_, key), grant in grants.items() if key.endswith(to_this_site)
        }
        loans.receive(now_s, requests, by_lender)
        self._publish(now_s, records, loans.records())

    def _publish(
        self, now_s: float, records: RecordStore, current: Mapping[str, LoanRequest | LoanGrant]
    ) -> None:
        for key in self._published - current.keys():
            records.delete(now_s, key)
        for key, record in current.items():
            records.write(now_s, key, msgspec.msgpack.encode(record))
        self._published = set(current)


def _newest_by_site(requests: Mapping[tuple[str, str], LoanRequest]) -> dict[str, LoanRequest]:
    """Return the latest request of each site, by token and number, if several members have written one."""
    newest: dict[str, LoanRequest] = {}
    for (_, key), request in requests.items():
        site = key.removeprefix(REQUEST_PREFIX)
        known = newest.get(site)
        if known is None or (request.token, request.number) > (known.token, known.number):
            newest[site] = request
    return newest
