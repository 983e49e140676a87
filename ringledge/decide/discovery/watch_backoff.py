"""The delay before the next watch of the endpoint list; free of I/O and clocks.

Where lists are asked for, one discovery service of fixed capacity serves all routers. While overloaded it
takes seconds for a request, and also serves those whose clients have given up. All routers together therefore
send twenty requests per second at first, and fewer after each failure. The first delay is capped, since a
watch may also fail without overload.

A refused connection is no sign of overload and costs the service nothing: it is down. A change must be known
6 s after the service has it and can be reached again, however many routers there are, so the delays between
refused connections have a bound below that, and do not lengthen those after other failures.

Where lists are pushed, watches go to an agent on the router's own machine, which answers at once and at no
cost. It sends nothing while discovery is down, and the router must know changes as soon as the agent has
received them afterwards. The delays between watches are therefore short.
"""

from __future__ import annotations

import random

from ringledge.decide.backoff import Backoff

INITIAL_BACKOFF_PER_ROUTER_S = 0.1
MAX_INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_PER_ROUTER_S = 1.0
MAX_REFUSED_BACKOFF_S = 4.5  # leaves 1.5 s of the 6 s for the connection and the response
PUSH_INITIAL_BACKOFF_S = 0.02
PUSH_MAX_BACKOFF_S = 0.1


class WatchBackoff:
    """The delays between the watches of one router, in s."""

    def __init__(self, is_push: bool, routers: int, rng: random.Random) -> None:
        """`routers` is the number of routers in the fleet; `rng` draws the delays."""
        router_count = max(1, routers)
        initial_s = min(MAX_INITIAL_BACKOFF_S, INITIAL_BACKOFF_PER_ROUTER_S * router_count)
        max_s = MAX_BACKOFF_PER_ROUTER_S * router_count
        if is_push:
            initial_s, max_s = PUSH_INITIAL_BACKOFF_S, PUSH_MAX_BACKOFF_S
        self._after_failure = Backoff(initial_s, max_s, rng)
        self._after_refusal = Backoff(initial_s, min(MAX_REFUSED_BACKOFF_S, max_s), rng)

    def next_delay_s(self, *, refused: bool = False) -> float:
        """The delay after one more watch has ended; `refused`: its connection was refused."""
        backoff = self._after_refusal if refused else self._after_failure
        return backoff.next_delay_s()

    def reset(self) -> None:
        """Return to the initial delays, after data of the list has arrived."""
        self._after_failure.reset()
        self._after_refusal.reset()
