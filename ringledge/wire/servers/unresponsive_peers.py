"""Detection of unresponsive servers: streams that stall, and requests that were not delivered."""

from __future__ import annotations

import math
import time

import anyio

from ringledge.core.records import Attempt
from ringledge.decide.servers.cache_hold import ReleaseReason
from ringledge.decide.servers.delivery import DeliveryChecks, UnansweredRequest
from ringledge.observe.logging import log
from ringledge.observe.stalls import HEARTBEAT_INTERVAL_S, STALL_THRESHOLD_S, stall_detector
from ringledge.wire.servers.connections import ServerConnections
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.entry_releases import EntryReleases
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.resumption import ResumedServers

# Extra time before the entries of a request on a new connection are released, since it may wait in a queue at
# the server. Part of the 300 ms that an entry may be held beyond the configured limit.
NEW_CONNECTION_SLACK_MS = 50.0
CHECK_INTERVAL_S = HEARTBEAT_INTERVAL_S
MIN_CHECK_INTERVAL_S = 0.005  # interval when the release of an entry is due soon


class UnresponsivePeerDetector:
    """Checks all attempts in flight at an interval, which costs less than a timer for each chunk."""

    def __init__(
        self,
        context: UpstreamContext,
        in_flight: dict[Attempt, InFlightAttempt],
        connections: ServerConnections,
        entry_releases: EntryReleases,
        resumed_servers: ResumedServers,
    ) -> None:
        """`in_flight` contains all attempts in flight; its owner keeps it up to date."""
        self._tasks = context.tasks
        self._servers = context.servers
        self._clock = context.clock
        self._hold_limit_ms = context.hold_limit_ms
        self._in_flight = in_flight
        self._connections = connections
        self._entry_releases = entry_releases
        self._resumed_servers = resumed_servers
        self._delivery_checks = DeliveryChecks(connections.reachability)

    async def run(self) -> None:
        """Cancel unresponsive streams, and check servers with unanswered requests; runs until cancelled."""
        stall_detector.record_heartbeat()
        while True:
            interval_s = self._next_check_s()
            due_s = time.monotonic() + interval_s
            await anyio.sleep(interval_s)
            stall_detector.record_heartbeat()  # in this loop, to save the wake-ups of a second one
            if time.monotonic() - due_s > STALL_THRESHOLD_S:
                self._defer_unread_streams()
            if self._in_flight:
                self._check_attempts()

    def _next_check_s(self) -> float:
        """Time until the next check: the interval, or less if the release of an entry is due before."""
        due_ms = (self._release_due_ms(*item) for item in self._in_flight.items())
        remaining_s = (min(due_ms, default=math.inf) - self._clock.now_ms()) / 1000
        return min(CHECK_INTERVAL_S, max(MIN_CHECK_INTERVAL_S, remaining_s))

    def _release_due_ms(self, attempt: Attempt, state: InFlightAttempt) -> float:
        """When the entries of an attempt's request are to be released, unless its response begins before.

        A reused connection may be dead without notice while its server works and accepts new ones; a new
        connection rarely is, but may be dead or slow too. A server that has received the request keeps the
        entry that it waits for, whichever server is told to release it.
        """
        cache = attempt.record.cache
        if cache.releasing or state.response_began():
            return math.inf
        slack_ms = NEW_CONNECTION_SLACK_MS if attempt.on_new_connection else 0.0
        return cache.idle_since_ms + self._hold_limit_ms + slack_ms

    def _defer_unread_streams(self) -> None:
        """After a stall of this process, let events that have arrived meanwhile be read before the check."""
        earliest_s = time.monotonic() + CHECK_INTERVAL_S
        for state in self._in_flight.values():
            if state.event_deadline_s < earliest_s and state.conn is not None and state.conn.readable():
                state.event_deadline_s = earliest_s

    def _check_attempts(self) -> None:
        now_s = time.monotonic()
        unanswered = list[UnansweredRequest]()
        for attempt, state in list(self._in_flight.items()):
            if state.event_deadline_s < now_s and not state.relaying:
                state.scope.cancel()
                continue
            if _is_unanswered(attempt, state) and attempt.in_flight:
                unanswered.append(UnansweredRequest(attempt.server, state.written_ms))
                state.update_delivered(attempt)
            if self._release_due_ms(attempt, state) <= self._clock.now_ms():
                self._release_unless_answered(attempt, state)
        self._resumed_servers.check(dict.fromkeys(attempt.record for attempt in self._in_flight))
        for server in self._delivery_checks.take_due_servers(self._clock.now_ms(), unanswered):
            self._tasks.start_soon(self._check_server, server)

    async def _check_server(self, server: str) -> None:
        """Open a connection to a server, to find out whether it can still be reached."""
        address = self._servers.address(server) or ""
        try:
            if address:
                timeout_s = self._connections.connect_timeout_s()
                conn = await self._connections.open(server, address, timeout_s)
                self._connections.pool.release(address, conn)
        except TimeoutError:
            self._abandon_lost_attempts(server)
        except OSError:  # no listener, or the connection limit is reached: its exchanges end by themselves
            pass
        finally:
            self._delivery_checks.check_finished(self._clock.now_ms(), server)

    def _abandon_lost_attempts(self, server: str) -> None:
        """Cancel the lost attempts at an unreachable server, except those that must not run twice."""
        for attempt, state in list(self._in_flight.items()):
            if attempt.server != server or not _is_unanswered(attempt, state):
                continue
            if not self._delivery_checks.is_lost(server, state.written_ms):
                continue
            record = attempt.record
            log.info("attempt_server_unreachable", server=server, request=record.request_id)
            if attempt.at_most_once:  # it may still get a response
                self._release_unless_answered(attempt, state)
            else:
                state.scope.cancel()

    def _release_unless_answered(self, attempt: Attempt, state: InFlightAttempt) -> None:
        """Release what servers may hold, unless the response has begun, even if it arrives slowly."""
        state.update_delivered(attempt)
        cache = attempt.record.cache
        if cache.is_idle and not cache.releasing and not state.response_began():
            self._entry_releases.start(attempt.record, ReleaseReason.NOT_DELIVERED)


def _is_unanswered(attempt: Attempt, state: InFlightAttempt) -> bool:
    """Whether the attempt's request was written completely, and no stream has begun."""
    return not attempt.streaming and state.written_ms < math.inf
