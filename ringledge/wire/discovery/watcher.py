"""Client of the discovery service: watches the endpoint list, and hands changes to the conductor."""

from __future__ import annotations

import random
import time

import anyio
import h11
from anyio.abc import TaskGroup

from ringledge.core.conductor import Conductor
from ringledge.decide.backoff import Backoff
from ringledge.decide.discovery.start_times import StartTimes
from ringledge.decide.discovery.watch_timeout import WatchTimeout
from ringledge.memory.endpoint_list import Endpoint, EndpointListing, ListError, decode
from ringledge.memory.names import WireNames
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    MembershipMode,
    ServerEntry,
)
from ringledge.wire.discovery.endpoint_request import open_response
from ringledge.wire.discovery.hedged_requests import HedgedRequests
from ringledge.wire.discovery.json_stream import JsonStreamSplitter
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.messages import read_body
from ringledge.wire.servers.upstream import Upstream

AVAILABILITY = {"active": Availability.UP, "leaving": Availability.DRAINING, "left": Availability.REMOVED}
IDLE_TIMEOUT_S = 3.0  # of a watch without a complete line: discovery writes an empty one every 2 s
MAX_LIST_BYTES = 4 * 1024 * 1024  # of a list, or of one object of changes
# Bounds of the backoff before a failed watch is requested again, in s for each router of the tier: one
# discovery of fixed capacity serves them all, takes seconds for a request while it is overloaded, and also
# serves requests whose callers have given up. So the tier sends twenty requests a second at first, then ever
# fewer. A watch may also break by itself: changes count as known after 6 s, so the first delay is never long.
INITIAL_BACKOFF_PER_ROUTER_S = 0.1
MAX_INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_PER_ROUTER_S = 1.0
# With pushed lists an agent on the router's own machine holds them. It answers at once and at no cost, sends
# nothing while discovery is down, and what it receives afterwards counts as known at once. A router that
# waits between watches learns of it late, so a new watch is requested soon.
PUSH_INITIAL_BACKOFF_S = 0.02
PUSH_MAX_BACKOFF_S = 0.1
PUSH_IDLE_TIMEOUT_S = 2.5
PUSH_STALENESS_LIMIT_S = 5.6  # of all watches in a row: a change counts as known after 6 s
RECONFIGURED_STALENESS_LIMIT_S = 3.6  # after a new configuration: from then on changes count after 4 s
START_STALENESS_LIMIT_S = 1.0  # at a start, when the agent's list counts at once: the first watch gets half
# With pushed lists a further request is sent where there is no response within this, connection included.
RESPONSE_TIMEOUT_S = 1.0
PUSH_MAX_PENDING_REQUESTS = 8  # an agent that takes a few seconds for each response is heard


class DiscoveryClient:
    """Keeps one watch open, and hands each change to the conductor as it arrives."""

    def __init__(self, address: str, names: WireNames, conductor: Conductor, rng: random.Random) -> None:
        self.address = address
        self._names = names
        self._conductor = conductor
        settings = conductor.context.settings
        self._is_push = settings.membership == MembershipMode.PUSH
        self._backoff = _make_backoff(self._is_push, settings.routers, rng)
        self._timeout = _make_timeout(self._is_push)
        self.last_received_s = time.monotonic()
        self.synchronized = anyio.Event()  # the outstanding updates of a watch have been applied
        self._watch_scope = anyio.CancelScope()  # of the watch, or of the delay before the next one
        self._requests = HedgedRequests(PUSH_MAX_PENDING_REQUESTS if self._is_push else 1)  # for a watch
        self._start_times = StartTimes()
        self._complete_ms: float | None = (
            None  # when the list was last known to be complete (conductor's clock)
        )

    def apply(self, listing: EndpointListing, kind: EndpointUpdateKind | None = None) -> None:
        """Hand one object of the list to the conductor; `kind` overrides the kind that it states itself."""
        if kind is None:
            kind = EndpointUpdateKind.FULL if listing.snapshot else EndpointUpdateKind.CHANGES
        now_ms = self._conductor.clock.now_ms()
        reported_ms = {endpoint.name: endpoint.since_ms for endpoint in listing.endpoints}
        started_ms = self._start_times.update(now_ms, reported_ms, self._complete_ms)
        entries = [self._entry(endpoint, started_ms[endpoint.name]) for endpoint in listing.endpoints]
        addresses = {endpoint.name: endpoint.address for endpoint in listing.endpoints}
        if kind is not EndpointUpdateKind.PERSISTED:
            self._complete_ms = now_ms
        self._conductor.update_endpoints(EndpointUpdate(kind, listing.index, tuple(entries)), addresses)
        self._start_times.retain(self._conductor.context.servers.entries)
        up = [entry for entry in entries if entry.availability == Availability.UP]
        fresh = {entry.server: entry.started_ms for entry in up if entry.started_ms > 0}
        log.info(
            "endpoint_list_received", form=kind.value, index=listing.index, entries=len(entries), fresh=fresh
        )

    def change_address(self, address: str) -> None:
        """Discovery has another address: the watch continues there at once."""
        self.address = address
        self._backoff.reset()
        self._timeout.address_changed(_complete_s_for(RECONFIGURED_STALENESS_LIMIT_S))
        self._requests.cancel()
        self._watch_scope.cancel()

    async def watch(self) -> None:
        """Watch from the last index on, for ever, with backoff between watches that end."""
        async with anyio.create_task_group() as tasks:
            while True:
                delay_s = await self._watch_until_end(tasks)
                with anyio.CancelScope() as self._watch_scope:  # a new address needs no delay
                    await self._requests.wait_for_response(delay_s)

    async def fetch_on_request(self, upstream: Upstream) -> None:
        """Fetch the whole list whenever the policy requests it, for ever."""
        while True:
            await upstream.endpoints_wanted.wait()
            upstream.endpoints_wanted = anyio.Event()
            try:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    listing = await self._fetch()
                self.apply(listing)
            except (*PEER_ERRORS, ListError) as error:
                log.warning("endpoint_list_fetch_failed", error=repr(error))
                self._conductor.update_endpoints(EndpointUpdate(EndpointUpdateKind.FAILED), {})

    def _entry(self, endpoint: Endpoint, started_ms: float) -> ServerEntry:
        """One server in the terms of the decisions."""
        return ServerEntry(
            endpoint.name,
            self._names.index(self._names.zones, endpoint.zone),
            self._names.index(self._names.kinds, endpoint.type),
            endpoint.group,
            # A server in an unknown state gets no new requests, which is always permitted.
            AVAILABILITY.get(endpoint.status, Availability.DRAINING),
            endpoint.weight,
            endpoint.since_ms,
            started_ms,
        )

    async def _watch_until_end(self, tasks: TaskGroup) -> float:
        """Run one watch, and log how it ended; returns the delay before the next one."""
        try:
            with anyio.CancelScope() as self._watch_scope:
                await self._watch_once(tasks)
        except (TimeoutError, *PEER_ERRORS, ListError) as error:
            delay_s = self._backoff.next_delay_s()
            _log_failure(error, delay_s)
            return delay_s
        delay_s = 0.0 if self._watch_scope.cancelled_caught else self._backoff.next_delay_s()
        log.info("endpoint_watch_ended", again_s=round(delay_s, 3))
        return delay_s

    async def _watch_once(self, tasks: TaskGroup) -> None:
        """Watch until the server ends the response; TimeoutError, ListError or a peer's error otherwise."""
        conn = await self._open_watch(tasks)
        try:
            splitter = JsonStreamSplitter(MAX_LIST_BYTES)
            self._timeout.watch_started(anyio.current_time())
            while True:
                event = await self._next_event(conn)
                self.last_received_s = time.monotonic()
                if not isinstance(event, h11.Data):
                    if not splitter.is_between_objects:
                        raise ListError("the watch ended within an object")
                    return
                self._receive(splitter, bytes(event.data))
        finally:
            conn.close()

    async def _open_watch(self, tasks: TaskGroup) -> Connection:
        """The connection of a watch whose response has begun; TimeoutError if none begins in time."""
        path = f"/v1/endpoints?watch=1&after={self._conductor.context.servers.version}"
        now_s = anyio.current_time()
        self._timeout.watch_requested(now_s)
        response_timeout_s = RESPONSE_TIMEOUT_S if self._is_push else IDLE_TIMEOUT_S
        timeout_s = min(response_timeout_s, self._timeout.first_line_deadline_s - now_s)

        async def send() -> Connection:
            conn, _ = await open_response(self.address, path)
            return conn

        return await self._requests.first_response(tasks, send, timeout_s)

    async def _fetch(self) -> EndpointListing:
        conn, head = await open_response(self.address, "/v1/endpoints")
        try:
            return decode(await read_body(conn, head, max_bytes=MAX_LIST_BYTES))
        finally:
            conn.close()

    async def _next_event(self, conn: Connection) -> h11.Event | type[h11.PAUSED]:
        """The next event of a watch; TimeoutError at the deadline."""
        with anyio.CancelScope(deadline=self._timeout.deadline_s) as scope:
            return await conn.next_event()
        assert scope.cancelled_caught
        slow = self._timeout.watch_timed_out(anyio.current_time())
        raise TimeoutError("a line came too slowly" if slow else "no line came")

    def _receive(self, splitter: JsonStreamSplitter, piece: bytes) -> None:
        """Apply the objects that a piece of a watch completes."""
        has_update = False
        for text in splitter.feed(piece):
            self.apply(decode(text))
            has_update = True
        self._timeout.data_received(
            anyio.current_time(),
            has_update=has_update,
            line_ended=splitter.line_ended,
            line_incomplete=not splitter.is_between_objects,
        )
        if splitter.line_ended:
            self._complete_ms = self._conductor.clock.now_ms()
            self._backoff.reset()
            self.synchronized.set()


def _make_backoff(is_push: bool, routers: int, rng: random.Random) -> Backoff:
    if is_push:
        return Backoff(PUSH_INITIAL_BACKOFF_S, PUSH_MAX_BACKOFF_S, rng)
    tier = max(1, routers)
    initial_s = min(MAX_INITIAL_BACKOFF_S, INITIAL_BACKOFF_PER_ROUTER_S * tier)
    return Backoff(initial_s, MAX_BACKOFF_PER_ROUTER_S * tier, rng)


def _make_timeout(is_push: bool) -> WatchTimeout:
    if not is_push:
        return WatchTimeout(IDLE_TIMEOUT_S)
    complete_s = _complete_s_for(START_STALENESS_LIMIT_S)
    return WatchTimeout(PUSH_IDLE_TIMEOUT_S, PUSH_STALENESS_LIMIT_S, complete_s)


def _complete_s_for(remaining_s: float) -> float:
    """When the list must have been complete for so much of `PUSH_STALENESS_LIMIT_S` to remain now."""
    return time.monotonic() - PUSH_STALENESS_LIMIT_S + remaining_s


def _log_failure(error: Exception, delay_s: float) -> None:
    """Log how a watch failed."""
    retry_s = round(delay_s, 3)
    match error:
        case TimeoutError():
            log.warning("endpoint_watch_timed_out", why=str(error), again_s=retry_s)
        case ListError():
            log.error("endpoint_list_malformed", error=str(error), again_s=retry_s)
        case _:
            log.warning("endpoint_watch_failed", error=str(error), again_s=retry_s)
