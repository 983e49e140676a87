"""The list of servers, as discovery tells it."""

from __future__ import annotations

import math
import random
import time

import anyio
import h11

from ringledge.core.conductor import Conductor
from ringledge.decide.backoff import Backoff
from ringledge.decide.discovery.start_times import StartTimes
from ringledge.decide.discovery.watch_timeout import WatchTimeout
from ringledge.memory.endpoint_list import Endpoint, ListError, Listing, decode
from ringledge.memory.names import Names
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    MembershipMode,
    ServerEntry,
)
from ringledge.wire.discovery.json_stream import JsonStreamSplitter
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.messages import read_body
from ringledge.wire.http.sockets import connect
from ringledge.wire.servers.upstream import Upstream

AVAILABILITY = {"active": Availability.UP, "leaving": Availability.DRAINING, "left": Availability.REMOVED}
IDLE_TIMEOUT_S = 3.0  # an empty line comes every 2 s: a watch without a whole line for so long is made anew
MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes of a list, or of one object of changes
# Bounds of the wait before a watch that failed is asked for again, in s for each conductor of the tier: one
# discovery of fixed capacity serves them all, takes seconds over a call while it is overbooked, and works
# off calls that nobody waits for any more. So the tier asks twenty times a second at first, then ever less.
# A watch may also break for itself: news count as told after 6 s, so the first wait is never long.
INITIAL_BACKOFF_PER_ROUTER_S = 0.1
MAX_INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_PER_ROUTER_S = 1.0
# Where lists are pushed an agent on the conductor's own machine has them. It answers at once and at no cost,
# says nothing while discovery is down, and what it gets at the return counts as told at once. Who sleeps then
# hears it late, who hangs on a watch hears it in time. So a watch is never long away.
PUSH_INITIAL_BACKOFF_S, PUSH_MAX_BACKOFF_S = 0.02, 0.1
# A change counts as told 6 s after the agent had it, whatever became of the watches meanwhile. So where lists
# are pushed one clock runs over all watches in a row; a little is left for the last one to be read. A new
# watch costs the agent nothing.
PUSH_IDLE_TIMEOUT_S = 2.5
PUSH_STALENESS_LIMIT_S = 5.6
RECONFIGURED_STALENESS_LIMIT_S = (
    3.6  # the same behind a new configuration: from then on what discovery has counts after 4 s
)
START_STALENESS_LIMIT_S = (
    1.0  # and at a start, where what the agent has counts at once: the first watch gets half of it
)
# A watch that doesn't begin to speak within this, its connection included, was accepted in vain.
RESPONSE_TIMEOUT_S = 1.0


class DiscoveryClient:
    """Keeps one watch open, and hands each change to the conductor as it comes."""

    def __init__(self, address: str, names: Names, conductor: Conductor, rng: random.Random) -> None:
        self.address, self._names, self._conductor = address, names, conductor
        settings = conductor.context.settings
        self._pushed = settings.membership == MembershipMode.PUSH
        first_s, most_s = PUSH_INITIAL_BACKOFF_S, PUSH_MAX_BACKOFF_S
        if not self._pushed:
            tier = max(1, settings.routers)
            first_s, most_s = (
                min(MAX_INITIAL_BACKOFF_S, INITIAL_BACKOFF_PER_ROUTER_S * tier),
                MAX_BACKOFF_PER_ROUTER_S * tier,
            )
        self._backoff = Backoff(first_s, most_s, rng)
        self._clock = WatchTimeout(IDLE_TIMEOUT_S)
        if self._pushed:
            self._clock = WatchTimeout(
                PUSH_IDLE_TIMEOUT_S, PUSH_STALENESS_LIMIT_S, known_ago(START_STALENESS_LIMIT_S)
            )
        self.last_received_s = time.monotonic()
        self.synchronized = anyio.Event()  # what it has to tell is known
        self._watching = anyio.CancelScope()
        self._starts = StartTimes()
        self._known_ms: float | None = None  # when the list was known whole last, on the decisions' clock

    def apply(self, told: Listing, form: EndpointUpdateKind | None = None) -> None:
        """Hand one object of the list on; `form` overrides what it says of itself."""
        if form is None:
            form = EndpointUpdateKind.FULL if told.snapshot else EndpointUpdateKind.CHANGES
        now_ms = self._conductor.clock.now_ms()
        starts = self._starts.update(
            now_ms, {each.name: each.since_ms for each in told.endpoints}, self._known_ms
        )
        entries = [self._entry(each, starts[each.name]) for each in told.endpoints]
        addresses = {each.name: each.address for each in told.endpoints}
        if form is not EndpointUpdateKind.PERSISTED:
            self._known_ms = now_ms
        self._conductor.update_endpoints(EndpointUpdate(form, told.index, tuple(entries)), addresses)
        self._starts.retain(self._conductor.context.servers.entries)
        up = [each for each in entries if each.availability == Availability.UP]
        fresh = {each.server: each.started_ms for each in up if each.started_ms > 0}
        log.info("list", form=form.value, index=told.index, entries=len(entries), fresh=fresh)

    def _entry(self, told: Endpoint, started_here_ms: float) -> ServerEntry:
        """One server as the decisions take it."""
        return ServerEntry(
            told.name,
            self._names.index(self._names.zones, told.zone),
            self._names.index(self._names.kinds, told.type),
            told.group,
            # A state that is not known yet gets nothing new, which breaks no rule.
            AVAILABILITY.get(told.status, Availability.DRAINING),
            told.weight,
            told.since_ms,
            started_here_ms,
        )

    def change_address(self, address: str) -> None:
        """Discovery is at another address: the watch goes on there at once."""
        self.address = address
        self._backoff.reset()
        self._clock.address_changed(known_ago(RECONFIGURED_STALENESS_LIMIT_S))
        self._watching.cancel()

    async def watch(self) -> None:
        """Watch for ever, from the last index; after failures in a row ever more seldom."""
        while True:
            try:
                with anyio.CancelScope() as self._watching:
                    await self._watch_once()
                wait_s = 0.0 if self._watching.cancelled_caught else self._backoff.next_s()
                log.info("watch_ended", again_s=round(wait_s, 3))
            except TimeoutError as error:
                wait_s = self._backoff.next_s()
                log.warning("watch_silent", why=str(error), again_s=round(wait_s, 3))
            except PEER_ERRORS as error:
                wait_s = self._backoff.next_s()
                log.warning("watch_broken", error=str(error), again_s=round(wait_s, 3))
            except ListError as error:
                wait_s = self._backoff.next_s()
                log.error("list_malformed", error=str(error), again_s=round(wait_s, 3))
            with anyio.CancelScope() as self._watching:
                await anyio.sleep(wait_s)  # a move ends it: the new address owes us nothing

    @property
    def _answer_s(self) -> float:
        """How long discovery may take to begin an answer; the agent of a pushed list takes no time."""
        return RESPONSE_TIMEOUT_S if self._pushed else IDLE_TIMEOUT_S

    async def _ask(self, path: str, by_s: float = math.inf) -> tuple[Connection, h11.Response]:
        """The connection and the head of an answer; TimeoutError where none begins in time, or by then."""
        now_s = anyio.current_time()
        answer_s = min(self._answer_s, by_s - now_s)
        with anyio.CancelScope(deadline=now_s + answer_s) as late:
            conn = await connect(self.address, answer_s)
            try:
                request = h11.Request(method="GET", target=path, headers=[("Host", self.address)])
                await conn.send(request, h11.EndOfMessage())
                head = await conn.next_event()
                if not isinstance(head, h11.Response) or head.status_code != 200:
                    raise h11.RemoteProtocolError(f"discovery answered {head!r}")
            except BaseException:
                conn.close()
                raise
            return conn, head
        assert late.cancelled_caught
        raise TimeoutError("no answer")

    async def _watch_once(self) -> None:
        version = self._conductor.context.servers.version
        self._clock.watch_requested(anyio.current_time())
        conn, _ = await self._ask(f"/v1/endpoints?watch=1&after={version}", self._clock.first_line_deadline_s)
        try:
            objects = JsonStreamSplitter(MAX_LIST_BYTES)
            self._clock.watch_started(anyio.current_time())
            while True:
                event = await self._next_on_watch(conn)
                self.last_received_s = time.monotonic()
                if not isinstance(event, h11.Data):
                    if not objects.is_between_objects:
                        raise ListError("the watch ended within an object")
                    return
                self._take(objects, bytes(event.data))
        finally:
            conn.close()

    async def _next_on_watch(self, conn: Connection) -> h11.Event | type[h11.PAUSED]:
        """The next thing that a watch says; TimeoutError once it counts as silent."""
        with anyio.CancelScope(deadline=self._clock.deadline_s) as silent:
            return await conn.next_event()
        assert silent.cancelled_caught
        slow = self._clock.watch_timed_out(anyio.current_time())
        raise TimeoutError("a line came too slowly" if slow else "no line came")

    def _take(self, objects: JsonStreamSplitter, piece: bytes) -> None:
        """Apply what a piece of a watch made whole."""
        told = False
        for text in objects.feed(piece):
            self.apply(decode(text))
            told = True
        self._clock.data_received(
            anyio.current_time(),
            has_update=told,
            line_ended=objects.line_ended,
            line_incomplete=not objects.is_between_objects,
        )
        if objects.line_ended:
            self._known_ms = self._conductor.clock.now_ms()
            self._backoff.reset()
            self.synchronized.set()

    async def fetch_on_request(self, upstream: Upstream) -> None:
        """Fetch the whole list whenever the policy asks for it."""
        while True:
            await upstream.endpoints_wanted.wait()
            upstream.endpoints_wanted = anyio.Event()
            try:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    conn, head = await self._ask("/v1/endpoints")
                    try:
                        told = decode(await read_body(conn, head, limit=MAX_LIST_BYTES))
                    finally:
                        conn.close()
                self.apply(told)
            except (*PEER_ERRORS, ListError) as error:
                log.warning("list_fetch_failed", error=repr(error))
                self._conductor.update_endpoints(EndpointUpdate(EndpointUpdateKind.FAILED), {})


def known_ago(left_s: float) -> float:
    """When the list would have been known whole, for so long to be left of `PUSH_STALENESS_LIMIT_S` now."""
    return time.monotonic() - PUSH_STALENESS_LIMIT_S + left_s
