"""Conductors to servers: attempts, releases of held state, probes."""

from __future__ import annotations

import math
import re
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import anyio
import anyio.abc
import h11
import orjson

from crowstand import interface as i
from crowstand.wirehost import LOAD
from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.ledger import Attempt, Record
from ringledge.decide import patience
from ringledge.decide.arrivals import Arrivals
from ringledge.decide.reach import Reach
from ringledge.lifecycle.config import Names
from ringledge.memory.pool import Pool
from ringledge.memory.servers import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.http import PEER_ERRORS, Connection, Headers, connect, header, read_body
from ringledge.wire.releases import Releaser

STREAM_SILENCE_S = 3.0  # a begun stream without a further whole chunk for so long is broken off: it vanished
SILENCE_LOOK_S = 0.1  # how often it is looked for silent streams and servers
MAX_CHUNK = 64 * 1024  # bytes of a chunk, and of an opening without an event: events are far shorter
MAX_INTERIM = 8  # answers of 1xx taken before the real one
MAX_FIGURE = 1e9  # what a report or a count of tokens stays under, if it is to be believed
EVENT = re.compile(rb"^data:(.*?)\r?\n\r?\n", re.MULTILINE | re.DOTALL)
TAIL = 2048  # bytes at a stream's end in which usage and the load report stand
LET_GO_MS = 500.0  # that a state may be held, where the settings don't tell


class End(NamedTuple):
    """How an exchange ended."""

    status: i.Status
    note: int = 0
    load: i.Load | None = None


@dataclass(slots=True)
class Live:
    """An attempt under way."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    conn: Connection | None = None
    written_ms: float = math.inf  # when its request was written whole
    silent_at: float = math.inf  # when a begun stream counts as silent, unless a whole chunk comes before
    passing_on: bool = False  # it waits for its client: the server's silence is ours


class Upstream:
    """Carries out what the core wants of servers; implements its port."""

    conductor: Conductor  # set right after both are made

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        servers: ServerList,
        names: Names,
        sockets: int,
        let_go_ms: float,
        zone: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._tasks, self._servers, self._names, self._metrics = tasks, servers, names, metrics
        self._clock = clock
        # Idle connections go well before the server would close them (half its time).
        self.pool: Pool[Connection] = Pool(sockets, names.keepalive_s / 2, metrics)
        self._patience = patience.Patience(names.connect_timeout_s)
        self._let_go_ms = let_go_ms or LET_GO_MS
        self._live: dict[Attempt, Live] = {}
        self.reach = Reach(zone)
        self._arrivals = Arrivals(self.reach)
        self._releaser = Releaser(
            tasks, servers, self._let_go_ms, clock, self.reach, metrics, self._call
        )
        self.members_wanted = anyio.Event()

    # The core's port.

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        live = self._live[attempt] = Live()
        live.scope.deadline = anyio.current_time() + (attempt.ends_ms - self.conductor.clock.now_ms()) / 1000
        self._tasks.start_soon(self._attempt, attempt, live)

    def abandon(self, attempt: Attempt) -> None:
        """Close the attempt's connection at once: what goes out next is no second copy then."""
        live = self._live.pop(attempt, None)
        if live is not None:
            live.scope.cancel()  # first: closing wakes the task, which must not take that for a reset
            if live.conn is not None:
                live.conn.close()

    def release(self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool) -> None:
        """Let go of what servers hold for a request."""
        self._releaser.release(request, known, unseen, begun)

    @property
    def releases(self) -> int:
        """How many releases no server has heard yet."""
        return self._releaser.plan.unheard()

    def listed(self) -> None:
        """The list has changed."""
        self.reach.listed((name, entry.zone) for name, entry in self._servers.entries.items())

    def silences(self) -> frozenset[str]:
        """The servers that no connection reaches just now."""
        return self.reach.silences(self._clock.now_ms())

    def probe(self, server: str) -> None:
        """Ask a server for its load."""
        self._tasks.start_soon(self._probe, server)

    def ask_members(self) -> None:
        """Ask discovery for the whole list once."""
        self.members_wanted.set()

    # Attempts.

    async def _attempt(self, attempt: Attempt, live: Live) -> None:
        end: End | None = None
        address = self._servers.address(attempt.server)
        reusable = False
        try:
            with live.scope:
                if address is None:
                    end = End(i.Status.MOOT)
                else:
                    end = await self._exchange(attempt, live, address)
                    reusable = live.conn is not None and _reusable(live.conn)
        except Exception as error:  # a fault of ours costs this attempt, not all the others
            end = End(i.Status.RESET if attempt.written else i.Status.CONNECT_FAILED)
            log.fault("attempt_crashed", error, server=attempt.server, request=attempt.record.name)
        finally:
            self._live.pop(attempt, None)
            if live.conn is not None:
                if reusable and not live.conn.closed and address is not None:
                    self.pool.put(address, live.conn)
                else:
                    self.pool.drop(live.conn)
        if end is None and attempt.began and attempt.out:
            log.warning("stream_silent", server=attempt.server, request=attempt.record.name)
            end = End(i.Status.RESET)
        if end is None:  # out of time; what was never written whole can't have run
            end = End(i.Status.TIMEOUT if attempt.written else i.Status.CONNECT_FAILED)
        self.conductor.outcome(attempt, *end)

    async def _let_go(self, record: Record) -> End:
        """No writer was reached while the read state may be held: it goes, and the prompt is read anew."""
        known, record.holders = record.holders, set()
        log.info("state_let_go", request=record.name, servers=sorted(known))
        await self._releaser.let_go(record.name, known)
        return End(i.Status.FULL, 1)

    async def _connection(
        self, server: str, address: str, connect_s: float, once: bool = False
    ) -> Connection:
        """An idle connection or a new one; OSError or TimeoutError where none comes up."""
        conn = self.pool.take(address, once)
        return conn or await self._connect(server, address, connect_s)

    async def _connect(self, server: str, address: str, connect_s: float) -> Connection:
        """A new connection; OSError or TimeoutError where none comes up."""
        if not self.pool.reserve():
            log.error("server_sockets_exhausted", limit=self.pool.limit)
            raise OSError("no socket left")
        began = time.monotonic()
        try:
            conn = await connect(address, connect_s)
        except BaseException as error:
            self.pool.unreserve()
            if isinstance(error, ConnectionRefusedError):
                self.reach.refused(server, self._clock.now_ms())
            elif isinstance(error, TimeoutError):
                self.reach.silent(server, self._clock.now_ms())
            raise
        self._patience.came_up(time.monotonic() - began)
        self.reach.heard(server, self._clock.now_ms())
        return conn

    async def _exchange(self, attempt: Attempt, live: Live, address: str) -> End:
        """Send the request and take the answer, by the protocol's table of outcomes."""
        record = attempt.record
        try:
            connect_s = self._patience.connect_s()
            if record.holders and not attempt.reads:
                held_s = patience.held_s(self._clock.now_ms(), record.free_ms, self._let_go_ms)
                if held_s <= 0:
                    return await self._let_go(record)
                connect_s = min(connect_s, held_s)
            live.conn = conn = await self._connection(attempt.server, address, connect_s, attempt.once)
        except OSError as error:
            log.info("connect_failed", server=attempt.server, request=record.name, error=str(error))
            return End(i.Status.CONNECT_FAILED)
        left_ms = max(0, int(attempt.ends_ms - self.conductor.clock.now_ms()))
        payload = record.payload
        request = h11.Request(
            method=b"POST",
            target=payload.target,
            headers=[
                (b"Host", address.encode()),
                (b"X-Call-Id", record.name.encode()),
                (b"X-Budget-Ms", b"%d" % left_ms),
                (b"Content-Type", payload.content_type),
                (b"Content-Length", b"%d" % len(payload.body)),
            ],
        )
        try:
            await conn.send(request, h11.Data(data=payload.body), h11.EndOfMessage())
        except OSError as error:
            log.info("send_failed", server=attempt.server, request=record.name, error=str(error))
            note = self._kept_broke(conn, address)
            return End(i.Status.CONNECT_FAILED, note)  # the last byte was never written: it can't have run
        attempt.written, heard = True, False
        attempt.arrived, live.written_ms = not conn.kept, self._clock.now_ms()
        self._metrics.sends.inc()
        try:
            head = await _answer(conn)
            heard = attempt.arrived = True
            self.reach.heard(attempt.server, self._clock.now_ms())
            if head.status_code == 200:
                return await self._stream(attempt, live, conn, head)
            body = await read_body(conn, head)
        except PEER_ERRORS as error:
            log.info(
                "attempt_reset",
                server=attempt.server,
                request=record.name,
                began=attempt.began,
                error=str(error),
            )
            lost = isinstance(error, OSError) or conn.ended
            return End(i.Status.RESET, self._kept_broke(conn, address) if lost and not heard else 0)
        load = self._load(header(head, b"x-load-report"))
        rejected = header(head, b"x-rejected") == b"1"
        if head.status_code == 202:
            return End(i.Status.READ, _cached(_json(body)), load)
        if rejected and head.status_code == 410:
            return End(i.Status.FULL, 1, load)
        if rejected and head.status_code in (503, 504):
            return End(i.Status.FULL, 0, load)
        log.info("attempt_error", server=attempt.server, request=record.name, status=head.status_code)
        return End(i.Status.ERROR, 0, load)

    def _kept_broke(self, conn: Connection, address: str) -> int:
        """The outcome's note: whether a kept connection broke unheard, which says little of its server."""
        if conn.kept:
            self.pool.broke(address)
        return int(conn.kept)

    async def _stream(self, attempt: Attempt, live: Live, conn: Connection, head: h11.Response) -> End:
        """Pass a stream on as it comes, to its last chunk."""
        chunked = header(head, b"transfer-encoding") is not None
        tail = piece = await _opening(conn, chunked)
        live.scope.deadline = math.inf
        if not self.conductor.first(attempt):
            return End(i.Status.CANCELLED)
        await self.conductor.piece(attempt, piece)
        in_chunk = 0
        live.silent_at = time.monotonic() + STREAM_SILENCE_S
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.Data):
                piece = bytes(event.data)
                in_chunk = len(piece) + (0 if event.chunk_start else in_chunk)
                if in_chunk > MAX_CHUNK:
                    raise h11.RemoteProtocolError("a chunk is too long for events")
                tail = (tail + piece)[-TAIL:]
                live.passing_on = True
                await self.conductor.piece(attempt, piece)
                live.passing_on = False
                if event.chunk_end or not chunked:
                    live.silent_at = time.monotonic() + STREAM_SILENCE_S
            elif isinstance(event, h11.EndOfMessage):
                note, load = self._read_tail(tail)
                return End(i.Status.OK, note, load or self._load(header(head, b"x-load-report")))
            else:
                raise h11.RemoteProtocolError("the stream ended early")

    def _read_tail(self, tail: bytes) -> tuple[int, i.Load | None]:
        """Cached tokens and the load report, which stand in a stream's last lines."""
        note, load = 0, None
        for line in tail.splitlines():
            if line.startswith(b"data: {") and b'"usage"' in line:
                note = _cached(_json(line[6:]).get("usage"))
            elif line.lower().startswith(b": x-load-report:"):
                load = self._load(line.split(b":", 2)[2])
        return note, load

    def _load(self, text: bytes | None) -> i.Load | None:
        """A load report in the names that the settings give."""
        report = _json(text) if text else {}
        known = {
            LOAD[name]: float(value)
            for name, value in report.items()
            if name in LOAD and isinstance(value, int | float) and 0 <= value < MAX_FIGURE
        }
        return i.Load(**known) if known else None

    # Small calls: releases and probes.

    async def _call(
        self, server: str, address: str, method: bytes, path: bytes
    ) -> tuple[h11.Response, bytes]:
        """One small exchange without a body."""
        conn = await self._connection(server, address, self._patience.connect_s())
        reusable = False
        try:
            told: Headers = [(b"Host", address.encode())]
            await conn.send(h11.Request(method=method, target=path, headers=told), h11.EndOfMessage())
            head = await _answer(conn)
            body = await read_body(conn, head)
            reusable = _reusable(conn)
            return head, body
        finally:
            if reusable:
                self.pool.put(address, conn)
            else:
                self.pool.drop(conn)

    async def _probe(self, server: str) -> None:
        """Ask for the load report; the answer goes to the policy."""
        sent = time.monotonic()
        status, load = i.Status.CONNECT_FAILED, None
        address = self._servers.address(server)
        if address is not None:
            try:
                with anyio.fail_after(1.0):
                    head, body = await self._call(server, address, b"GET", b"/status/load")
                status = i.Status.OK if head.status_code == 200 else i.Status.ERROR
                load = self._load(body) or self._load(header(head, b"x-load-report"))
            except TimeoutError:
                status = i.Status.TIMEOUT
            except PEER_ERRORS as error:
                log.info("probe_failed", server=server, error=str(error))
        self.conductor.probed(i.Probed(server, status, (time.monotonic() - sent) * 1000, load))

    async def watch_silence(self) -> None:
        """End streams whose server says nothing more; one look over all costs less than a timer a chunk."""
        while True:
            await anyio.sleep(SILENCE_LOOK_S)
            if not self._live:
                continue
            now, waiting = time.monotonic(), list[tuple[str, float]]()
            for attempt, live in list(self._live.items()):
                if live.silent_at < now and not live.passing_on:
                    live.scope.cancel()
                elif not attempt.began and attempt.out and live.written_ms < math.inf:
                    waiting.append((attempt.server, live.written_ms))
            for server in self._arrivals.due(self._clock.now_ms(), waiting):
                self._tasks.start_soon(self._check, server)

    async def _check(self, server: str) -> None:
        """Whether a server that owes answers and says nothing can still be reached."""
        address = self._servers.address(server) or ""
        try:
            if address:
                self.pool.put(address, await self._connect(server, address, self._patience.connect_s()))
                for attempt in self._live:
                    attempt.arrived = attempt.arrived or attempt.server == server
        except TimeoutError:
            self._give_up(server)
        except OSError:  # no process listens, or no socket is left: what is out ends by itself
            pass
        finally:
            self._arrivals.checked(self._clock.now_ms(), server)

    def _give_up(self, server: str) -> None:
        """Stop waiting for a server that is cut off, save where an attempt must not run twice."""
        for attempt, live in list(self._live.items()):
            lost = attempt.server == server and not attempt.began and live.written_ms < math.inf
            if not lost or not self._arrivals.lost(server, live.written_ms):
                continue
            record = attempt.record
            log.info("attempt_cut_off", server=server, request=record.name)
            if not attempt.once:
                live.scope.cancel()
            elif record.holders and not attempt.arrived:  # it may be answered yet, but waits for no state now
                known, record.holders = record.holders, set()
                self._releaser.release(record.name, known, {})

    async def retire_idle(self) -> None:
        """Close idle connections in time."""
        while True:
            await anyio.sleep(1.0)
            self.pool.retire()


def _json(text: bytes) -> dict[str, Any]:
    """An object in JSON; anything else counts as empty, for a report is only advice."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def _cached(told: Any) -> int:
    """Prompt tokens found kept, from a 202's body or a stream's usage."""
    if not isinstance(told, dict):
        return 0
    details = told.get("prompt_tokens_details")
    value = told.get("cached_tokens", details.get("cached_tokens", 0) if isinstance(details, dict) else 0)
    return int(value) if isinstance(value, int | float) and 0 <= value < MAX_FIGURE else 0


async def _answer(conn: Connection) -> h11.Response:
    """The head of the answer, behind what the server says in the meantime."""
    for _ in range(MAX_INTERIM):
        head = await conn.next_event()
        if isinstance(head, h11.Response):
            return head
        if not isinstance(head, h11.InformationalResponse):
            raise h11.RemoteProtocolError("the connection ended before an answer")
    raise h11.RemoteProtocolError("interim answers without end")


async def _opening(conn: Connection, chunked: bool) -> bytes:
    """A stream's first event, in whole chunks: what is spoilt before costs its attempt, not its client."""
    opening = b""
    while len(opening) <= MAX_CHUNK:
        event = await conn.next_event()
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the stream ended before its first event")
        opening += bytes(event.data)
        whole = opening.endswith((b"\n\n", b"\r\n\r\n")) and (event.chunk_end or not chunked)
        if whole and (first := EVENT.search(opening)):
            if not _json(first[1]):
                raise h11.RemoteProtocolError("the first event can't be read")
            return opening
    raise h11.RemoteProtocolError("the opening holds no event")


def _reusable(conn: Connection) -> bool:
    """Whether the exchange is over on both sides, and no byte of a further answer would spoil the next."""
    return not conn.pending() and conn.next_cycle()
