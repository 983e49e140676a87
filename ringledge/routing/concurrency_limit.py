"""Adaptive limit on the uncached tokens that one router has in flight on all prefill servers together.

One of many routers sees each prefill server too rarely to know its queue, but its prefills taken together
show whether the servers queue. The limit follows the congestion control of network senders: additive increase
and multiplicative decrease (Chiu and Jain 1989). Without congestion there is no limit. A prefill that waited
decreases the limit, unless another server has recently prefilled without a wait: then a single server is
slow, not all. Prefills without a wait increase the limit, and a period without congestion removes it. The
module does no I/O and reads no clock.
"""

from __future__ import annotations

from math import inf

# Share of the target time above which a prefill's wait counts as congestion. The rest is for the decode.
CONGESTION_WAIT_SHARE = 0.3
# Time for which a prefill without a wait shows that other servers are not congested: about the length of a
# wait in congestion.
UNCONGESTED_VALIDITY_MS = 1_000.0
# Factor applied on congestion to the limit, or to the tokens in flight if they are fewer. The value is usual
# in the congestion control of networks.
DECREASE_FACTOR = 0.7
# Increase of the limit after each prefill without a wait: about the tokens of a short prefill.
INCREASE_TOKENS = 600.0
# Time without congestion after which the limit is removed: a few times a wait in congestion.
LIFT_AFTER_MS = 3_000.0
# Added to each priority, so that the lowest priority is rejected first but not exclusively.
BASE_PRIORITY = 0.3


class ConcurrencyLimit:
    """Concurrency limit of one router; `limit_tokens` is `inf` while there is no limit."""

    def __init__(self) -> None:
        self.limit_tokens = inf
        self.decreased_ms = -inf  # time of the last decrease
        self.congested_ms = -inf  # time of the last sign of congestion
        self.uncongested_ms = -inf  # time of the last prefill without a wait

    def observe_wait(self, now_ms: float, wait_share: float, sent_ms: float) -> bool:
        """Record how long an ended or cancelled prefill has waited; return whether to call `decrease`.

        `wait_share` is its wait beyond its own work, as a share of the target time.
        """
        if wait_share <= CONGESTION_WAIT_SHARE:
            self.uncongested_ms = now_ms
            self.limit_tokens += INCREASE_TOKENS
            if now_ms - self.congested_ms > LIFT_AFTER_MS:
                self.limit_tokens = inf
        elif now_ms - self.uncongested_ms > UNCONGESTED_VALIDITY_MS:
            self.congested_ms = now_ms
            # A prefill sent before the last decrease met the congestion that this decrease responded to.
            return sent_ms >= self.decreased_ms
        return False

    def decrease(self, now_ms: float, in_flight_tokens: float, floor_tokens: float) -> None:
        """Lower the limit, but not below `floor_tokens`, which all routers can use at once uncongested."""
        self.limit_tokens = max(floor_tokens, DECREASE_FACTOR * min(self.limit_tokens, in_flight_tokens))
        self.decreased_ms = now_ms

    def admits(self, in_flight_tokens: float, tokens: float, priority: float, draw: float) -> bool:
        """Whether a prefill of `tokens` tokens may be sent, given its priority of at most 1.

        `draw` is a uniform random number from 0 to 1, because of which the routers reject only part of their
        prefills. If they rejected all, none of them would see the end of the congestion.
        """
        return in_flight_tokens + draw * tokens / (BASE_PRIORITY + priority) < self.limit_tokens
