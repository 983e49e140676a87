"""The platform's front: the protocol's headers in, the servers' streams out, byte for byte."""

from __future__ import annotations

import re
import time
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import h11
import orjson

from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.core.stages.accept import DuplicateRequestError
from ringledge.memory.names import Names
from ringledge.wire.clients.platform_request import read_request
from ringledge.wire.clients.response import STREAM_HEAD, PlatformResponse, write_while_connected
from ringledge.wire.clients.start_gate import StartGate
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError, ShedError
from ringledge.wire.http.headers import Headers, header, headers_by_name
from ringledge.wire.http.messages import MAX_BODY_BYTES, read_body, require_method, respond

if TYPE_CHECKING:
    from ringledge.core.gate import AdmissionGate
    from ringledge.decide.overload.messages import Rejection
    from ringledge.memory.buffered_bytes import BufferedBytes
    from ringledge.wire.clients.loop_budget import LoopBudget

PATH = b"/v1/chat/completions"
OVER = b'{"error":"its time was over before it was read, nothing has run"}'
# The plainest head that a client may send, and what makes it anything but plain.
PLAIN = re.compile(
    rb"POST /v1/chat/completions HTTP/1\.1\r\n((?:[!-9;-~]+:[\t -~]*\r\n)*[!-9;-~]+:[\t -~]*)\r\n\r\n"
)
UNUSUAL = {b"transfer-encoding", b"expect", b"connection", b"upgrade"}
NO = b"HTTP/1.1 %d \r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %s\r\n%s\r\n"


class PlatformHandler:
    """Handles the requests of the platform's clients."""

    def __init__(
        self,
        names: Names,
        conductor: Conductor,
        gate: AdmissionGate | None = None,
        loop_budget: LoopBudget | None = None,
        held: BufferedBytes | None = None,
    ) -> None:
        self._names, self._conductor, self._gate, self._loop_budget = names, conductor, gate, loop_budget
        self._held = held
        self.ready = False
        self.start_gate = StartGate()

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one request."""
        path = head.target.partition(b"?")[0]
        if path == b"/ready":
            require_method(head, b"GET")
            await read_body(conn, head)
            return await respond(
                conn, 200 if self.ready else 503, b'{"ready":%s}' % str(self.ready).lower().encode()
            )
        if path != PATH:
            raise HttpError(404, "no such path", "not_found")
        require_method(head, b"POST")
        if self._gate is not None:
            self._ask(self._gate, conn, head)
        body = await read_body(conn, head)
        if self._loop_budget is not None:
            await self._loop_budget.wait_for_budget()
        began = time.perf_counter()
        request = read_request(self._names, head, body)
        if self._gate is not None:
            self._gate.record_body_check(len(body), time.perf_counter() - began)
        left_ms = request.expires_in_ms - conn.waited_ms()  # its client's time runs from its last byte on
        left_ms = await self.start_gate.wait(left_ms)
        if left_ms <= 0:
            self.count_rejection(head)
            return await respond(conn, 503, OVER, retry_after_headers(None, self._names))
        request = replace(request, expires_in_ms=left_ms)
        payload = Payload(head.target, body, header(head, b"content-type") or b"application/json")
        exchange = PlatformResponse(conn, self._held)
        try:
            record = self._conductor.accept(request, payload, exchange)
        except DuplicateRequestError as error:
            raise HttpError(400, f"request {error} is open already") from error
        try:
            await write_while_connected(
                conn,
                self._answer(conn, exchange),
                partial(self._conductor.may_reject, record),
                partial(self._conductor.on_client_disconnected, record),
            )
        finally:
            exchange.discard_unsent()
            self._conductor.on_client_disconnected(record)  # for a request that is over it changes nothing

    def exempt_from_limit(self, head: h11.Request) -> bool:
        """Whether a request is served on a connection past the limit: it has a descriptor, as a no would."""
        name = (header(head, b"x-call-class") or b"").decode("latin1")
        return self._gate is not None and self._gate.has_max_priority(name)

    def reject_early(self, conn: Connection) -> int | None:
        """While the gate sheds: turn a request away without a parser; how much of its body is still to come.

        None where it did not.

        Anything but the plainest head goes the usual way. What is only ever refused can smuggle nothing, and
        such a no costs a third of one behind a parser.
        """
        gate = self._gate
        if gate is None or not gate.may_reject() or conn.h11.trailing_data[0]:
            return None
        data = conn.buffer.peek()
        plain = PLAIN.match(data)
        if plain is None:
            return None
        told: dict[bytes, bytes] = {}
        for line in plain[1].split(b"\r\n"):
            name, _, value = line.partition(b":")
            if told.setdefault(name.lower(), value.strip()) != value.strip():
                return None
        length = told.get(b"content-length", b"")
        if not length.isdigit() or UNUSUAL & told.keys() or int(length) > MAX_BODY_BYTES:
            return None
        to_come = plain.end() + int(length) - len(data)
        if to_come < 0:  # a further request is behind it
            return None
        no = self._decide(gate, told.get(b"x-call-class", b""), told.get(b"x-caller", b""), int(length))
        if no is None:
            conn.admitted = True
            return None
        error = shed_error(no)
        body, (_, after) = error_body(error), error.headers[0]
        kept = b"Keep-Alive: %s\r\n" % conn.keep_alive if conn.keep_alive else b""
        head = NO % (error.status, len(body), after, kept)
        if conn.write_nowait(head + body) < len(head) + len(body):
            conn.close()  # one that doesn't even take a no
        conn.buffer.clear()
        self._count_no(told.get(b"x-call-class", b""))
        return to_come

    def _ask(self, gate: AdmissionGate, conn: Connection, head: h11.Request) -> None:
        """Have the gate decide by the head alone."""
        if conn.admitted:
            conn.admitted = False
            return
        told = headers_by_name(head)
        length = int(told.get(b"content-length", b"0"))
        no = self._decide(gate, told.get(b"x-call-class", b""), told.get(b"x-caller", b""), length)
        if no is not None:
            raise shed_error(no)

    def _decide(self, gate: AdmissionGate, name: bytes, caller: bytes, length: int) -> Rejection | None:
        """What names no class is not the gate's matter."""
        names = self._names
        class_index = names.index(names.classes, name.decode("latin1"))
        if class_index == len(names.classes):
            return None
        tenant = names.index(names.tenants, caller.decode("latin1"))
        return gate.admit(class_index, tenant, min(length, MAX_BODY_BYTES))

    def count_rejection(self, head: h11.Request) -> None:
        """Count a request that was turned away before the core took it: to its client it is one more no."""
        self._count_no(header(head, b"x-call-class") or b"")

    def _count_no(self, name: bytes) -> None:
        names = self._names.classes
        index = self._names.index(names, name.decode("latin1"))
        if index < len(names):
            self._conductor.context.metrics.answers.labels("refused", str(index)).inc()

    async def _answer(self, conn: Connection, exchange: PlatformResponse) -> None:
        """Write the one answer, as it comes."""
        await exchange.write_out()
        if exchange.result == "served":
            await conn.send(*([] if exchange.begun else [STREAM_HEAD]), h11.EndOfMessage())
        elif exchange.result == "broken":
            return  # the connection ends without the last chunk: a clean end would pass for a whole answer
        elif exchange.result == "refused":
            text = b'{"error":"overloaded, nothing has run"}'
            await respond(conn, 503, text, retry_after_headers(exchange.retry_after_ms, self._names))
        else:
            await respond(conn, 500, b'{"error":"failed, it may have run"}')


def shed_error(no: Rejection) -> ShedError:
    """What a client that the gate turned away is told: when to come back, and whose limit it met."""
    headers: Headers = [(b"Retry-After", b"%.3f" % (no.retry_after_ms / 1000))]
    if no.over_quota:
        reason = "overloaded, and this caller is over its share; nothing has run"
        return ShedError(429, reason, "rate_limit_exceeded", headers=headers)
    return ShedError(503, "overloaded, nothing has run", "overloaded", headers=headers)


def retry_after_headers(come_back_ms: float | None, names: Names) -> Headers:
    """When to come back, in decimal seconds: as the policy says, else the longest wait clients follow."""
    return [(b"Retry-After", b"%.3f" % ((come_back_ms or names.max_retry_after_ms or 1000.0) / 1000))]


def error_body(error: HttpError) -> bytes:
    """The platform's form of an error."""
    return orjson.dumps({"error": error.reason})
