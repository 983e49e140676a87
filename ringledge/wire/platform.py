"""The platform's front: the protocol's headers in, the servers' streams out, byte for byte."""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable
from typing import TYPE_CHECKING

import anyio
import h11
import orjson

from crowstand import interface as i
from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.core.stages.take_in import DuplicateError
from ringledge.lifecycle.config import Names
from ringledge.wire.http import (
    MAX_BODY,
    Connection,
    Headers,
    HttpError,
    ShedError,
    fields,
    header,
    only,
    read_body,
    respond,
)

if TYPE_CHECKING:
    from ringledge.core.gate import Gate
    from ringledge.decide.overload import No
    from ringledge.memory.held import Held
    from ringledge.wire.turns import Turns

HIGH_WATER = 64 * 1024  # bytes of a stream that may wait for a slow client
PATH = b"/v1/chat/completions"
# The plainest head that a client may send, and what makes it anything but plain.
PLAIN = re.compile(
    rb"POST /v1/chat/completions HTTP/1\.1\r\n((?:[!-9;-~]+:[\t -~]*\r\n)*[!-9;-~]+:[\t -~]*)\r\n\r\n"
)
UNUSUAL = {b"transfer-encoding", b"expect", b"connection", b"upgrade"}
NO = (
    b"HTTP/1.1 %d \r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %s\r\n%s\r\n"
)


class Exchange:
    """One request's client side. Pieces go straight to the socket; what it leaves waits for the task."""

    def __init__(self, conn: Connection, held: Held | None = None) -> None:
        self._held = held
        self.begun = False
        self.end: str | None = None
        self.come_back_ms: float | None = None
        self._conn = conn
        self._pieces: list[bytes] = []
        self._waiting = 0  # bytes that the client has not taken
        self._news, self._room = anyio.Event(), anyio.Event()

    def refuse(self, come_back_ms: float | None) -> None:
        """Final answer: refused."""
        self.come_back_ms = come_back_ms
        self._finish("refused")

    def fail(self) -> None:
        """Final answer: failed."""
        self._finish("failed")

    def finish(self) -> None:
        """The stream is whole."""
        self._finish("served")

    def break_off(self) -> None:
        """The stream broke."""
        self._finish("broken")

    async def relay(self, piece: bytes) -> None:
        """Pass a piece on; wait while too much is waiting for a slow client."""
        told = h11.Data(data=piece)
        data = self._conn.say(told) if self.begun else self._conn.say(STREAM_HEAD, told)
        self.begun = True
        if not self._waiting:
            try:
                data = data[self._conn.write_some(data) :]
            except OSError:
                return  # the client has gone: its connection's task is told so
        if data:
            self._pieces.append(data)
            self._count(len(data))
            self._news.set()
        while self._waiting > HIGH_WATER:
            self._room = anyio.Event()
            await self._room.wait()

    def _count(self, change: int) -> None:
        self._waiting += change
        if self._held is not None:
            self._held.streams += change

    def forget(self) -> None:
        """Nobody takes what still waits."""
        self._count(-self._waiting)

    def _finish(self, how: str) -> None:
        self.end = how
        self._news.set()

    async def write_out(self) -> None:
        """Write what waits for the client until the request's end is known."""
        while self._pieces or self.end is None:
            if self._pieces:
                data = b"".join(self._pieces)
                self._pieces.clear()
                await self._conn.write(data)
                self._count(-len(data))
                self._room.set()
            else:
                self._news = anyio.Event()
                await self._news.wait()


class Platform:
    """Handles the requests of the platform's clients."""

    def __init__(
        self,
        names: Names,
        conductor: Conductor,
        gate: Gate | None = None,
        turns: Turns | None = None,
        held: Held | None = None,
    ) -> None:
        self._names, self._conductor, self._gate, self._turns = names, conductor, gate, turns
        self._held = held
        self.ready = False

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one request."""
        path = head.target.partition(b"?")[0]
        if path == b"/ready":
            only(head, b"GET")
            await read_body(conn, head)
            return await respond(
                conn, 200 if self.ready else 503, b'{"ready":%s}' % str(self.ready).lower().encode()
            )
        if path != PATH:
            raise HttpError(404, "no such path", "not_found")
        only(head, b"POST")
        if self._gate is not None:
            self._ask(self._gate, conn, head)
        body = await read_body(conn, head)
        if self._turns is not None:
            await self._turns.take()
        began = time.perf_counter()
        request = self._request(head, body)
        if self._gate is not None:
            self._gate.checked(len(body), time.perf_counter() - began)
        payload = Payload(head.target, body, header(head, b"content-type") or b"application/json")
        exchange = Exchange(conn, self._held)
        try:
            record = self._conductor.take(request, payload, exchange)
        except DuplicateError as error:
            raise HttpError(400, f"request {error} is open already") from error
        try:
            await converse(conn, self._answer(conn, exchange))
        finally:
            exchange.forget()
            self._conductor.client_gone(record)  # for a request that is over it changes nothing

    def keeps(self, head: h11.Request) -> bool:
        """Whether a request is served on a connection past the limit: it has a descriptor, as a no would."""
        name = (header(head, b"x-call-class") or b"").decode("latin1")
        return self._gate is not None and self._gate.worthiest(name)

    def turn_away(self, conn: Connection) -> int | None:
        """While the gate sheds: turn a request away without a parser; how much of its body is still to come.

        None where it did not.

        Anything but the plainest head goes the usual way. What is only ever refused can smuggle nothing, and
        such a no costs a third of one behind a parser.
        """
        gate = self._gate
        if gate is None or not gate.sheds() or conn.h11.trailing_data[0]:
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
        if not length.isdigit() or UNUSUAL & told.keys() or int(length) > MAX_BODY:
            return None
        to_come = plain.end() + int(length) - len(data)
        if to_come < 0:  # a further request is behind it
            return None
        no = self._decide(gate, told.get(b"x-call-class", b""), told.get(b"x-caller", b""), int(length))
        if no is None:
            conn.let_in = True
            return None
        error = shed(no)
        body, (_, after) = error_body(error), error.headers[0]
        kept = b"Keep-Alive: %s\r\n" % conn.keep_alive if conn.keep_alive else b""
        head = NO % (error.status, len(body), after, kept)
        if conn.write_some(head + body) < len(head) + len(body):
            conn.close()  # one that doesn't even take a no
        conn.buffer.clear()
        self._count_no(told.get(b"x-call-class", b""))
        return to_come

    def _ask(self, gate: Gate, conn: Connection, head: h11.Request) -> None:
        """Have the gate decide by the head alone."""
        if conn.let_in:
            conn.let_in = False
            return
        told = fields(head)
        length = int(told.get(b"content-length", b"0"))
        no = self._decide(gate, told.get(b"x-call-class", b""), told.get(b"x-caller", b""), length)
        if no is not None:
            raise shed(no)

    def _decide(self, gate: Gate, name: bytes, caller: bytes, length: int) -> No | None:
        """What names no class is not the gate's matter."""
        names = self._names
        class_index = names.index(names.classes, name.decode("latin1"))
        if class_index == len(names.classes):
            return None
        tenant = names.index(names.tenants, caller.decode("latin1"))
        return gate.ask(class_index, tenant, min(length, MAX_BODY))

    def refused(self, head: h11.Request) -> None:
        """Count a request that was turned away before the core took it: to its client it is one more no."""
        self._count_no(header(head, b"x-call-class") or b"")

    def _count_no(self, name: bytes) -> None:
        names = self._names.classes
        index = self._names.index(names, name.decode("latin1"))
        if index < len(names):
            self._conductor.desk.metrics.answers.labels("refused", str(index)).inc()

    async def _answer(self, conn: Connection, exchange: Exchange) -> None:
        """Write the one answer, as it comes."""
        await exchange.write_out()
        if exchange.end == "served":
            await conn.send(*([] if exchange.begun else [STREAM_HEAD]), h11.EndOfMessage())
        elif exchange.end == "broken":
            conn.close()  # without the last chunk: a clean end would pass for a whole answer
        elif exchange.end == "refused":
            text = b'{"error":"overloaded, nothing has run"}'
            await respond(conn, 503, text, retry_after(exchange.come_back_ms, self._names))
        else:
            await respond(conn, 500, b'{"error":"failed, it may have run"}')

    def _request(self, head: h11.Request, body: bytes) -> i.Request:
        """Translate the headers; HttpError 400 names what is wrong."""
        told = fields(head)
        info = dict(part.partition("=")[::2] for part in _text(told, b"x-call-info", "").split(",") if part)
        info = {key.strip(): value.strip() for key, value in info.items()}
        try:
            if not isinstance(orjson.loads(body), dict):
                raise ValueError("the body is no JSON object")
            name = _text(told, b"x-call-id")
            if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", name):  # it becomes part of a path
                raise ValueError("X-Call-Id is no plain word")
            budget = _text(told, b"x-budget-ms")
            if not re.fullmatch(r"[0-9]{1,7}", budget) or not int(budget):  # int alone takes '1_0' and '+1'
                raise ValueError("X-Budget-Ms is no number of milliseconds")
            class_index = self._names.index(self._names.classes, _text(told, b"x-call-class"))
            tenant = self._names.index(self._names.tenants, _text(told, b"x-caller", ""))
            if class_index == len(self._names.classes):
                raise ValueError("X-Call-Class names no class")
            if self._names.tenants and tenant == len(self._names.tenants):
                raise ValueError("X-Caller names no tenant")
            again = _text(told, b"x-again", "")
            return i.Request(
                name,
                float(budget),
                class_index,
                tenant,
                _key(_text(told, b"x-route-hash", "")),
                _key(info.get("prefix", "")),
                _tokens(info.get("prefix_len", 0)),
                _tokens(info.get("prompt_len", len(body) / 4)),  # a token is four characters
                _tokens(info.get("max_out", 0)),
                None,
                again == "1",
                again == "again",
            )
        except ValueError as error:
            raise HttpError(400, str(error)) from error


def shed(no: No) -> ShedError:
    """What a client that the gate turned away is told: when to come back, and whose limit it met."""
    headers: Headers = [(b"Retry-After", b"%.3f" % (no.come_back_ms / 1000))]
    if no.over_share:
        reason = "overloaded, and this caller is over its share; nothing has run"
        return ShedError(429, reason, "rate_limit_exceeded", headers=headers)
    return ShedError(503, "overloaded, nothing has run", "overloaded", headers=headers)


async def converse(conn: Connection, answer: Awaitable[None]) -> None:
    """Write the answer while watching for the client's disconnect, also when nothing is written."""
    with anyio.CancelScope() as scope:
        conn.on_gone(scope.cancel)
        try:
            await answer
        except (OSError, anyio.ClosedResourceError):
            conn.close()  # the client has gone while it was written to
        finally:
            conn.on_gone(None)
    if scope.cancelled_caught:
        conn.close()


# The head of every streamed answer, made once: h11 checks headers each time one is made.
STREAM_HEAD = h11.Response(
    status_code=200,
    headers=[
        (b"Content-Type", b"text/event-stream"),
        (b"Cache-Control", b"no-cache"),
        (b"Transfer-Encoding", b"chunked"),
    ],
)


def retry_after(come_back_ms: float | None, names: Names) -> Headers:
    """When to come back, in decimal seconds: as the policy says, else the longest wait clients follow."""
    return [(b"Retry-After", b"%.3f" % ((come_back_ms or names.max_retry_after_ms or 1000.0) / 1000))]


def error_body(error: HttpError) -> bytes:
    """The platform's form of an error."""
    return orjson.dumps({"error": error.reason})


def _text(told: dict[bytes, bytes], name: bytes, default: str | None = None) -> str:
    value = told.get(name)
    if value is None:
        if default is None:
            raise ValueError(f"{name.decode()} is missing")
        return default
    return value.decode("ascii", "replace").strip()


def _tokens(told: str | float) -> float:
    """A count of tokens; 'nan' would pass as a number and spoil every sum that it enters."""
    value = float(told)
    if not 0 <= value < 1e9:
        raise ValueError("X-Call-Info holds no count of tokens")
    return value


def _key(text: str) -> int | None:
    """A session or a shared beginning: hex digits, as a number; it is kept, so it has a bound."""
    if text and not re.fullmatch(r"[0-9a-fA-F]{1,64}", text):
        raise ValueError("a key is no hex digits")
    return int(text, 16) if text else None
