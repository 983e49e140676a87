"""One exchange with a server: sends the request, and maps the response by the protocol's outcome table."""

from __future__ import annotations

import math
from dataclasses import dataclass

import anyio
import h11

from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt, RequestRecord
from ringledge.decide.servers.cache_hold import ReleaseReason
from ringledge.decide.servers.connect_timeout import hold_remaining_s
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    AttemptStatus,
    LoadReport,
)
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.headers import header
from ringledge.wire.http.sockets import LocalConnectError
from ringledge.wire.servers.connections import ServerConnections
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.entry_releases import EntryReleases
from ringledge.wire.servers.event_progress import EventProgress
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.json_object import parse_json_object
from ringledge.wire.servers.releases import ReleaseSender
from ringledge.wire.servers.responses import (
    cached_tokens,
    parse_load_report,
    parse_stream_tail,
    read_first_event,
    read_report,
    read_response_head,
)
from ringledge.wire.servers.stream_relay import StreamRelay

SEND_TIMEOUT_S = 1.0  # for a complete request: sockets buffer most of it, and servers read promptly


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """How an exchange ended; the meaning of `note` depends on the status (see `AttemptOutcome`)."""

    status: AttemptStatus
    note: int = 0
    load: LoadReport | None = None


@dataclass(slots=True)
class ServerExchanges:
    """Carries out the exchanges of attempts."""

    context: UpstreamContext
    connections: ServerConnections
    release_sender: ReleaseSender
    entry_releases: EntryReleases
    conductor: Conductor

    async def run(self, attempt: Attempt, state: InFlightAttempt, address: str) -> ExchangeResult:
        """Connect, send the request and receive the response."""
        connected = await self._connect(attempt, state, address)
        if isinstance(connected, ExchangeResult):
            return connected
        failed = await self._send(attempt, state, connected, address)
        if failed is not None:
            return failed
        return await self._receive(attempt, state, connected, address)

    async def _connect(
        self, attempt: Attempt, state: InFlightAttempt, address: str
    ) -> Connection | ExchangeResult:
        """Get a connection within the hold limit of the request's entry; the result if that fails."""
        record = attempt.record
        timeout_s = self.connections.connect_timeout_s()
        if record.cache.released_early and not attempt.is_prefill:
            return await self._await_release(record)
        if record.cache.holders and not attempt.is_prefill:
            remaining_s = self._hold_remaining_s(record)
            if remaining_s <= 0:
                return await self._release_expired_entry(record)
            timeout_s = min(timeout_s, remaining_s)
        elif record.cache.is_idle:
            await self.entry_releases.release(record, ReleaseReason.BEFORE_ATTEMPT)
        try:
            conn = await self.connections.acquire(attempt.server, address, timeout_s, attempt.at_most_once)
        except OSError as error:
            log.info("connect_failed", server=attempt.server, request=record.request_id, error=str(error))
            is_local = isinstance(error, LocalConnectError)  # not the server's fault
            return ExchangeResult(AttemptStatus.CONNECT_FAILED, int(is_local))
        state.conn = conn
        # A cancellation is raised only at the task's next wait, and writing may not wait at all.
        if state.scope.cancel_called:
            return ExchangeResult(AttemptStatus.CONNECT_FAILED)
        return conn

    async def _send(
        self, attempt: Attempt, state: InFlightAttempt, conn: Connection, address: str
    ) -> ExchangeResult | None:
        """Write the complete request; returns a result only if that fails."""
        # Checked right before the first byte is written: from then on the request counts as sent.
        if not self.conductor.may_send(attempt):
            return ExchangeResult(AttemptStatus.NOT_SENT)
        record = attempt.record
        budget_ms = int(attempt.expires_ms - self.context.clock.now_ms())
        self.conductor.on_attempt_sent(attempt, budget_ms)
        fields = {"attempt": attempt.number, "kept": conn.reused, "told_ms": budget_ms}
        log.debug("attempt_sent", request=record.request_id, server=attempt.server, **fields)
        attempt.fetches_cache = record.cache.may_exist and not attempt.is_prefill
        state.received_bytes = conn.received_bytes
        try:
            with anyio.fail_after(self._send_timeout_s(attempt)):
                await conn.send_request(_request_head(record, address, budget_ms), record.payload.body)
        except OSError as error:  # a request without its last byte can't have run
            log.info("send_failed", server=attempt.server, request=record.request_id, error=str(error))
            return ExchangeResult(AttemptStatus.CONNECT_FAILED, self._note_broken(conn, address))
        attempt.written = True
        attempt.on_new_connection = not conn.reused
        state.written_ms = self.context.clock.now_ms()
        self.context.metrics.sends.inc()
        return None

    async def _receive(
        self, attempt: Attempt, state: InFlightAttempt, conn: Connection, address: str
    ) -> ExchangeResult:
        """Receive the response, and relay it if it is a stream."""
        has_head = False
        try:
            head = await read_response_head(conn)
            has_head = True
            attempt.delivered = True
            self.connections.reachability.record_answer(attempt.server, self.context.clock.now_ms())
            conn.streamed = head.status_code == 200
            if conn.streamed:
                return await self._relay_stream(attempt, state, conn, head)
            body = await read_report(conn, head)
        except PEER_ERRORS as error:
            fields = {"began": attempt.streaming, "error": str(error)}
            log.info("attempt_reset", server=attempt.server, request=attempt.record.request_id, **fields)
            disconnected = isinstance(error, OSError) or conn.eof_received
            note = self._note_broken(conn, address) if disconnected and not has_head else 0
            return ExchangeResult(AttemptStatus.RESET, note)
        finally:
            state.update_delivered(attempt)
        return _classify_response(attempt, head, body)

    async def _relay_stream(
        self, attempt: Attempt, state: InFlightAttempt, conn: Connection, head: h11.Response
    ) -> ExchangeResult:
        """Relay a stream up to its last chunk, which has to follow its final event."""
        chunked = header(head, b"transfer-encoding") is not None
        progress = EventProgress()
        opening = await read_first_event(conn, chunked, progress)
        if state.scope.cancel_called:  # timed out in this loop turn: a stream started now would be cut off
            return ExchangeResult(AttemptStatus.TIMEOUT)
        state.scope.deadline = math.inf
        if not self.conductor.on_first_token(attempt):
            return ExchangeResult(AttemptStatus.CANCELLED)
        relay = StreamRelay(self.conductor, attempt, state, conn, progress)
        tail = parse_stream_tail(await relay.run(opening))
        attempt.completion_tokens = tail.output_tokens
        load = tail.load or parse_load_report(header(head, b"x-load-report"))
        return ExchangeResult(AttemptStatus.OK, tail.cached_tokens, load)

    def _note_broken(self, conn: Connection, address: str) -> int:
        """The note for a broken connection: 1 if it was reused, which says little about the server."""
        if conn.reused:
            self.connections.pool.on_reused_connection_broken(address)
        return int(conn.reused)

    def _send_timeout_s(self, attempt: Attempt) -> float:
        """Timeout for writing the request: a connection that accepts no more bytes may be dead."""
        if not attempt.fetches_cache:
            return SEND_TIMEOUT_S
        return min(SEND_TIMEOUT_S, self._hold_remaining_s(attempt.record))

    def _hold_remaining_s(self, record: RequestRecord) -> float:
        now_ms = self.context.clock.now_ms()
        return hold_remaining_s(now_ms, record.cache.idle_since_ms, self.context.hold_limit_ms)

    async def _await_release(self, record: RequestRecord) -> ExchangeResult:
        """The entry was released early: request a new prefill once no release call is in flight."""
        await self.release_sender.wait_until_finished(record.request_id)
        record.cache.released_early = False
        return ExchangeResult(AttemptStatus.FULL, 1)

    async def _release_expired_entry(self, record: RequestRecord) -> ExchangeResult:
        """No decode server was reached within the hold limit: release the entry, then prefill anew."""
        await self.entry_releases.release(record, ReleaseReason.NO_SERVER_REACHED)
        record.cache.released_early = False
        return ExchangeResult(AttemptStatus.FULL, 1)


def _request_head(record: RequestRecord, address: str, budget_ms: int) -> h11.Request:
    """The head of the client's request as sent to a server, with the time that remains until its deadline."""
    payload = record.payload
    return h11.Request(
        method=b"POST",
        target=payload.target,
        headers=[
            (b"Host", address.encode()),
            (b"X-Call-Id", record.request_id.encode()),
            (b"X-Budget-Ms", b"%d" % budget_ms),
            (b"Content-Type", payload.content_type),
            (b"Content-Length", b"%d" % len(payload.body)),
        ],
    )


def _classify_response(attempt: Attempt, head: h11.Response, body: bytes) -> ExchangeResult:
    """Map a response that is not a stream to the result."""
    load = parse_load_report(header(head, b"x-load-report"))
    rejected = header(head, b"x-rejected") == b"1"
    status_code = head.status_code
    # A 202 in response to a decode is an error: it does not prove that the decode has not run.
    if status_code == 202 and not attempt.fetches_cache:
        return ExchangeResult(AttemptStatus.PREFILLED, cached_tokens(parse_json_object(body)), load)
    if rejected and status_code == 410:
        return ExchangeResult(AttemptStatus.FULL, 1, load)
    if rejected and status_code in (503, 504):
        return ExchangeResult(AttemptStatus.FULL, 0, load)
    log.info("attempt_error", server=attempt.server, request=attempt.record.request_id, status=status_code)
    return ExchangeResult(AttemptStatus.ERROR, 0, load)
