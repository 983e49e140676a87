"""How fast queued work is sent: additive increase while it is served, multiplicative decrease at a rejection.

AIMD (Chiu and Jain 1989) on tokens per s. The ceiling is this site's share of the capacity that live traffic
leaves over. After a partition all begins at a low rate and at a random time, so that sites that recover
together don't send in step. Free of I/O and clocks; times in s.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from ringledge.structures.token_bucket import TokenBucket

INITIAL_FRACTION = 1 / 16  # of the ceiling at the start: a sixteenth of it is noise for live traffic
INITIAL_RATE = 500.0  # tokens per s at the start where no ceiling is known: one short request a second
RAMP_UP_S = 20.0  # from nothing to the ceiling: servers that were idle or restarted warm up in 13 s or so
RATE_INCREASE = 250.0  # tokens per s gained each s where no ceiling is known
DECREASE_FACTOR = 0.5  # of the rate after a rejection
DECREASE_INTERVAL_S = 1.0  # rejections within it have one cause: they were sent at the old rate
BACKOFF_S = 0.5  # nothing is sent for so long after a rejection
JITTER_S = 1.0  # after a partition the first entry is sent within so long
PROBE_INTERVAL_S = 3.0  # between attempts to send while the site is partitioned
MIN_ROLE_FRACTION = 0.02  # of either role in the work: without any of one its capacity would seem endless
BUCKET_DEPTH_S = 0.25  # of the rate that may be saved up: a burst no longer than live traffic's own


@dataclass(slots=True, frozen=True)
class Capacity:
    """The fleet's capacity and live demand at a moment, in tokens per s; a capacity of 0 is unknown."""

    prefill_capacity: float  # of warm servers together
    decode_capacity: float
    prefill_demand: float  # of live traffic
    decode_demand: float

    def decode_fraction(self) -> float:
        """The fraction of live work that is decode; half without live work."""
        demand = self.prefill_demand + self.decode_demand
        return self.decode_demand / demand if demand > 0 else 0.5


def spare_capacity(capacity: Capacity, reserve: float, decode_fraction: float) -> float | None:
    """Tokens per s that live traffic leaves over after a reserve; None where a capacity is unknown.

    `reserve`: fraction of the capacity that is not used. `decode_fraction`: of the queued work, the rest is
    prefill; the scarcer role bounds the sum.
    """
    if capacity.prefill_capacity <= 0 or capacity.decode_capacity <= 0:
        return None
    prefill_spare = capacity.prefill_capacity * (1 - reserve) - capacity.prefill_demand
    decode_spare = capacity.decode_capacity * (1 - reserve) - capacity.decode_demand
    prefill_bound = prefill_spare / max(MIN_ROLE_FRACTION, 1 - decode_fraction)
    decode_bound = decode_spare / max(MIN_ROLE_FRACTION, decode_fraction)
    return max(0.0, min(prefill_bound, decode_bound))


class RateController:
    """The rate at which one site's queue is replayed, in tokens per s."""

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
        # For how long the work sent has used the rate, as far as it has not increased it: a site that has
        # little to send must not reach a rate that it never tried.
        self._used_s = 0.0

    def open(self, now_s: float) -> None:
        """Begin to send: the site reaches servers with capacity again."""
        if self._is_open:
            return
        self._is_open = True
        self.rate = self._initial_rate()
        self._not_before_s = now_s + self._rng.uniform(0.0, self._jitter_s)
        self._bucket = TokenBucket(0.0, now_s * 1000)
        self._increased_s = now_s
        self._used_s = 0.0

    def close(self) -> None:
        """Stop sending: the site is partitioned or saturated, and its rate is unknown when it recovers."""
        self._is_open = False
        self.rate = 0.0

    def set_ceiling(self, now_s: float, ceiling: float | None) -> None:
        """Set the maximum rate; a lower one holds at once, toward a higher one the rate increases."""
        if self.ceiling == 0.0 and ceiling and self._is_open:
            self.rate = 0.0
        self.ceiling = ceiling
        if ceiling is not None:
            self.rate = min(self.rate, ceiling)
        if self._is_open and not self.rate:
            self.rate = self._initial_rate()
            self._increased_s = now_s

    def may_send(self, now_s: float) -> bool:
        """Whether an entry may be sent now; an overdrawn bucket is refilled first."""
        if not self._is_open or now_s < self._not_before_s or self.rate <= 0:
            return False
        return self._bucket_level(now_s) > 0

    def may_probe(self, now_s: float) -> bool:
        """Whether one entry may be sent while the site is partitioned."""
        return now_s - self._last_sent_s >= PROBE_INTERVAL_S

    def record_sent(self, now_s: float, work: float) -> None:
        """An entry was sent; `work` in tokens."""
        self._last_sent_s = now_s
        self._bucket.consume(work)
        if self.rate > 0:
            self._used_s += work / self.rate

    def record_served(self, now_s: float) -> None:
        """An entry was served: the rate increases with time, as far as it was used."""
        if not self._is_open or now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        increase = RATE_INCREASE if self.ceiling is None else self.ceiling / RAMP_UP_S
        elapsed_s = max(0.0, min(now_s - self._increased_s, self._used_s))
        self._increased_s = now_s
        self._used_s -= elapsed_s
        self.rate = min(self.rate + increase * elapsed_s, inf if self.ceiling is None else self.ceiling)

    def record_rejected(self, now_s: float) -> None:
        """An entry was rejected or failed: the rate is halved, once for all that one cause brings."""
        self._not_before_s = max(self._not_before_s, now_s + BACKOFF_S)
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self._increased_s = now_s
        self._used_s = 0.0
        self.rate = max(self.rate * DECREASE_FACTOR, self._initial_rate() * DECREASE_FACTOR)
        self.decreases += 1

    def next_send_s(self, now_s: float) -> float:
        """The earliest time at which an entry may be sent if nothing changes; inf: none."""
        if not self._is_open or self.rate <= 0:
            return inf
        return max(self._not_before_s, now_s + max(0.0, -self._bucket_level(now_s)) / self.rate)

    def _bucket_level(self, now_s: float) -> float:
        return self._bucket.refill(now_s * 1000, self.rate / 1000, self.rate * BUCKET_DEPTH_S)

    def _initial_rate(self) -> float:
        return INITIAL_RATE if self.ceiling is None else min(INITIAL_RATE, self.ceiling * INITIAL_FRACTION)
