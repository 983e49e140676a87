"""The timeout of a watch of the endpoint list; free of I/O and clocks.

Discovery sends an empty line every 2 s, so a watch without a complete line for slightly longer is
unresponsive, even if single bytes arrive. However, a long list may take longer over a slow link, and would
never be received if every watch were closed after that time. Therefore a line of which data still arrives has
an allowance. For the first two watches in a row it equals the idle timeout, since a new watch is usually
responsive; from the third watch on, the allowance doubles with each watch.

With a staleness limit, the router is expected to know a change that long after discovery had it, even if
watches have failed. One deadline then applies to all watches: the staleness limit after the list was last
known to be complete. Each new watch gets half of the remaining time, including its connection, so that
several watches can fail before the deadline. After the deadline there is no benefit in hurrying, and a watch
gets its full time again.
"""

from __future__ import annotations

from math import inf

BASE_ALLOWANCE_WATCHES = 2  # number of watches in a row whose allowance is the idle timeout
MAX_ALLOWANCE_FACTOR = 32  # largest allowance as a multiple of the idle timeout
REMAINING_FRACTION = 0.5  # part of the time until the staleness deadline that a new watch gets
MIN_FIRST_LINE_S = 0.3  # shortest time for the first line; a busy process may read it this late


class WatchTimeout:
    """The deadline by which data must arrive on a watch; times in s."""

    def __init__(
        self, idle_timeout_s: float, staleness_limit_s: float = inf, last_complete_s: float = 0.0
    ) -> None:
        """`idle_timeout_s`: longest time without a complete line, or without any byte of a long line.

        `staleness_limit_s`: time after which the router is expected to know a change; `last_complete_s`: when
        the list was last known to be complete.
        """
        self._idle_timeout_s = idle_timeout_s
        self._staleness_limit_s = staleness_limit_s
        self._last_complete_s = last_complete_s
        self._slow_watches = 0  # consecutive watches that timed out while data of a line still arrived
        self._requested_s = last_complete_s
        self._started_s = last_complete_s
        self._last_line_s = last_complete_s
        self._last_byte_s = last_complete_s
        self._line_incomplete = False
        self._awaits_update = True  # whether the update with which a watch may begin can still arrive

    @property
    def allowance_s(self) -> float:
        """The longest time in which a line may arrive, counted from the last complete line."""
        doublings = max(0, self._slow_watches - BASE_ALLOWANCE_WATCHES + 1)
        factor: int = 2**doublings
        return self._idle_timeout_s * min(MAX_ALLOWANCE_FACTOR, factor)

    @property
    def deadline_s(self) -> float:
        """The time at which the watch is unresponsive unless data arrives before."""
        last_progress_s = self._last_byte_s if self._line_incomplete else self._last_line_s
        deadline_s = min(last_progress_s + self._idle_timeout_s, self._last_line_s + self.allowance_s)
        if not self._awaits_update:
            return deadline_s
        # The response may begin long after its request, after which further requests for a watch were sent.
        # So the first line has some time from then on, too.
        return min(deadline_s, max(self.first_line_deadline_s, self._started_s + MIN_FIRST_LINE_S))

    @property
    def first_line_deadline_s(self) -> float:
        """The time by which the first line of a requested watch must have arrived; inf for no limit."""
        remaining_s = self._last_complete_s + self._staleness_limit_s - self._requested_s
        if remaining_s <= 0:
            return inf
        return self._requested_s + max(MIN_FIRST_LINE_S, REMAINING_FRACTION * remaining_s)

    def watch_requested(self, now_s: float) -> None:
        """Record that the request for a watch is about to be sent."""
        self._requested_s = now_s
        self.watch_started(now_s)

    def watch_started(self, now_s: float) -> None:
        """Record the arrival of the head of the response, without data of the first line."""
        self._started_s = now_s
        self._last_line_s = now_s
        self._last_byte_s = now_s
        self._line_incomplete = False
        self._awaits_update = True

    def data_received(
        self, now_s: float, *, has_update: bool, line_ended: bool, line_incomplete: bool
    ) -> None:
        """Record the arrival of data.

        `has_update`: the data completed an object of the list; `line_ended`: it completed such an object or
        an empty line; `line_incomplete`: it ends within another line.
        """
        self._last_byte_s = now_s
        self._line_incomplete = line_incomplete
        if line_ended:
            self._last_line_s = now_s
        # A watch begins with an outstanding update, so after the idle timeout with empty lines there is none.
        idle_s = now_s - self._started_s
        if has_update or (line_ended and not line_incomplete and idle_s > self._idle_timeout_s):
            self._slow_watches = 0
            self._awaits_update = False
        if line_ended and not self._awaits_update:
            self._last_complete_s = now_s

    def watch_timed_out(self, now_s: float) -> bool:
        """Record that the watch was closed at its deadline; returns whether data of a line still arrived."""
        is_slow = self._line_incomplete and now_s - self._last_byte_s < self._idle_timeout_s
        if is_slow:
            self._slow_watches += 1
        return is_slow

    def address_changed(self, last_complete_s: float = 0.0) -> None:
        """Reset for another address of discovery, whose speed is unknown.

        `last_complete_s` is as in the constructor.
        """
        self._slow_watches = 0
        self._last_complete_s = last_complete_s
