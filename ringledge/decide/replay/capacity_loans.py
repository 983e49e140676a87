"""Which fraction of the fleet's spare capacity a site's replay may use, so that no two sites use the same.

Each site has a fraction by its weight among all sites of the settings, whether or not they are alive. A site
with nothing to replay lends its fraction for a fixed time to those that request it. A request carries a
number that is never used again, which the grant repeats. The borrower counts the loan's time from its
request, the lender from its grant, which is later, and each allows for the other's clock drift: so the
lender uses its fraction only after the borrower has ceased to, however late, duplicated or lost any message
is. A new holder of a site's lease doesn't know what its predecessor lent, and uses its own fraction only
after the longest loan. Free of I/O and clocks; times in s, fractions 0 to 1.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from math import inf

import msgspec

from ringledge.decide.replay.fair_share import ShareRequest, max_min_fair_shares

LOAN_DURATION_S = 6.0  # some rounds of records, and soon over when its owner needs it
REQUEST_INTERVAL_S = 2.0  # a loan is requested again before it ends
REQUEST_PREFIX = "want/"  # of the keys of `LoanRequest`; the site follows
GRANT_PREFIX = "lend/"  # of the keys of `LoanGrant`; lender and borrower follow
MAX_CLOCK_DRIFT = 0.02  # relative difference of two clocks' rates: a hundred times that of quartz


class LoanRequest(msgspec.Struct, array_like=True, frozen=True):
    """A site requests capacity of others (key want/SITE)."""

    token: int  # of its replay lease
    number: int  # increases with each request under the token
    max_fraction: float  # that it could use beyond its own


class LoanGrant(msgspec.Struct, array_like=True, frozen=True):
    """A site lends to another (key lend/SITE/BORROWER), for LOAN_DURATION_S from the request."""

    token: int  # of the request that this answers
    number: int
    fraction: float


@dataclass(slots=True)
class _Loan:
    """What another site has from this one, or this one from it."""

    fraction: float
    until_s: float


class CapacityLoans:
    """One site's fraction of the spare capacity, kept by the holder of its replay lease.

    Invariant: the fractions available to all sites never add up to more than 1.
    """

    def __init__(self, site: str, weights: Mapping[str, float], token: int, now_s: float) -> None:
        """`weights`: of all sites that share the capacity, this one too; the same at each of them."""
        self._site = site
        self._weights = dict(weights)
        self._token = token
        self.own_fraction = weights[site] / sum(weights.values())
        # The predecessor's loans have ended by then; a single site has no loans.
        is_single = len(weights) == 1
        self._lending_from_s = -inf if is_single else now_s + LOAN_DURATION_S * (1 + MAX_CLOCK_DRIFT)
        self._demand = 0.0
        self._number = 0  # of the last request
        self._requested_s = -inf
        self._open_requests: dict[int, float] = {}  # by number, when: those whose loans may not have ended
        self._granted: dict[str, list[_Loan]] = {}  # by borrower
        self._last_grants: dict[str, LoanGrant] = {}  # by borrower
        self._borrowed: dict[str, _Loan] = {}  # by lender

    def update_demand(self, now_s: float, fraction: float) -> None:
        """Set the fraction of the spare capacity that could be used now; 0: there is nothing to replay."""
        self._demand = fraction
        if fraction > self.own_fraction and now_s - self._requested_s >= REQUEST_INTERVAL_S:
            self._number += 1
            self._requested_s = now_s
            self._open_requests = {
                number: requested_s
                for number, requested_s in self._open_requests.items()
                if now_s - requested_s < LOAN_DURATION_S
            }
            self._open_requests[self._number] = now_s

    def receive(
        self, now_s: float, requests: Mapping[str, LoanRequest], grants: Mapping[str, LoanGrant]
    ) -> None:
        """Process the requests of other sites, and their grants to this one, by site."""
        self._receive_grants(grants)
        if now_s >= self._lending_from_s:
            self._grant_requests(now_s, requests)

    def _receive_grants(self, grants: Mapping[str, LoanGrant]) -> None:
        for lender, grant in grants.items():
            requested_s = self._open_requests.get(grant.number)
            if grant.token == self._token and requested_s is not None and lender in self._weights:
                until_s = requested_s + LOAN_DURATION_S * (1 - MAX_CLOCK_DRIFT)
                self._borrowed[lender] = _Loan(grant.fraction, until_s)

    def _grant_requests(self, now_s: float, requests: Mapping[str, LoanRequest]) -> None:
        """Divide what is not needed here among the unanswered requests."""
        unanswered = {
            site: request for site, request in requests.items() if self._is_unanswered(site, request)
        }
        share_requests = {
            site: ShareRequest(self._weights[site], max(0.0, request.max_fraction))
            for site, request in unanswered.items()
        }
        # A renewed loan may be as large as before; a new borrower gets what is not lent.
        available = max(0.0, self.own_fraction - self._demand - self._lent_fraction(now_s, unanswered))
        for site, share in max_min_fair_shares(available, share_requests).items():
            fraction = min(share, self.own_fraction - self._lent_fraction(now_s, (site,)))
            if fraction > 0:
                loan = _Loan(fraction, now_s + LOAN_DURATION_S * (1 + MAX_CLOCK_DRIFT))
                self._granted.setdefault(site, []).append(loan)
                request = unanswered[site]
                self._last_grants[site] = LoanGrant(request.token, request.number, fraction)

    def available_fraction(self, now_s: float) -> float:
        """The fraction of the spare capacity that this site may use now."""
        own = 0.0
        if now_s >= self._lending_from_s:
            own = max(0.0, self.own_fraction - self._lent_fraction(now_s))
        return own + sum(loan.fraction for loan in self._borrowed.values() if now_s < loan.until_s)

    def records(self) -> dict[str, LoanRequest | LoanGrant]:
        """The records to publish now, by key."""
        records: dict[str, LoanRequest | LoanGrant] = {
            f"{GRANT_PREFIX}{self._site}/{borrower}": grant for borrower, grant in self._last_grants.items()
        }
        if self._number and self._demand > self.own_fraction:
            missing = self._demand - self.own_fraction
            records[REQUEST_PREFIX + self._site] = LoanRequest(self._token, self._number, missing)
        return records

    def _is_unanswered(self, site: str, request: LoanRequest) -> bool:
        if site == self._site or site not in self._weights:
            return False
        last = self._last_grants.get(site)
        return last is None or (request.token, request.number) > (last.token, last.number)

    def _lent_fraction(self, now_s: float, excluded: Container[str] = ()) -> float:
        """The fraction that is lent; of several loans to one borrower it uses one, and the largest counts."""
        total = 0.0
        for site, loans in self._granted.items():
            self._granted[site] = [loan for loan in loans if now_s < loan.until_s]
            if site not in excluded:
                total += max((loan.fraction for loan in self._granted[site]), default=0.0)
        return total
