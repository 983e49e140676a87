"""When each server's process started, on this machine's monotonic clock; free of I/O and clocks.

Discovery reports start times in Unix time, by the clocks of other machines. The own clock may have been
stepped before this process read it, by seconds or an hour, and theirs may be stepped later. A wrong clock
makes a server that is warming up look warm, so that it is overloaded, or a warm one look as if it were
warming up for an hour. Only the local order of events is certain: no server starts after its start was
reported, and a server whose start is new in a list that was known to be complete a moment ago has not been
running for long.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MAX_UNLISTED_SERVERS = 1_000  # remembered although no longer listed: some 200 bytes each
MAX_NOTICE_DELAY_MS = 5_000.0  # by which discovery may report a start late, from the last complete list on


@dataclass(slots=True, frozen=True)
class _StartTime:
    """A start time on both clocks."""

    reported_ms: float  # Unix time as discovery reports it
    local_ms: float  # on the monotonic clock


class StartTimes:
    """Translates reported start times to the local clock, keeping their order."""

    def __init__(self) -> None:
        self._clock_offset_ms = 0.0  # by which the local clock is behind discovery's, at least
        self._start_times: dict[str, _StartTime] = {}  # by server

    def update(
        self, now_ms: float, reported_ms: Mapping[str, float], complete_ms: float | None
    ) -> dict[str, float]:
        """Local start times in ms of the servers in an update of the list; 0 where the start was long ago.

        `reported_ms`: start time by server; `complete_ms`: when the list was last known to be complete; None
        for the first list.
        """
        latest_ms = max(reported_ms.values(), default=0.0)
        self._clock_offset_ms = max(self._clock_offset_ms, latest_ms - now_ms)
        return {
            server: self._local_ms(server, start_ms, now_ms, complete_ms)
            for server, start_ms in reported_ms.items()
        }

    def retain(self, servers: Mapping[str, object]) -> None:
        """Forget all other servers once there are many: one behind a partition may return as it was."""
        if len(self._start_times) > MAX_UNLISTED_SERVERS + len(servers):
            self._start_times = {
                server: start for server, start in self._start_times.items() if server in servers
            }

    def _local_ms(self, server: str, reported_ms: float, now_ms: float, complete_ms: float | None) -> float:
        if reported_ms <= 0:
            return 0.0
        known = self._start_times.get(server)
        if known is not None and known.reported_ms == reported_ms:
            return known.local_ms
        local_ms = reported_ms - self._clock_offset_ms
        if complete_ms is not None and local_ms < complete_ms - MAX_NOTICE_DELAY_MS:
            local_ms = now_ms  # so old a start would have been reported before: the clocks differ
        self._start_times[server] = _StartTime(reported_ms, local_ms)
        return local_ms
