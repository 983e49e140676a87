"""Divides the fleet's spare capacity among the replays of all sites, so that no two sites use the same part.

Each site owns a fraction by its weight among all configured sites, whether they are alive or not. A site
with nothing to replay lends its fraction for a fixed time to sites that request it. A request has a number
that is never reused, and the grant repeats it. The borrower measures the loan from its request and the lender
from its grant, which is later, and each allows for the other's clock drift. Therefore the lender uses its
fraction only after the borrower has stopped, even if messages are late, duplicated or lost. A new holder of
a site's lease does not know what its predecessor lent, so it uses its own fraction only after the longest
loan has ended. Free of I/O and clocks; times in s, fractions 0 to 1.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from math import inf

import msgspec

from ringledge.decide.replay.fair_share import ShareRequest, max_min_fair_shares

LOAN_DURATION_S = 6.0  # lasts several exchanges of records, but is short if the owner needs it back
REQUEST_INTERVAL_S = 2.0  # short enough to renew a loan before it ends
REQUEST_PREFIX = "want/"  # key prefix of `LoanRequest`, followed by the site
GRANT_PREFIX = "lend/"  # key prefix of `LoanGrant`, followed by lender and borrower
MAX_CLOCK_DRIFT = 0.02  # relative difference of two clocks' rates; a hundred times that of quartz clocks


class LoanRequest(msgspec.Struct, array_like=True, frozen=True):
    """Record by which a site requests capacity from others (key want/SITE)."""

    token: int  # fencing token of the site's replay lease
    number: int  # increases with each request under the token
    max_fraction: float  # largest fraction that it could use in addition to its own


class LoanGrant(msgspec.Struct, array_like=True, frozen=True):
    """Record of a loan to another site (key lend/SITE/BORROWER), for `LOAN_DURATION_S` from the request."""

    token: int  # token and number of the granted request
    number: int
    fraction: float


@dataclass(slots=True)
class _Loan:
    """A fraction that is lent or borrowed until a time."""

    fraction: float
    until_s: float


class CapacityLoans:
    """One site's fraction of the spare capacity, managed by the holder of the site's replay lease.

    Invariant: the fractions available to all sites never add up to more than 1.
    """

    def __init__(self, site: str, weights: Mapping[str, float], token: int, now_s: float) -> None:
        """`weights`: by site, of all sites that share the capacity, with this one; equal on every site."""
        self._site = site
        self._weights = dict(weights)
        self._token = token
        self.own_fraction = weights[site] / sum(weights.values())
        # By this time all loans of the predecessor have ended; a single site has no loans.
        is_single = len(weights) == 1
        self._lending_from_s = -inf if is_single else now_s + LOAN_DURATION_S * (1 + MAX_CLOCK_DRIFT)
        self._demand = 0.0
        self._request_number = 0  # number of the last request
        self._requested_s = -inf
        self._open_requests: dict[int, float] = {}  # send time by number, while a loan may last
        self._granted: dict[str, list[_Loan]] = {}  # by borrower
        self._last_grants: dict[str, LoanGrant] = {}  # by borrower
        self._borrowed: dict[str, _Loan] = {}  # by lender

    def update_demand(self, now_s: float, fraction: float) -> None:
        """Set the fraction of the spare capacity that could be used now; 0 if there is nothing to replay."""
        self._demand = fraction
        if fraction > self.own_fraction and now_s - self._requested_s >= REQUEST_INTERVAL_S:
            self._request_number += 1
            self._requested_s = now_s
            self._open_requests = {
                number: requested_s
                for number, requested_s in self._open_requests.items()
                if now_s - requested_s < LOAN_DURATION_S
            }
            self._open_requests[self._request_number] = now_s

    def receive(
        self, now_s: float, requests: Mapping[str, LoanRequest], grants: Mapping[str, LoanGrant]
    ) -> None:
        """Process other sites' requests, and their grants to this site, by the other site's name."""
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
        """Divide the fraction that is not needed here among the unanswered requests."""
        unanswered = {
            site: request for site, request in requests.items() if self._is_unanswered(site, request)
        }
        share_requests = {
            site: ShareRequest(self._weights[site], max(0.0, request.max_fraction))
            for site, request in unanswered.items()
        }
        # A renewed loan may be as large as before; a new borrower gets only what is not lent to others.
        available = max(0.0, self.own_fraction - self._demand - self._total_lent_fraction(now_s, unanswered))
        for site, share in max_min_fair_shares(available, share_requests).items():
            fraction = min(share, self.own_fraction - self._total_lent_fraction(now_s, (site,)))
            if fraction > 0:
                loan = _Loan(fraction, now_s + LOAN_DURATION_S * (1 + MAX_CLOCK_DRIFT))
                self._granted.setdefault(site, []).append(loan)
                request = unanswered[site]
                self._last_grants[site] = LoanGrant(request.token, request.number, fraction)

    def available_fraction(self, now_s: float) -> float:
        """The fraction of the spare capacity that this site may use now."""
        own = 0.0
        if now_s >= self._lending_from_s:
            own = max(0.0, self.own_fraction - self._total_lent_fraction(now_s))
        return own + sum(loan.fraction for loan in self._borrowed.values() if now_s < loan.until_s)

    def records(self) -> dict[str, LoanRequest | LoanGrant]:
        """The records to publish now, by key."""
        records: dict[str, LoanRequest | LoanGrant] = {
            f"{GRANT_PREFIX}{self._site}/{borrower}": grant for borrower, grant in self._last_grants.items()
        }
        if self._request_number and self._demand > self.own_fraction:
            shortfall = self._demand - self.own_fraction
            records[REQUEST_PREFIX + self._site] = LoanRequest(self._token, self._request_number, shortfall)
        return records

    def _is_unanswered(self, site: str, request: LoanRequest) -> bool:
        if site == self._site or site not in self._weights:
            return False
        last_grant = self._last_grants.get(site)
        return last_grant is None or (request.token, request.number) > (last_grant.token, last_grant.number)

    def _total_lent_fraction(self, now_s: float, excluded: Container[str] = ()) -> float:
        """The fraction lent to sites that are not in `excluded`.

        A borrower uses one of several loans at a time, so the largest counts.
        """
        total = 0.0
        for site, loans in self._granted.items():
            self._granted[site] = [loan for loan in loans if now_s < loan.until_s]
            if site not in excluded:
                total += max((loan.fraction for loan in self._granted[site]), default=0.0)
        return total
