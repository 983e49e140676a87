"""When a watch of the endpoint list counts as unresponsive; free of I/O and clocks.

Discovery writes an empty line every 2 s, so a watch that brings no complete line for a little longer is
unresponsive, however many single bytes it brings meanwhile. But a long list may take longer than that over a
slow link, and would never be received if each watch were closed meanwhile. So a line of which pieces still
arrive has an allowance. The first two watches in a row get no more time for it than for silence, since a new
watch is mostly a healthy one; from the third on the allowance doubles with each watch.

Where a change counts as known some time after discovery had it, whatever became of the watches, one deadline
holds for all of them: from the last time that the list was known to be complete. Each further watch gets half
of the remaining time, its connection included, so that several in a row can fail before it is over. After the
deadline haste gains nothing, and a watch gets its whole time again.
"""

from __future__ import annotations

from math import inf

BASE_ALLOWANCE_WATCHES = 2  # watches in a row with no more time for an incomplete line than for silence
MAX_ALLOWANCE_FACTOR = 32  # multiple of the idle timeout
REMAINING_FRACTION = 0.5  # of the time until a change counts as known, for each further watch
MIN_FIRST_LINE_S = 0.3  # for any watch: a busy process may take that long to read what has arrived


class WatchTimeout:
    """The deadline of the next data on a watch; times in s."""

    def __init__(
        self, idle_timeout_s: float, staleness_limit_s: float = inf, complete_s: float = 0.0
    ) -> None:
        """`idle_timeout_s`: limit without a complete line, or without any byte of a long one.

        `staleness_limit_s`: time after which a change that was missed counts as known; `complete_s`: when the
        list was last known to be complete, as far as known.
        """
        self._idle_timeout_s = idle_timeout_s
        self._staleness_limit_s = staleness_limit_s
        self._complete_s = complete_s
        self._slow_watches = 0  # in a row that timed out while pieces of a line still arrived
        self._requested_s = complete_s
        self._started_s = complete_s
        self._last_line_s = complete_s
        self._last_byte_s = complete_s
        self._line_incomplete = False
        self._awaits_update = True  # the update that a watch begins with, if any, may be outstanding

    @property
    def allowance_s(self) -> float:
        """How long a line may take to arrive, from the last complete one."""
        doublings = max(0, self._slow_watches - BASE_ALLOWANCE_WATCHES + 1)
        factor: int = 2**doublings
        return self._idle_timeout_s * min(MAX_ALLOWANCE_FACTOR, factor)

    @property
    def deadline_s(self) -> float:
        """When the watch counts as unresponsive unless data arrives before."""
        last_progress_s = self._last_byte_s if self._line_incomplete else self._last_line_s
        deadline_s = min(last_progress_s + self._idle_timeout_s, self._last_line_s + self.allowance_s)
        if not self._awaits_update:
            return deadline_s
        # The response may have begun long after its request, behind which others were sent.
        return min(deadline_s, max(self.first_line_deadline_s, self._started_s + MIN_FIRST_LINE_S))

    @property
    def first_line_deadline_s(self) -> float:
        """By when a requested watch, once connected, must have brought its first line; inf for no limit."""
        remaining_s = self._complete_s + self._staleness_limit_s - self._requested_s
        if remaining_s <= 0:
            return inf
        return self._requested_s + max(MIN_FIRST_LINE_S, REMAINING_FRACTION * remaining_s)

    def watch_requested(self, now_s: float) -> None:
        """A request for a watch is about to be sent."""
        self._requested_s = now_s
        self.watch_started(now_s)

    def watch_started(self, now_s: float) -> None:
        """The head of the response has arrived, and nothing of the first line."""
        self._started_s = now_s
        self._last_line_s = now_s
        self._last_byte_s = now_s
        self._line_incomplete = False
        self._awaits_update = True

    def data_received(
        self, now_s: float, *, has_update: bool, line_ended: bool, line_incomplete: bool
    ) -> None:
        """Data has arrived.

        `has_update`: it completed an object of the list; `line_ended`: it completed such an object or an
        empty line; `line_incomplete`: it ends within a further line.
        """
        self._last_byte_s = now_s
        self._line_incomplete = line_incomplete
        if line_ended:
            self._last_line_s = now_s
        # Outstanding updates come first on a watch: one that goes on with empty lines has none.
        idle_s = now_s - self._started_s
        if has_update or (line_ended and not line_incomplete and idle_s > self._idle_timeout_s):
            self._slow_watches = 0
            self._awaits_update = False
        if line_ended and not self._awaits_update:
            self._complete_s = now_s

    def watch_timed_out(self, now_s: float) -> bool:
        """The watch is closed at its deadline; returns whether pieces of a line still arrived."""
        slow = self._line_incomplete and now_s - self._last_byte_s < self._idle_timeout_s
        if slow:
            self._slow_watches += 1
        return slow

    def address_changed(self, complete_s: float = 0.0) -> None:
        """Discovery has another address, whose speed is unknown; `complete_s`: as for the constructor."""
        self._slow_watches = 0
        self._complete_s = complete_s
