"""One exchange with a server: a request goes out, what comes back is an outcome by the protocol's table."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

import anyio
import h11

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt, Record
from ringledge.decide.servers import connect_timeout
from ringledge.decide.servers.reachability import Reachability
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    LoadReport,
)
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import read_body
from ringledge.wire.http.sockets import LocalError
from ringledge.wire.servers.connections import Lines
from ringledge.wire.servers.releases import Releaser
from ringledge.wire.servers.responses import (
    answer_head,
    as_object,
    cached_tokens,
    load_report,
    opening_event,
    read_tail,
)
from ringledge.wire.servers.stream_relay import Live, StreamRelay

SEND_S = 1.0  # in which a connection takes a whole request: it buffers most, and servers read at once


class End(NamedTuple):
    """How an exchange ended."""

    status: AttemptStatus
    note: int = 0
    load: LoadReport | None = None


@dataclass(slots=True)
class Exchanges:
    """Carries one attempt's exchange out."""

    lines: Lines
    releaser: Releaser
    reach: Reachability
    clock: Clock
    metrics: Metrics
    let_go_ms: float  # that a state may be held
    conductor: Conductor

    async def run(self, attempt: Attempt, live: Live, address: str) -> End:
        """Send the request and take the answer, by the protocol's table of outcomes."""
        ended = await self._connect(attempt, live, address)
        if ended is None and live.conn is not None:
            ended = await self._send(attempt, live, live.conn, address)
            if ended is None:
                return await self._answer(attempt, live, live.conn, address)
        return ended or End(AttemptStatus.CONNECT_FAILED)

    async def _connect(self, attempt: Attempt, live: Live, address: str) -> End | None:
        """Get a connection to the server, in time for what is held; an end where nothing will be sent."""
        record, connect_s = attempt.record, self.lines.connect_s()
        if record.released and not attempt.is_prefill:
            return await self._prefill_again(record)
        if record.cache_holders and not attempt.is_prefill:
            held_s = connect_timeout.hold_remaining_s(
                self.clock.now_ms(), record.idle_since_ms, self.let_go_ms
            )
            if held_s <= 0:
                return await self._let_go(record)
            connect_s = min(connect_s, held_s)
        try:
            live.conn = await self.lines.take(attempt.server, address, connect_s, attempt.at_most_once)
        except OSError as error:
            log.info("connect_failed", server=attempt.server, request=record.request_id, error=str(error))
            return End(
                AttemptStatus.CONNECT_FAILED, int(isinstance(error, LocalError))
            )  # ours, not its server's
        if live.scope.cancel_called:  # only the next wait would tell, and to write may take none
            return End(AttemptStatus.CONNECT_FAILED)
        return None

    async def _send(self, attempt: Attempt, live: Live, conn: Connection, address: str) -> End | None:
        """Write the request, to its last byte; an end where it was not."""
        if not self.conductor.may_send(attempt):
            return End(AttemptStatus.NOT_SENT)  # a send counts from its first byte, and none is out
        record = attempt.record
        told_ms = int(attempt.expires_ms - self.clock.now_ms())
        self.conductor.on_attempt_sent(attempt, told_ms)
        facts = {"attempt": attempt.number, "kept": conn.reused, "told_ms": told_ms}
        log.debug("attempt_sent", request=record.request_id, server=attempt.server, **facts)
        attempt.fetches_cache = bool(record.cache_holders) and not attempt.is_prefill
        try:
            with anyio.fail_after(self._send_s(attempt)):
                await conn.send_first(*self._message(record, address, told_ms))
        except OSError as error:
            log.info("send_failed", server=attempt.server, request=record.request_id, error=str(error))
            note = self._kept_broke(conn, address)
            return End(
                AttemptStatus.CONNECT_FAILED, note
            )  # the last byte was never written: it can't have run
        attempt.written = True
        attempt.delivered, live.written_ms = not conn.reused, self.clock.now_ms()
        self.metrics.sends.inc()
        return None

    @staticmethod
    def _message(record: Record, address: str, told_ms: int) -> tuple[h11.Event, ...]:
        """The client's request as a server is sent it, with the time that its client has left."""
        payload = record.payload
        request = h11.Request(
            method=b"POST",
            target=payload.target,
            headers=[
                (b"Host", address.encode()),
                (b"X-Call-Id", record.request_id.encode()),
                (b"X-Budget-Ms", b"%d" % told_ms),
                (b"Content-Type", payload.content_type),
                (b"Content-Length", b"%d" % len(payload.body)),
            ],
        )
        return request, h11.Data(data=payload.body), h11.EndOfMessage()

    async def _answer(self, attempt: Attempt, live: Live, conn: Connection, address: str) -> End:
        """Take what comes back."""
        heard = False
        try:
            head = await answer_head(conn)
            heard = attempt.delivered = True
            self.reach.record_answer(attempt.server, self.clock.now_ms())
            conn.streamed = head.status_code == 200
            if conn.streamed:
                return await self._stream(attempt, live, conn, head)
            body = await read_body(conn, head)
        except PEER_ERRORS as error:
            facts = {"began": attempt.streaming, "error": str(error)}
            log.info("attempt_reset", server=attempt.server, request=attempt.record.request_id, **facts)
            lost = isinstance(error, OSError) or conn.ended
            return End(AttemptStatus.RESET, self._kept_broke(conn, address) if lost and not heard else 0)
        return self._outcome(attempt, head, body)

    @staticmethod
    def _outcome(attempt: Attempt, head: h11.Response, body: bytes) -> End:
        """What an answer that is no stream means."""
        load = load_report(header(head, b"x-load-report"))
        rejected = header(head, b"x-rejected") == b"1"
        if (
            head.status_code == 202 and not attempt.fetches_cache
        ):  # to a decode it proves nothing: it may have run
            return End(AttemptStatus.PREFILLED, cached_tokens(as_object(body)), load)
        if rejected and head.status_code == 410:
            return End(AttemptStatus.FULL, 1, load)
        if rejected and head.status_code in (503, 504):
            return End(AttemptStatus.FULL, 0, load)
        log.info(
            "attempt_error", server=attempt.server, request=attempt.record.request_id, status=head.status_code
        )
        return End(AttemptStatus.ERROR, 0, load)

    def _kept_broke(self, conn: Connection, address: str) -> int:
        """The outcome's note: whether a kept connection broke unheard, which says little of its server."""
        if conn.reused:
            self.lines.pool.on_reused_broken(address)
        return int(conn.reused)

    async def _stream(self, attempt: Attempt, live: Live, conn: Connection, head: h11.Response) -> End:
        """Pass a stream on as it comes, to its last chunk."""
        chunked = header(head, b"transfer-encoding") is not None
        opening = await opening_event(conn, chunked)
        if live.scope.cancel_called:  # its time ended in this turn: begun, it would be cut at the next wait
            return End(AttemptStatus.TIMEOUT)
        live.scope.deadline = math.inf
        if not self.conductor.on_first_token(attempt):
            return End(AttemptStatus.CANCELLED)
        tail = await StreamRelay(self.conductor, attempt, live, conn, chunked).run(opening)
        note, attempt.completion_tokens, load = read_tail(tail)
        return End(AttemptStatus.OK, note, load or load_report(header(head, b"x-load-report")))

    def _send_s(self, attempt: Attempt) -> float:
        """How long the request may take to be written: a connection that takes nothing more may be dead."""
        if not attempt.fetches_cache:
            return SEND_S
        now_ms, free_ms = self.clock.now_ms(), attempt.record.idle_since_ms
        return min(SEND_S, connect_timeout.hold_remaining_s(now_ms, free_ms, self.let_go_ms))

    async def _prefill_again(self, record: Record) -> End:
        """What was held is released already: once no call of that is under way, the prompt is read anew."""
        await self.releaser.settle(record.request_id)
        record.released = False
        return End(AttemptStatus.FULL, 1)

    async def _let_go(self, record: Record) -> End:
        """No writer was reached while the read state may be held: it goes, and the prompt is read anew."""
        known, record.cache_holders = record.cache_holders, set()
        log.info("state_let_go", request=record.request_id, servers=sorted(known))
        await self.releaser.let_go(record.request_id, known)
        return End(AttemptStatus.FULL, 1)
