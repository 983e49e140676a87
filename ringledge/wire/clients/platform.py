"""The platform's front: requests described by HTTP headers, and servers' streams forwarded unchanged."""

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
from ringledge.memory.names import WireNames
from ringledge.wire.clients.platform_request import read_request
from ringledge.wire.clients.response import STREAM_HEAD, PlatformResponse, write_while_connected
from ringledge.wire.clients.start_gate import StartGate
from ringledge.wire.http.connection import MAX_HEAD_BYTES, Connection
from ringledge.wire.http.errors import HttpError, ShedError
from ringledge.wire.http.headers import Headers, header, headers_by_name
from ringledge.wire.http.messages import MAX_BODY_BYTES, read_body, require_method, respond
from ringledge.wire.http.resets import reset_if_close_ends_stream

if TYPE_CHECKING:
    from ringledge.core.gate import AdmissionGate
    from ringledge.decide.overload.messages import Rejection
    from ringledge.memory.buffered_bytes import BufferedBytes
    from ringledge.wire.clients.loop_budget import LoopBudget

COMPLETIONS_PATH = b"/v1/chat/completions"
EXPIRED_BODY = b'{"error":"its time was over before it was read, nothing has run"}'
# A request head that can be rejected without a parser, and the headers that rule this out.
SIMPLE_HEAD = re.compile(
    rb"POST /v1/chat/completions HTTP/1\.1\r\n((?:[!-9;-~]+:[\t -~]*\r\n)*[!-9;-~]+:[\t -~]*)\r\n\r\n"
)
NON_SIMPLE_HEADERS = {b"transfer-encoding", b"expect", b"connection", b"upgrade"}
REJECTION_HEAD = (
    b"HTTP/1.1 %d \r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %s\r\n%s\r\n"
)


class PlatformHandler:
    """Handles the requests of the platform's clients."""

    def __init__(
        self,
        names: WireNames,
        conductor: Conductor,
        gate: AdmissionGate | None = None,
        loop_budget: LoopBudget | None = None,
        buffered_bytes: BufferedBytes | None = None,
    ) -> None:
        self._names, self._conductor, self._gate, self._loop_budget = names, conductor, gate, loop_budget
        self._buffered_bytes = buffered_bytes
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
        if path != COMPLETIONS_PATH:
            raise HttpError(404, "no such path", "not_found")
        require_method(head, b"POST")
        if self._gate is not None:
            self._check_admission(self._gate, conn, head)
        body = await read_body(conn, head)
        if self._loop_budget is not None:
            await self._loop_budget.wait_for_budget()
        started_s = time.perf_counter()
        request = read_request(self._names, head, body)
        if self._gate is not None:
            self._gate.record_body_check(len(body), time.perf_counter() - started_s)
        # The client's deadline counts from when the last byte of the request arrived.
        remaining_ms = request.expires_in_ms - conn.waited_ms()
        remaining_ms = await self.start_gate.wait(remaining_ms)
        if remaining_ms <= 0:
            self.count_rejection(head)
            return await respond(conn, 503, EXPIRED_BODY, retry_after_headers(None, self._names))
        request = replace(request, expires_in_ms=remaining_ms)
        payload = Payload(head.target, body, header(head, b"content-type") or b"application/json")
        response = PlatformResponse(conn, self._buffered_bytes)
        try:
            record = self._conductor.accept(request, payload, response)
        except DuplicateRequestError as error:
            raise HttpError(400, str(error)) from error
        try:
            await write_while_connected(
                conn,
                self._answer(conn, response),
                partial(self._conductor.may_reject, record),
                partial(self._conductor.on_client_disconnected, record),
            )
        finally:
            response.discard_unsent()
            self._conductor.on_client_disconnected(record)  # has no effect on a request that has ended

    def exempt_from_limit(self, head: h11.Request) -> bool:
        """Whether a request past the limit is served: it is if of the highest priority.

        Serving it takes no further descriptor: a rejection would use its connection as well.
        """
        name = (header(head, b"x-call-class") or b"").decode("latin1")
        return self._gate is not None and self._gate.has_max_priority(name)

    def reject_early(self, conn: Connection) -> int | None:
        """While the gate sheds, reject a request without parsing it; return the bytes of its body to come.

        Returns None for a request that was not rejected, e.g. one with a head that is not a `SIMPLE_HEAD`;
        such a request takes the usual path. A request that is only ever rejected cannot smuggle another one,
        and this rejection costs a third of one after parsing.
        """
        gate = self._gate
        if gate is None or not gate.may_reject() or conn.h11.trailing_data[0]:
            return None
        data = conn.buffer.peek(MAX_HEAD_BYTES)
        simple_head = SIMPLE_HEAD.match(data)
        if simple_head is None:
            return None
        fields: dict[bytes, bytes] = {}
        for line in simple_head[1].split(b"\r\n"):
            name, _, value = line.partition(b":")
            if fields.setdefault(name.lower(), value.strip()) != value.strip():
                return None
        length = fields.get(b"content-length", b"")
        if not length.isdigit() or NON_SIMPLE_HEADERS & fields.keys() or int(length) > MAX_BODY_BYTES:
            return None
        remaining_bytes = simple_head.end() + int(length) - len(conn.buffer)
        if remaining_bytes < 0:  # a pipelined request follows
            return None
        rejection = self._decide_admission(
            gate, fields.get(b"x-call-class", b""), fields.get(b"x-caller", b""), int(length)
        )
        if rejection is None:
            conn.admitted = True
            return None
        error = shed_error(rejection)
        body, (_, retry_after) = error_body(error), error.headers[0]
        keep_alive_line = b"Keep-Alive: %s\r\n" % conn.keep_alive if conn.keep_alive else b""
        head = REJECTION_HEAD % (error.status, len(body), retry_after, keep_alive_line)
        if conn.write_nowait(head + body) < len(head) + len(body):
            conn.close()  # the client does not even read a short response
        conn.buffer.clear()
        conn.on_buffer_changed()
        self._count_rejected_class(fields.get(b"x-call-class", b""))
        return remaining_bytes

    def _check_admission(self, gate: AdmissionGate, conn: Connection, head: h11.Request) -> None:
        """Raise ShedError if the gate rejects the request; it decides by the request's head alone."""
        if conn.admitted:
            conn.admitted = False
            return
        headers = headers_by_name(head)
        length = int(headers.get(b"content-length", b"0"))
        rejection = self._decide_admission(
            gate, headers.get(b"x-call-class", b""), headers.get(b"x-caller", b""), length
        )
        if rejection is not None:
            raise shed_error(rejection)

    def _decide_admission(
        self, gate: AdmissionGate, name: bytes, caller: bytes, length: int
    ) -> Rejection | None:
        """The gate's rejection, or None if it admits the request or the request names no known class."""
        names = self._names
        class_index = names.index(names.classes, name.decode("latin1"))
        if class_index == len(names.classes):
            return None
        tenant = names.index(names.tenants, caller.decode("latin1"))
        return gate.admit(class_index, tenant, min(length, MAX_BODY_BYTES))

    def count_rejection(self, head: h11.Request) -> None:
        """Count a request that was rejected before the core accepted it, as one that the core rejects."""
        self._count_rejected_class(header(head, b"x-call-class") or b"")

    def _count_rejected_class(self, name: bytes) -> None:
        names = self._names.classes
        index = self._names.index(names, name.decode("latin1"))
        if index < len(names):
            self._conductor.context.metrics.answers.labels("refused", str(index)).inc()

    async def _answer(self, conn: Connection, response: PlatformResponse) -> None:
        """Write the response as it arrives."""
        await response.write_out()
        if response.result == "served":
            await conn.send(*([] if response.begun else [STREAM_HEAD]), h11.EndOfMessage())
        elif response.result == "broken":
            # Without the last chunk the client can tell that the response is incomplete.
            if response.begun:
                reset_if_close_ends_stream(conn)
        elif response.result == "refused":
            text = b'{"error":"overloaded, nothing has run"}'
            await respond(conn, 503, text, retry_after_headers(response.retry_after_ms, self._names))
        else:
            await respond(conn, 500, b'{"error":"failed, it may have run"}')


def shed_error(rejection: Rejection) -> ShedError:
    """The error response for a shed request: when to retry, and whether the tenant exceeded its quota."""
    headers: Headers = [(b"Retry-After", b"%.3f" % (rejection.retry_after_ms / 1000))]
    if rejection.over_quota:
        reason = "overloaded, and this caller is over its share; nothing has run"
        return ShedError(429, reason, "rate_limit_exceeded", headers=headers)
    return ShedError(503, "overloaded, nothing has run", "overloaded", headers=headers)


def retry_after_headers(retry_after_ms: float | None, names: WireNames) -> Headers:
    """The Retry-After header in decimal seconds; by default, the longest delay that clients follow."""
    return [(b"Retry-After", b"%.3f" % ((retry_after_ms or names.max_retry_after_ms or 1000.0) / 1000))]


def error_body(error: HttpError) -> bytes:
    """The body of an error response in the platform's format."""
    return orjson.dumps({"error": error.reason})
