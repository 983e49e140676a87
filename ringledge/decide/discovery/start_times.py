"""Start times of the servers' processes on this machine's monotonic clock; free of I/O and clocks.

Discovery reports start times in Unix time, by the clocks of other machines. The local clock may have been
stepped by seconds or an hour before this process read it, and the others may be stepped later. A wrong clock
makes a server that is warming up look warm, so that it is overloaded, or makes a warm server look as if it
were warming up for an hour. Only the local order of events is certain: no server starts after its start was
reported, and a server whose start is new in a list that was known to be complete a moment ago has not been
running for long.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MAX_UNLISTED_SERVERS = 1_000  # retained although no longer listed; about 200 bytes each
# Longest delay with which discovery reports a start, counted from the last complete list on.
MAX_NOTICE_DELAY_MS = 5_000.0


@dataclass(slots=True, frozen=True)
class _StartTime:
    """A start time by both clocks."""

    reported_ms: float  # Unix time reported by discovery
    local_ms: float  # monotonic time


class StartTimes:
    """Translates reported start times to the local clock, and preserves their order."""

    def __init__(self) -> None:
        self._clock_offset_ms = 0.0  # lower bound of discovery's clock minus the local clock
        self._start_times: dict[str, _StartTime] = {}  # by server

    def update(
        self, now_ms: float, reported_ms: Mapping[str, float], last_complete_ms: float | None
    ) -> dict[str, float]:
        """Local start time (ms) of each server in an update of the list; 0 if it started long ago.

        `reported_ms`: reported start time by server; `last_complete_ms`: when the list was last known to be
        complete, None for the first list.
        """
        latest_ms = max(reported_ms.values(), default=0.0)
        self._clock_offset_ms = max(self._clock_offset_ms, latest_ms - now_ms)
        return {
            server: self._local_ms(server, start_ms, now_ms, last_complete_ms)
            for server, start_ms in reported_ms.items()
        }

    def retain(self, servers: Mapping[str, object]) -> None:
        """Remove other servers, but only if there are many: a partitioned server may be listed again."""
        if len(self._start_times) > MAX_UNLISTED_SERVERS + len(servers):
            self._start_times = {
                server: start for server, start in self._start_times.items() if server in servers
            }

    def _local_ms(
        self, server: str, reported_ms: float, now_ms: float, last_complete_ms: float | None
    ) -> float:
        if reported_ms <= 0:
            return 0.0
        known_start = self._start_times.get(server)
        if known_start is not None and known_start.reported_ms == reported_ms:
            return known_start.local_ms
        local_ms = reported_ms - self._clock_offset_ms
        if last_complete_ms is not None and local_ms < last_complete_ms - MAX_NOTICE_DELAY_MS:
            local_ms = now_ms  # a start this old would have been reported earlier, so the clocks differ
        self._start_times[server] = _StartTime(reported_ms, local_ms)
        return local_ms
