"""Detection of unresponsive servers: streams without chunks, and requests that were never delivered."""

from __future__ import annotations

import math
import time

import anyio

from ringledge.core.records import Attempt
from ringledge.decide.servers.cache_hold import ReleaseReason
from ringledge.decide.servers.delivery import DeliveryChecks, UnansweredRequest
from ringledge.observe.logging import log
from ringledge.observe.stalls import HEARTBEAT_INTERVAL_S, stall_detector
from ringledge.wire.servers.connections import ServerConnections
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.entry_releases import EntryReleases
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.resumption import ResumedServers

# Of the 300 ms that an entry may be held beyond the configured limit: time for a queue at the server.
NEW_CONNECTION_SLACK_MS = 50.0
CHECK_INTERVAL_S = HEARTBEAT_INTERVAL_S
MIN_CHECK_INTERVAL_S = 0.005  # towards the moment in which an entry is to be released


class UnresponsivePeerDetector:
    """Walks over all attempts in flight at an interval, which costs less than a timer for each chunk."""

    def __init__(
        self,
        context: UpstreamContext,
        in_flight: dict[Attempt, InFlightAttempt],
        connections: ServerConnections,
        entry_releases: EntryReleases,
        resumed_servers: ResumedServers,
    ) -> None:
        """`in_flight`: all attempts in flight, kept up to date by its owner."""
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
        """Cancel unresponsive streams, and check servers that owe answers, for ever."""
        stall_detector.record_heartbeat()
        while True:
            await anyio.sleep(self._next_check_s())
            stall_detector.record_heartbeat()  # also here, so that the process needn't wake for a second loop
            if self._in_flight:
                self._check_attempts()

    def _next_check_s(self) -> float:
        """How long until the next check: the interval, or less where an entry is to be released before."""
        due_ms = (self._release_due_ms(*each) for each in self._in_flight.items())
        remaining_s = (min(due_ms, default=math.inf) - self._clock.now_ms()) / 1000
        return min(CHECK_INTERVAL_S, max(MIN_CHECK_INTERVAL_S, remaining_s))

    def _release_due_ms(self, attempt: Attempt, state: InFlightAttempt) -> float:
        """When what may be held beside an attempt is to be released, unless its response begins before.

        A reused connection may be dead without notice while its server is well and accepts new ones; a new
        connection rarely is, but may be dead or slow too. A server that has received the request keeps the
        entry it waits for, whoever releases it.
        """
        cache = attempt.record.cache
        if cache.releasing or state.response_began():
            return math.inf
        slack_ms = NEW_CONNECTION_SLACK_MS if attempt.on_new_connection else 0.0
        return cache.idle_since_ms + self._hold_limit_ms + slack_ms

    def _check_attempts(self) -> None:
        now_s = time.monotonic()
        unanswered = list[UnansweredRequest]()
        for attempt, state in list(self._in_flight.items()):
            if state.chunk_deadline_s < now_s and not state.relaying:
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
        """Open a connection to a server, to learn whether it can still be reached."""
        address = self._servers.address(server) or ""
        try:
            if address:
                timeout_s = self._connections.connect_timeout_s()
                conn = await self._connections.open(server, address, timeout_s)
                self._connections.pool.release(address, conn)
        except TimeoutError:
            self._abandon_lost_attempts(server)
        except OSError:  # no process listens, or no socket is left: its exchanges end by themselves
            pass
        finally:
            self._delivery_checks.check_finished(self._clock.now_ms(), server)

    def _abandon_lost_attempts(self, server: str) -> None:
        """Cancel the attempts that are lost at an unreachable server, unless they must not run twice."""
        for attempt, state in list(self._in_flight.items()):
            if attempt.server != server or not _is_unanswered(attempt, state):
                continue
            if not self._delivery_checks.is_lost(server, state.written_ms):
                continue
            record = attempt.record
            log.info("attempt_server_unreachable", server=server, request=record.request_id)
            if attempt.at_most_once:  # it may still be answered
                self._release_unless_answered(attempt, state)
            else:
                state.scope.cancel()

    def _release_unless_answered(self, attempt: Attempt, state: InFlightAttempt) -> None:
        """Release what servers may hold, unless the response has begun, however slowly it comes."""
        state.update_delivered(attempt)
        cache = attempt.record.cache
        if cache.is_idle and not cache.releasing and not state.response_began():
            self._entry_releases.start(attempt.record, ReleaseReason.NOT_DELIVERED)


def _is_unanswered(attempt: Attempt, state: InFlightAttempt) -> bool:
    """Whether the attempt's request was written completely, and no stream has begun."""
    return not attempt.streaming and state.written_ms < math.inf
