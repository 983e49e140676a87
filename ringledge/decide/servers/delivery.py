"""Checks whether a request written to a reused connection was delivered; free of I/O and clocks.

A request that is written to an established connection across a network partition gets no answer, exactly like
one that waits in its server's queue. Opening a new connection tells the two cases apart, because it succeeds
within milliseconds or not at all. A server is therefore checked in this way if it has not answered a request
for some time and no other call has reached it since.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from ringledge.decide.servers.reachability import Reachability

# Time without contact after which a server is checked: longer than most prefills, and half the hold limit of
# a KV cache entry.
CHECK_AFTER_MS = 250.0
# Time between two checks of a server: after a successful one the request is known to wait in the server's
# queue, and each connection costs the server work.
RECHECK_INTERVAL_MS = 1_500.0


@dataclass(slots=True, frozen=True)
class UnansweredRequest:
    """A request that its server has not answered yet."""

    server: str
    written_ms: float  # when the last byte of the request was written


class DeliveryChecks:
    """Selects the servers to check, and the requests that are lost if a check fails.

    Invariant: at most one check per server is in progress.
    """

    def __init__(self, reachability: Reachability) -> None:
        self._reachability = reachability
        # When the last check of each server ended; inf while one is in progress.
        self._checked_ms: dict[str, float] = {}

    def take_due_servers(self, now_ms: float, unanswered: Iterable[UnansweredRequest]) -> list[str]:
        """The servers to check now, given all unanswered requests; their checks count as started."""
        due = list[str]()
        for request in unanswered:
            last_ms = max(request.written_ms, self._reachability.last_contact_ms(request.server))
            checked_ms = self._checked_ms.get(request.server, -inf)
            if now_ms - last_ms < CHECK_AFTER_MS or now_ms - checked_ms < RECHECK_INTERVAL_MS:
                continue
            self._checked_ms[request.server] = inf
            due.append(request.server)
        return due

    def check_finished(self, now_ms: float, server: str) -> None:
        """Record that a check has ended, whether or not it succeeded."""
        self._checked_ms = {
            name: at_ms for name, at_ms in self._checked_ms.items() if now_ms - at_ms < RECHECK_INTERVAL_MS
        }
        self._checked_ms[server] = now_ms

    def is_lost(self, server: str, written_ms: float) -> bool:
        """Whether a request is lost given a failed check: no call has reached its server since the write."""
        return self._reachability.last_contact_ms(server) <= written_ms
