"""Whether a request written to a reused connection has been delivered; free of I/O and clocks.

A machine behind a network partition sends nothing: a request written to an established connection simply
stays unanswered, just as one that waits in the server's queue. A new connection tells the two apart, because
it is established within milliseconds or never. So a server that has owed an answer for a while, and wasn't
reached by any other call since, is checked by opening a connection to it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from ringledge.decide.servers.reachability import Reachability

CHECK_AFTER_MS = 250.0  # without contact: longer than most prefills, and half of the hold limit of an entry
# After a check that succeeded: the request waits in the server's queue, and connections cost the server work.
RECHECK_INTERVAL_MS = 1_500.0


@dataclass(slots=True, frozen=True)
class UnansweredRequest:
    """A request that a server has not answered yet."""

    server: str
    written_ms: float  # when its last byte was written


class DeliveryChecks:
    """Which servers to check, and which requests a failed check shows to be lost.

    Invariant: at most one check is in progress for a server.
    """

    def __init__(self, reachability: Reachability) -> None:
        self._reachability = reachability
        self._checked_ms: dict[
            str, float
        ] = {}  # end of the last check by server; inf while one is in progress

    def take_due_servers(self, now_ms: float, unanswered: Iterable[UnansweredRequest]) -> list[str]:
        """The servers to check now, given all unanswered requests; a check counts as started."""
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
        """A check has ended, whatever its result."""
        self._checked_ms = {
            name: at_ms for name, at_ms in self._checked_ms.items() if now_ms - at_ms < RECHECK_INTERVAL_MS
        }
        self._checked_ms[server] = now_ms

    def is_lost(self, server: str, written_ms: float) -> bool:
        """Whether a failed check shows a request to be lost: its server wasn't reached since the write."""
        return self._reachability.last_contact_ms(server) <= written_ms
