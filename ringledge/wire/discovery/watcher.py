"""The client of the discovery service: watches the endpoint list and passes changes to the conductor."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from itertools import islice

import anyio
import h11
from anyio.abc import TaskGroup

from ringledge.core.conductor import Conductor
from ringledge.decide.discovery.start_times import StartTimes
from ringledge.decide.discovery.watch_backoff import WatchBackoff
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
from ringledge.wire.discovery.failure_log import log_watch_failure
from ringledge.wire.discovery.hedged_requests import HedgedRequests
from ringledge.wire.discovery.json_stream import JsonStreamSplitter
from ringledge.wire.discovery.received_listings import ReceivedListings
from ringledge.wire.discovery.update_parts import split_update
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.messages import read_body
from ringledge.wire.servers.upstream import Upstream

AVAILABILITY = {"active": Availability.UP, "leaving": Availability.DRAINING, "left": Availability.REMOVED}
IDLE_TIMEOUT_S = 3.0  # for a fetch, and for each line of a watch; discovery sends an empty line every 2 s
MAX_LOGGED_STARTS = 64  # start times per log line, so that a pipe takes it at once
MAX_LIST_BYTES = 4 * 1024 * 1024  # limit of one JSON object, which holds a list or changes
PUSH_IDLE_TIMEOUT_S = 2.5
PUSH_STALENESS_LIMIT_S = 5.6  # over consecutive watches; a change must be known within 6 s
RECONFIGURED_STALENESS_LIMIT_S = 3.6  # after a reload, when a change must be known within 4 s
START_STALENESS_LIMIT_S = 1.0  # at a start, when the list is needed at once; the first watch gets half
# With pushed lists, another request is sent if no response begins within this time, including the connect.
RESPONSE_TIMEOUT_S = 1.0
PUSH_MAX_PENDING_REQUESTS = 8  # enough for an agent that takes a few seconds per response


class DiscoveryClient:
    """Keeps one watch open and passes each change to the conductor when it arrives."""

    def __init__(self, address: str, names: WireNames, conductor: Conductor, rng: random.Random) -> None:
        self.address = address
        self._names = names
        self._conductor = conductor
        settings = conductor.context.settings
        self._is_push = settings.membership == MembershipMode.PUSH
        self._backoff = WatchBackoff(self._is_push, settings.routers, rng)
        self._timeout = _make_timeout(self._is_push)
        self.last_received_s = time.monotonic()
        self.synchronized = anyio.Event()  # set once a watch has delivered all outstanding updates
        self._watch_scope = anyio.CancelScope()  # cancels the watch or the delay before the next one
        self._requests = HedgedRequests(PUSH_MAX_PENDING_REQUESTS if self._is_push else 1)  # pending watches
        self._start_times = StartTimes()
        # When the list was last known to be complete, on the conductor's clock.
        self._complete_ms: float | None = None

    def apply(self, listing: EndpointListing, kind: EndpointUpdateKind | None = None) -> None:
        """Pass one received object to the conductor; `kind` overrides the kind that the object states."""
        for _ in self._apply_parts(listing, kind):
            pass

    async def apply_beside_requests(self, listing: EndpointListing) -> None:
        """Pass one received object to the conductor, and let other tasks run between parts of a long one."""
        for is_last in self._apply_parts(listing, None):
            if not is_last:
                await anyio.sleep(0)

    def _apply_parts(self, listing: EndpointListing, kind: EndpointUpdateKind | None) -> Iterator[bool]:
        """Pass one object to the conductor in parts; yields behind each whether it was the last."""
        if kind is None:
            kind = EndpointUpdateKind.FULL if listing.snapshot else EndpointUpdateKind.CHANGES
        now_ms = self._conductor.clock.now_ms()
        reported_ms = {endpoint.name: endpoint.since_ms for endpoint in listing.endpoints}
        started_ms = self._start_times.update(now_ms, reported_ms, self._complete_ms)
        entries = [self._entry(endpoint, started_ms[endpoint.name]) for endpoint in listing.endpoints]
        addresses = {endpoint.name: endpoint.address for endpoint in listing.endpoints}
        servers = self._conductor.context.servers
        update = EndpointUpdate(kind, listing.index, tuple(entries))
        for part in split_update(update, servers.version, servers.entries):
            self._conductor.update_endpoints(part, addresses)
            if part.version == listing.index:
                self._received(update, now_ms)
            yield part.version == listing.index

    def _received(self, update: EndpointUpdate, now_ms: float) -> None:
        """Record that an update has been applied whole."""
        if update.kind is not EndpointUpdateKind.PERSISTED:
            self._complete_ms = now_ms
        self._start_times.retain(self._conductor.context.servers.entries)
        up = [entry for entry in update.entries if entry.availability == Availability.UP]
        fresh = {entry.server: entry.started_ms for entry in up if entry.started_ms > 0}
        log.info(
            "endpoint_list_received",
            form=update.kind.value,
            index=update.version,
            entries=len(update.entries),
            fresh_count=len(fresh),
            fresh=dict(islice(fresh.items(), MAX_LOGGED_STARTS)),
        )

    def change_address(self, address: str) -> None:
        """Continue the watch at another address of discovery at once."""
        self.address = address
        self._backoff.reset()
        self._timeout.address_changed(_complete_s_for(RECONFIGURED_STALENESS_LIMIT_S))
        self._requests.cancel()
        self._watch_scope.cancel()

    async def watch(self) -> None:
        """Watch the list until cancelled, with backoff between watches; each resumes after the last index."""
        async with anyio.create_task_group() as tasks:
            while True:
                delay_s = await self._watch_until_end(tasks)
                with anyio.CancelScope() as self._watch_scope:  # cancelled by a change of the address
                    await self._requests.wait_for_response(delay_s)

    async def fetch_on_request(self, upstream: Upstream) -> None:
        """Fetch the whole list whenever the policy requests it, until cancelled."""
        while True:
            await upstream.endpoints_wanted.wait()
            upstream.endpoints_wanted = anyio.Event()
            try:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    listing = await self._fetch()
                await self.apply_beside_requests(listing)
            except (*PEER_ERRORS, ListError) as error:
                log.warning("endpoint_list_fetch_failed", error=repr(error))
                self._conductor.update_endpoints(EndpointUpdate(EndpointUpdateKind.FAILED), {})

    def _entry(self, endpoint: Endpoint, started_ms: float) -> ServerEntry:
        """Convert an endpoint to the routing policy's type."""
        return ServerEntry(
            endpoint.name,
            self._names.index(self._names.zones, endpoint.zone),
            self._names.index(self._names.kinds, endpoint.type),
            endpoint.group,
            # A server of unknown status counts as draining: it is always permitted to send no requests.
            AVAILABILITY.get(endpoint.status, Availability.DRAINING),
            endpoint.weight,
            endpoint.since_ms,
            started_ms,
        )

    async def _watch_until_end(self, tasks: TaskGroup) -> float:
        """Run one watch and log how it ended; returns the delay before the next one."""
        try:
            with anyio.CancelScope() as self._watch_scope:
                await self._watch_once(tasks)
        except (TimeoutError, *PEER_ERRORS, ListError) as error:
            delay_s = self._backoff.next_delay_s(refused=isinstance(error, ConnectionRefusedError))
            log_watch_failure(error, delay_s)
            return delay_s
        delay_s = 0.0 if self._watch_scope.cancelled_caught else self._backoff.next_delay_s()
        log.info("endpoint_watch_ended", again_s=round(delay_s, 3))
        return delay_s

    async def _watch_once(self, tasks: TaskGroup) -> None:
        """Watch until discovery ends the response; may raise TimeoutError, ListError or PEER_ERRORS."""
        conn = await self._open_watch(tasks)
        try:
            splitter = JsonStreamSplitter(MAX_LIST_BYTES)
            self._timeout.watch_started(anyio.current_time())
            while True:
                event = await self._next_event(conn)
                self.last_received_s = time.monotonic()
                if not isinstance(event, h11.Data):
                    if not splitter.is_between_objects:
                        raise ListError("watch ended within an object")
                    return
                await self._receive(splitter, bytes(event.data))
        finally:
            conn.close()

    async def _open_watch(self, tasks: TaskGroup) -> Connection:
        """Request a watch; returns its connection when the response begins, or raises TimeoutError."""
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
        """Receive the next event of a watch; raises TimeoutError at the deadline."""
        with anyio.CancelScope(deadline=self._timeout.deadline_s) as scope:
            return await conn.next_event()
        assert scope.cancelled_caught
        slow = self._timeout.watch_timed_out(anyio.current_time())
        raise TimeoutError("line not completed in time" if slow else "no line received in time")

    async def _receive(self, splitter: JsonStreamSplitter, piece: bytes) -> None:
        """Apply the objects that a piece of the watch's response completes."""
        received = ReceivedListings()
        try:
            for text in splitter.feed(piece):
                received.add(decode(text))
        finally:  # what precedes a malformed object is valid
            listings = received.take()
            for listing in listings:
                await self.apply_beside_requests(listing)
        self._timeout.data_received(
            anyio.current_time(),
            has_update=bool(listings),
            line_ended=splitter.line_ended,
            line_incomplete=not splitter.is_between_objects,
        )
        if splitter.line_ended:
            self._complete_ms = self._conductor.clock.now_ms()
            self._backoff.reset()
            self.synchronized.set()


def _make_timeout(is_push: bool) -> WatchTimeout:
    if not is_push:
        return WatchTimeout(IDLE_TIMEOUT_S)
    complete_s = _complete_s_for(START_STALENESS_LIMIT_S)
    return WatchTimeout(PUSH_IDLE_TIMEOUT_S, PUSH_STALENESS_LIMIT_S, complete_s)


def _complete_s_for(remaining_s: float) -> float:
    """The last time of a complete list that leaves `remaining_s` of `PUSH_STALENESS_LIMIT_S` from now on."""
    return time.monotonic() - PUSH_STALENESS_LIMIT_S + remaining_s
