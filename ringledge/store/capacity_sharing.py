"""A site's part of the spare capacity that all sites share, exchanged with them as records.

The lease holder of the replay estimates the capacity that live traffic leaves unused, borrows other sites'
parts of it while they have nothing to replay, and allots the result to its replay as a rate.
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

BORROWED_RATE_FACTOR = 2  # of the present rate: a loan arrives before the growing rate needs it


class CapacitySharing:
    """Allots capacity to the replay of one site."""

    def __init__(self, config: QueueConfig, records: RecordStore | None) -> None:
        """`records`: shared with other sites; None where this process is alone and no capacity is known."""
        self._config = config
        self._records = records
        self._lending: CapacityLoans | None = None
        self._published: set[str] = set()  # keys of our records of loans and requests for them

    def begin_lease(self, now_s: float, token: int) -> None:
        """Forget earlier loans: the process has become the lease holder."""
        weights = self._config.site_weights or {self._config.site: 1.0}
        self._lending = CapacityLoans(self._config.site, weights, token, now_s)

    def allot(self, now_s: float, replay: ReplayScheduler, has_work: bool) -> None:
        """Exchange loans and set the replay's maximum rate; `has_work`: entries wait and the site is open."""
        assert self._lending is not None
        capacity = self._spare_capacity(now_s, replay)
        self._lending.update_demand(now_s, self._needed_fraction(self._lending, replay, capacity, has_work))
        if self._records is not None:
            self._exchange_loans(now_s, self._lending, self._records)
        max_rate = None if capacity is None else capacity * self._lending.available_fraction(now_s)
        replay.rate_controller.set_ceiling(now_s, max_rate)

    def _spare_capacity(self, now_s: float, replay: ReplayScheduler) -> float | None:
        """What replay may use of the capacity that live traffic leaves, in tokens/s; None: not known."""
        if self._records is None:
            return None
        observations = decode_records(self._records.values(now_s, SERVER_PREFIX), ServerObservation)
        demand = decode_records(self._records.values(now_s, DEMAND_PREFIX), ClassDemand)
        estimate = estimate_capacity(observations, demand)
        unused = spare_capacity(
            estimate, self._config.reserved_fraction, replay.decode_fraction(estimate.decode_fraction())
        )
        return None if unused is None else unused * self._config.replay_fraction

    @staticmethod
    def _needed_fraction(
        lending: CapacityLoans, replay: ReplayScheduler, capacity: float | None, has_work: bool
    ) -> float:
        """The fraction of the sites' shared capacity that this site could use now."""
        if not has_work:
            return 0.0
        if not capacity:
            return 1.0
        return min(
            1.0, max(lending.own_fraction, BORROWED_RATE_FACTOR * replay.rate_controller.rate / capacity)
        )

    def _exchange_loans(self, now_s: float, lending: CapacityLoans, records: RecordStore) -> None:
        requests = _newest_by_site(decode_records(records.values(now_s, REQUEST_PREFIX), LoanRequest))
        loans = decode_records(records.values(now_s, GRANT_PREFIX), LoanGrant)
        to_this_site = f"/{self._config.site}"
        by_lender = {
            key.split("/")[1]: loan for (_, key), loan in loans.items() if key.endswith(to_this_site)
        }
        lending.receive(now_s, requests, by_lender)
        self._publish(now_s, records, lending.records())

    def _publish(
        self, now_s: float, records: RecordStore, current: Mapping[str, LoanRequest | LoanGrant]
    ) -> None:
        for key in self._published - current.keys():
            records.delete(now_s, key)
        for key, row in current.items():
            records.write(now_s, key, msgspec.msgpack.encode(row))
        self._published = set(current)


def _newest_by_site(requests: Mapping[tuple[str, str], LoanRequest]) -> dict[str, LoanRequest]:
    """By site the request with the highest token and number, where several writers have one for it."""
    newest: dict[str, LoanRequest] = {}
    for (_, key), request in requests.items():
        site = key.removeprefix(REQUEST_PREFIX)
        known = newest.get(site)
        if known is None or (request.token, request.number) > (known.token, known.number):
            newest[site] = request
    return newest
