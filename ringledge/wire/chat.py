"""The chat front: OpenAI-style requests and answers over the same core, decisions and rules.

An answer is written into a session, and connections follow the session. So a client that comes back with
``Last-Event-ID`` gets what it lacks, while the request behind it runs once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from hashlib import blake2b
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import anyio
import h11
import orjson

from crowstand import interface as i
from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.lifecycle.config import ChatConfig, Names
from ringledge.memory.sessions import End, Session, Sessions
from ringledge.observe.logging import log
from ringledge.wire.http import MAX_BODY, Connection, HttpError, header, only, read_body, respond
from ringledge.wire.platform import STREAM_HEAD, converse, retry_after, shed

if TYPE_CHECKING:
    from ringledge.core.gate import Gate
    from ringledge.memory.held import Held

PATH = b"/v1/chat/completions"
MOST_ANSWER = 4 * MAX_BODY  # bytes kept of a question and its answer: twice what the protocol lets them have
MOST_KEY = 256  # bytes of an idempotency key, which is kept as long as its answer
RESUMES = 2  # times that a broken answer goes on by itself for a client that waits for the whole
TYPES = {404: "not_found_error", 429: "rate_limit_error", 500: "server_error", 503: "overloaded_error",
         504: "timeout_error"}  # fmt: skip


def error_body(error: HttpError) -> bytes:
    """An OpenAI error object."""
    kind = TYPES.get(error.status, "invalid_request_error")
    told = {"message": error.reason, "type": kind, "param": error.param, "code": error.code}
    return orjson.dumps({"error": told})


class Answer:
    """The core's caller for one run of a session: reads the server's events into the session."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._rest = b""

    def refuse(self, come_back_ms: float | None) -> None:
        """Final answer: refused."""
        self._session.come_back_ms = come_back_ms
        self._end(End.REFUSED)

    def fail(self) -> None:
        """Final answer: failed."""
        self._end(End.FAILED)

    def finish(self) -> None:
        """The stream is whole."""
        self._end(End.SERVED)

    def break_off(self) -> None:
        """The stream broke; what came of a half event is not kept, so the rest starts clean behind it."""
        self._end(End.BROKEN)

    async def relay(self, piece: bytes) -> None:
        """Take whole events in; half a line waits for its other half."""
        *lines, self._rest = (self._rest + piece).split(b"\n")
        session = self._session
        for line in lines:
            if not line.startswith(b"data: {"):
                continue
            try:
                self._take_in(orjson.loads(line[6:]))
            except (ValueError, TypeError, AttributeError) as error:
                raise h11.RemoteProtocolError(f"an event can't be read: {error}") from error
        if session.size > MOST_ANSWER:
            raise h11.RemoteProtocolError("the answer has no end")
        session.changed()

    def _take_in(self, event: dict[str, Any]) -> None:
        session = self._session
        for choice in event.get("choices") or ():
            if text := (choice.get("delta") or {}).get("content"):
                session.size += len(text.encode())
                session.events.append(text)
            session.finish_reason = choice.get("finish_reason") or session.finish_reason
        session.usage = event.get("usage") or session.usage

    def _end(self, end: End) -> None:
        self._session.end = end
        self._session.changed()
        log.info("chat_ended", session=self._session.name, how=end.value, events=len(self._session.events))


class Chat:
    """Handles the requests of chat clients."""

    def __init__(
        self,
        config: ChatConfig,
        settings: i.Settings,
        names: Names,
        conductor: Conductor,
        most_bytes: float,
        gate: Gate | None = None,
        held: Held | None = None,
    ) -> None:
        self._config, self._settings, self._names, self._conductor = config, settings, names, conductor
        self.sessions = Sessions(config.sessions, most_bytes, config.resume_for_s)
        self._gate = gate
        if held is not None:
            held.keeps(self.sessions.size, self.sessions.give_up)

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one request."""
        path = head.target.partition(b"?")[0]
        if path == b"/v1/models":
            only(head, b"GET")
            await read_body(conn, head)
            return await respond(conn, 200, orjson.dumps(self._models()))
        if path != PATH:
            raise HttpError(404, f"no such path: {path.decode('ascii', 'replace')}", "unknown_url")
        only(head, b"POST")
        self._look(head)
        body = await read_body(conn, head)
        last_event = header(head, b"last-event-id")
        if last_event:
            session, seen = self._resume(last_event.decode("ascii", "replace"))
            whole = False
        else:
            session, seen = self._start(head, body), 0
            whole = not session.question["stream"]
        session.readers += 1
        try:
            follow = self._whole(conn, session) if whole else self._stream(conn, session, seen)
            await converse(conn, follow)
        finally:
            session.readers -= 1
            self._left(session)

    def _look(self, head: h11.Request) -> None:
        """Turn away before the body is read, as far as the head tells the class; else the body does."""
        if self._gate is None or header(head, b"last-event-id") or header(head, b"idempotency-key"):
            return  # what has begun goes on
        told = _header(head, b"x-call-class")
        length = header(head, b"content-length")
        if told in self._names.classes:
            self._ask(self._names.classes.index(told), head, int(length or 0))
        elif reason := self._gate.hopeless():
            class_index = self._names.classes.index(next(iter(self._config.models.values())))
            raise shed(self._gate.turn_away(class_index, reason))

    def _ask(self, class_index: int, head: h11.Request, size: int) -> None:
        """Have the gate decide."""
        if self._gate is not None:
            caller = _header(head, b"x-caller") or self._config.tenant
            tenant = self._names.index(self._names.tenants, caller)
            no = self._gate.ask(class_index, tenant, min(size, MAX_BODY))
            if no is not None:
                raise shed(no)

    def _left(self, session: Session) -> None:
        """A client has gone, or has its answer.

        A stream that has begun runs on into the session: it may have booked, so it is neither cut off nor
        ever sent again, and its client can come back for it. One that has not begun is given up.
        """
        record = session.record
        if session.end is None and not session.readers and record is not None and not record.began:
            self._conductor.client_gone(record)
            session.end = End.GONE
            log.info("chat_ended", session=session.name, how=End.GONE.value, events=0)

    # Starting and resuming.

    def _start(self, head: h11.Request, body: bytes) -> Session:
        """A new session; or, for an idempotency key that is known, the one that it has begun."""
        question = _question(body)
        key = header(head, b"idempotency-key")
        if key and len(key) > MOST_KEY:
            raise HttpError(400, f"longer than {MOST_KEY} bytes", "invalid_value", "Idempotency-Key")
        known = self.sessions.by_key(key.decode("ascii", "replace")) if key else None
        if known is not None:
            record = known.record
            if known.end in (None, End.SERVED):
                return known
            if record is not None and record.may_have_run and not self._safe(known.class_index):
                raise HttpError(409, "this request may have run before; it is not run again", "may_have_run")
        class_index, request = self._request(head, question)
        if key or not _header(head, b"x-call-class"):  # else it was asked about by its head
            self._ask(class_index, head, len(body))
        if not self.sessions.room():
            raise HttpError(429, "too many answers are under way", "rate_limit_exceeded")
        session = Session(
            f"chatcmpl-{uuid4().hex}", question, class_index, request.max_output_tokens, len(body)
        )
        self.sessions.add(session, key.decode("ascii", "replace") if key else None)
        self._run(session, request, question)
        return session

    def _resume(self, last_event: str) -> tuple[Session, int]:
        """The session that a client comes back to, and how much of it the client has."""
        name, _, number = last_event.rpartition(":")
        session = self.sessions.get(name)
        if session is None or not number.isdecimal() or int(number) > len(session.events):
            raise HttpError(404, "this stream is not known any more", "stream_not_found", "Last-Event-ID")
        # Broken, or a try to go on that was refused, failed or left: each can be taken up again.
        if session.end not in (None, End.SERVED):
            if not self._safe(session.class_index):
                raise HttpError(409, "the stream broke; it may have run and is not run again", "may_have_run")
            self._go_on(session)
        return session, int(number)

    def _go_on(self, session: Session) -> None:
        """Ask for the rest of a broken answer: the prompt and the answer so far are read, and it goes on."""
        assert session.record is not None
        before, text = session.record.request, session.text
        question = session.question
        if text:
            said = {"role": "assistant", "content": text}
            more = {"continue_final_message": True, "add_generation_prompt": False}
            question = question | more | {"messages": [*question["messages"], said]}
        request = replace(
            before,
            request=uuid4().hex,
            expires_in_ms=self._settings.classes[session.class_index].deadline_ms,
            prompt_tokens=len(_prompt(question)) / 4,
            max_output_tokens=max(1.0, session.limit - len(text) // 4),
            reconnect=True,
        )
        session.end = None
        session.resumed += 1
        self._run(session, request, question)

    def _run(self, session: Session, request: i.Request, question: dict[str, Any]) -> None:
        """Give the core one request for the session."""
        asked = question | {"stream": True, "max_tokens": int(request.max_output_tokens)}
        asked.pop("max_completion_tokens", None)
        payload = Payload(PATH, orjson.dumps(asked))
        session.record = self._conductor.take(request, payload, Answer(session))

    def _safe(self, class_index: int) -> bool:
        return self._settings.classes[class_index].effect is i.Effect.SAFE

    def _request(self, head: h11.Request, question: dict[str, Any]) -> tuple[int, i.Request]:
        """The core's request; HttpError names the field that is wrong."""
        config, names = self._config, self._names
        if question["model"] not in config.models:
            raise HttpError(404, f"no such model: {question['model']}", "model_not_found", "model")
        told = _header(head, b"x-call-class") or config.models[question["model"]]
        if told not in names.classes:
            raise HttpError(400, f"no such class: {told}", "unknown_class", "X-Call-Class")
        caller = _header(head, b"x-caller") or config.tenant
        if names.tenants and caller not in names.tenants:
            raise HttpError(400, f"no such caller: {caller}", "unknown_caller", "X-Caller")
        index = names.classes.index(told)
        budget = _header(head, b"x-budget-ms")
        if budget and not (budget.isdecimal() and 0 < int(budget) < 10_000_000):
            raise HttpError(400, "not a number of milliseconds", "invalid_value", "X-Budget-Ms")
        first = question["messages"][0]
        shared = _content(first) if first["role"] in ("system", "developer") else ""
        opening = orjson.dumps(question["messages"][: 2 if shared else 1])
        session = (_header(head, b"x-route-hash") or "").encode() or opening
        request = i.Request(
            uuid4().hex,
            float(budget or self._settings.classes[index].deadline_ms),
            index,
            names.index(names.tenants, caller),
            _number(session),
            _number(shared.encode()) if shared else None,
            len(shared) / 4,  # a token is four characters
            len(_prompt(question)) / 4,
            float(question.get("max_completion_tokens") or question.get("max_tokens") or config.max_tokens),
        )
        return index, request

    def _models(self) -> dict[str, Any]:
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "ringledge"}
            for name in self._config.models
        ]
        return {"object": "list", "data": data}

    # Answers.

    async def _first(self, session: Session, seen: int = 0) -> None:
        """Wait for an event behind those seen; HttpError where the answer ends without one."""
        while len(session.events) <= seen and session.end is None:
            await session.news.wait()
        if len(session.events) > seen or session.end is End.SERVED:
            return
        headers = retry_after(session.come_back_ms, self._names)
        if session.end is End.REFUSED:
            raise HttpError(503, "overloaded, nothing has run", "overloaded", headers=headers)
        if session.end is End.BROKEN and self._safe(session.class_index):
            raise HttpError(503, "the stream broke again: come back for it", "stream_broken", headers=headers)
        record = session.record
        if session.end is End.FAILED and record and self._conductor.clock.now_ms() + 50 > record.deadline_ms:
            raise HttpError(504, "no answer in time; it may have run", "deadline_exceeded")
        raise HttpError(500, "the request failed; it may have run", "failed")

    async def _whole(self, conn: Connection, session: Session) -> None:
        """One JSON object when all has come."""
        await self._first(session)
        while session.end is not End.SERVED:
            if session.end is not None:
                # A client that waits for the whole can't come back for the rest, so it is fetched for it.
                if session.resumed >= RESUMES or not self._safe(session.class_index):
                    break
                self._go_on(session)
            else:
                await session.news.wait()
        if session.end is not End.SERVED:
            raise HttpError(500, "the answer broke off; it may have run", "stream_broken")
        message = {"role": "assistant", "content": session.text}
        choice = {"index": 0, "message": message, "finish_reason": session.finish_reason or "stop"}
        told = _envelope(session, "chat.completion") | {"choices": [choice]}
        if session.usage:
            told["usage"] = session.usage
        await respond(conn, 200, orjson.dumps(told))

    async def _stream(self, conn: Connection, session: Session, seen: int) -> None:
        """Server-sent events from the one behind `seen` on; a break ends the connection, never cleanly."""
        await self._first(session, seen)
        await conn.send(STREAM_HEAD)
        while True:
            news, end = session.news, session.end
            fresh = b"".join(self._events(session, seen))
            seen = len(session.events)
            if fresh:
                await conn.send(h11.Data(data=fresh))
            if end is End.SERVED:
                break
            if end is not None:
                return conn.close()
            await news.wait()
        last = _envelope(session, "chat.completion.chunk")
        stop = last | {
            "choices": [{"index": 0, "delta": {}, "finish_reason": session.finish_reason or "stop"}]
        }
        tail = _sse(stop, f"{session.name}:{seen}")
        if session.usage and (session.question.get("stream_options") or {}).get("include_usage"):
            tail += _sse(last | {"choices": [], "usage": session.usage})
        await conn.send(h11.Data(data=tail + b"data: [DONE]\n\n"), h11.EndOfMessage())

    def _events(self, session: Session, seen: int) -> Iterator[bytes]:
        for number, text in enumerate(session.events[seen:], seen + 1):
            delta = {"role": "assistant", "content": text} if number == 1 else {"content": text}
            chunk = _envelope(session, "chat.completion.chunk")
            chunk["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
            yield _sse(chunk, f"{session.name}:{number}")

    async def reap(self) -> None:
        """Drop old sessions in time."""
        while True:
            await anyio.sleep(5.0)
            self.sessions.reap()


def _envelope(session: Session, kind: str) -> dict[str, Any]:
    return {
        "id": session.name,
        "object": kind,
        "created": session.created,
        "model": session.question["model"],
    }


def _sse(chunk: dict[str, Any], number: str = "") -> bytes:
    start = f"id: {number}\n".encode() if number else b""
    return start + b"data: " + orjson.dumps(chunk) + b"\n\n"


def _question(body: bytes) -> dict[str, Any]:
    """The request's JSON with what it must have; HttpError names the field that is wrong."""
    try:
        told = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise HttpError(400, f"the body is no JSON: {error}", "invalid_json") from error
    if not isinstance(told, dict):
        raise HttpError(400, "the body is no JSON object", "invalid_json")
    for name, kind in (("model", str), ("messages", list)):
        if not told.get(name):
            raise HttpError(400, f"missing field: {name}", "missing_field", name)
        if not isinstance(told[name], kind):
            raise HttpError(400, f"{name} has the wrong type", "invalid_type", name)
    for each in told["messages"]:
        if not isinstance(each, dict) or not isinstance(each.get("role"), str) or "content" not in each:
            raise HttpError(400, "a message needs a role and content", "invalid_message", "messages")
        if not isinstance(each["content"], str | list | None):
            raise HttpError(400, "content is text or a list of parts", "invalid_message", "messages")
    for name in ("max_tokens", "max_completion_tokens"):
        value = told.get(name)
        if value is not None and (
            not isinstance(value, int) or isinstance(value, bool) or not 0 < value < 10**7
        ):
            raise HttpError(400, f"{name} is a whole number over 0", "invalid_value", name)
    if not isinstance(told.setdefault("stream", False), bool):
        raise HttpError(400, "stream is true or false", "invalid_type", "stream")
    if not isinstance(told.get("stream_options") or {}, dict):
        raise HttpError(400, "stream_options is an object", "invalid_type", "stream_options")
    if told.get("n") not in (None, 1):
        raise HttpError(400, "one choice a request", "unsupported_value", "n")
    return told


def _content(message: dict[str, Any]) -> str:
    content = message["content"]
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return content or ""


def _prompt(question: dict[str, Any]) -> str:
    return "".join(_content(message) for message in question["messages"])


def _number(text: bytes) -> int:
    """A key as the decisions know it: a number below 2 to the 53rd."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 11


def _header(head: h11.Request, name: bytes) -> str | None:
    value = header(head, name)
    return value.decode("utf-8", "replace").strip() if value else None
