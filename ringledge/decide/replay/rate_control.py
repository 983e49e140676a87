"""Rate control of replay: additive increase while entries are served, multiplicative decrease on rejection.

AIMD (Chiu and Jain 1989) on tokens per s. The ceiling is this site's share of the capacity that live traffic
does not use. After a partition, replay starts at a low rate and after a random delay, so that sites that
recover together do not send at the same time. Free of I/O and clocks; times in s.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from ringledge.structures.token_bucket import TokenBucket

INITIAL_FRACTION = 1 / 16  # initial rate relative to the ceiling: too small to disturb live traffic
# Initial rate without a known ceiling, and its upper bound with one: about one short request per second.
INITIAL_TOKENS_PER_S = 500.0
RAMP_UP_S = 20.0  # time from 0 to the ceiling: idle or restarted servers take about 13 s to warm up
RATE_INCREASE_PER_S = 250.0  # increase per second of the rate in tokens per s, without a known ceiling
DECREASE_FACTOR = 0.5  # applied to the rate after a rejection
DECREASE_INTERVAL_S = 1.0  # rejections within this time have the same cause: entries sent at the old rate
BACKOFF_S = 0.5  # pause after a rejection
JITTER_S = 1.0  # largest random delay of the first entry after a partition
PROBE_INTERVAL_S = 3.0  # time between probes while the site is partitioned or saturated
# Lower bound for a role's fraction of the work, else its spare capacity is unbounded.
MIN_ROLE_FRACTION = 0.02
BUCKET_DEPTH_S = 0.25  # depth of the token bucket: bursts are no longer than those of live traffic


@dataclass(slots=True, frozen=True)
class Capacity:
    """The fleet's present capacity and live demand, in tokens per s; a capacity of 0 is unknown."""

    prefill_capacity: float  # sum over servers, scaled by their warmth
    decode_capacity: float
    prefill_demand: float  # live traffic only
    decode_demand: float

    def decode_fraction(self) -> float:
        """The fraction of the live demand that is decode; 0.5 without live demand."""
        demand = self.prefill_demand + self.decode_demand
        return self.decode_demand / demand if demand > 0 else 0.5


def spare_capacity(capacity: Capacity, reserve: float, decode_fraction: float) -> float | None:
    """Tokens per s that are available besides live traffic and a reserve; None if a capacity is unknown.

    `reserve`: fraction of the capacity that is kept free. `decode_fraction`: fraction of the queued work that
    is decode, the rest being prefill. The result is limited by the scarcer role.
    """
    if capacity.prefill_capacity <= 0 or capacity.decode_capacity <= 0:
        return None
    prefill_spare = capacity.prefill_capacity * (1 - reserve) - capacity.prefill_demand
    decode_spare = capacity.decode_capacity * (1 - reserve) - capacity.decode_demand
    prefill_bound = prefill_spare / max(MIN_ROLE_FRACTION, 1 - decode_fraction)
    decode_bound = decode_spare / max(MIN_ROLE_FRACTION, decode_fraction)
    return max(0.0, min(prefill_bound, decode_bound))


class RateController:
    """Controls the rate at which one site's queue is replayed, in tokens per s."""

    def __init__(self, rng: random.Random, jitter_s: float = JITTER_S) -> None:
        self._rng = rng
        self._jitter_s = jitter_s
        self.ceiling: float | None = None  # tokens per s; None: unknown
        self.rate = 0.0
        self.decreases = 0
        self._bucket = TokenBucket(0.0)
        self._is_open = False
        self._not_before_s = -inf
        self._decreased_s = -inf
        self._increased_s = -inf
        self._last_sent_s = -inf
        # Time at the present rate that sent work accounts for and no increase has used up yet. A site with
        # little to send must not reach a rate that it never used.
        self._rate_used_s = 0.0

    def open(self, now_s: float) -> None:
        """Start sending: the site reaches servers with capacity."""
        if self._is_open:
            return
        self._is_open = True
        self.rate = self._initial_rate()
        self._not_before_s = now_s + self._rng.uniform(0.0, self._jitter_s)
        self._bucket = TokenBucket(0.0, now_s * 1000)
        self._increased_s = now_s
        self._rate_used_s = 0.0

    def close(self) -> None:
        """Stop sending: the site is partitioned or saturated, and the rate after its recovery is unknown."""
        self._is_open = False
        self.rate = 0.0

    def set_ceiling(self, now_s: float, ceiling: float | None) -> None:
        """Set the maximum rate; the rate is lowered to it at once, or increases toward it over time."""
        if self.ceiling == 0.0 and ceiling and self._is_open:
            self.rate = 0.0
        self.ceiling = ceiling
        if ceiling is not None:
            self.rate = min(self.rate, ceiling)
        if self._is_open and not self.rate:
            self.rate = self._initial_rate()
            self._increased_s = now_s

    def may_send(self, now_s: float) -> bool:
        """Whether an entry may be sent now; not while the token bucket is overdrawn."""
        if not self._is_open or now_s < self._not_before_s or self.rate <= 0:
            return False
        return self._bucket_level(now_s) > 0

    def may_probe(self, now_s: float) -> bool:
        """Whether a probe may be sent while the site is partitioned or saturated."""
        return now_s - self._last_sent_s >= PROBE_INTERVAL_S

    def record_sent(self, now_s: float, work: float) -> None:
        """Record that an entry with this work (in tokens) was sent."""
        self._last_sent_s = now_s
        self._bucket.consume(work)
        if self.rate > 0:
            self._rate_used_s += work / self.rate

    def record_served(self, now_s: float) -> None:
        """Record a served entry; increases the rate for the elapsed time in which the rate was used."""
        if not self._is_open or now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        increase = RATE_INCREASE_PER_S if self.ceiling is None else self.ceiling / RAMP_UP_S
        elapsed_s = max(0.0, min(now_s - self._increased_s, self._rate_used_s))
        self._increased_s = now_s
        self._rate_used_s -= elapsed_s
        self.rate = min(self.rate + increase * elapsed_s, inf if self.ceiling is None else self.ceiling)

    def record_rejected(self, now_s: float) -> None:
        """Record a rejected or failed entry; halves the rate, once per `DECREASE_INTERVAL_S`."""
        self._not_before_s = max(self._not_before_s, now_s + BACKOFF_S)
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self._increased_s = now_s
        self._rate_used_s = 0.0
        self.rate = max(self.rate * DECREASE_FACTOR, self._initial_rate() * DECREASE_FACTOR)
        self.decreases += 1

    def next_send_s(self, now_s: float) -> float:
        """The earliest time at which an entry may be sent if nothing changes; inf if there is none."""
        if not self._is_open or self.rate <= 0:
            return inf
        return max(self._not_before_s, now_s + max(0.0, -self._bucket_level(now_s)) / self.rate)

    def _bucket_level(self, now_s: float) -> float:
        return self._bucket.refill(now_s * 1000, self.rate / 1000, self.rate * BUCKET_DEPTH_S)

    def _initial_rate(self) -> float:
        return (
            INITIAL_TOKENS_PER_S
            if self.ceiling is None
            else min(INITIAL_TOKENS_PER_S, self.ceiling * INITIAL_FRACTION)
        )
