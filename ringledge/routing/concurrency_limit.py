"""An adaptive limit on the uncached tokens that one router has in flight at all prefill servers.

A router of many sees each prefill server too seldom to know its queue, but all its prefills together tell
whether they queue. The limit is that of a sender on a shared network (additive increase, multiplicative
decrease: Chiu and Jain 1989). There is none while nothing waits; a wait decreases it, unless another server
has prefilled without a wait lately (one is slow then, not all); prefills without a wait increase it, and a
while without congestion lifts it. No I/O, no clock.
"""

from __future__ import annotations

from math import inf

WAIT_SHARE = 0.3  # of the target time that a prefill waits in congestion: the rest has to do for the decode
RECENT_MS = 1_000.0  # ms for which a prefill without a wait tells of other servers: about a congested wait
DECREASE_FACTOR = 0.7  # of the limit, or of what is in flight if less, that a wait leaves: as on networks
INCREASE_TOKENS = 600.0  # by which a prefill without a wait raises the limit: about a short prefill
LIFT_AFTER_MS = 3_000.0  # ms without congestion after which nothing is limited: a few times a congested wait
BASE_PRIORITY = 0.3  # added to each request's priority: the lowest is rejected first, not alone


class ConcurrencyLimit:
    """The limit of one router: `inf` while there is none."""

    def __init__(self) -> None:
        self.limit_tokens = inf
        self.decreased_ms = -inf  # last decrease
        self.congested_ms = -inf  # last sign of congestion
        self.uncongested_ms = -inf  # last prefill without a wait

    def observe_wait(self, now_ms: float, wait_share: float, sent_ms: float) -> bool:
        """Record a prefill that ended, or was cancelled, after a wait beyond its own work.

        `wait_share` is that wait as a share of the target time. Returns whether it calls for a decrease.
        """
        if wait_share <= WAIT_SHARE:
            self.uncongested_ms = now_ms
            self.limit_tokens += INCREASE_TOKENS
            if now_ms - self.congested_ms > LIFT_AFTER_MS:
                self.limit_tokens = inf
        elif now_ms - self.uncongested_ms > RECENT_MS:
            self.congested_ms = now_ms
            return sent_ms >= self.decreased_ms  # sent before the last decrease, it tells of its cause
        return False

    def decrease(self, now_ms: float, in_flight_tokens: float, floor_tokens: float) -> None:
        """Limit what is in flight; `floor_tokens` congest nothing, even at every router at once."""
        self.limit_tokens = max(floor_tokens, DECREASE_FACTOR * min(self.limit_tokens, in_flight_tokens))
        self.decreased_ms = now_ms

    def admits(self, in_flight_tokens: float, tokens: float, priority: float, draw: float) -> bool:
        """Whether a prefill of that many tokens, at a priority of at most 1, may be sent.

        `draw` is uniform from 0 to 1: were all routers to hold a prefill back at once, nothing would tell
        when the congestion is over.
        """
        return in_flight_tokens + draw * tokens / (BASE_PRIORITY + priority) < self.limit_tokens
