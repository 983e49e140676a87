"""Whole messages: a body is read, an answer is written."""

from __future__ import annotations

import anyio
import h11

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers, header

MAX_BODY = 256 * 1024  # bytes: the protocol's limit
BODY_S = 10.0  # a peer's body that takes longer is given up


async def read_body(conn: Connection, head: h11.Request | h11.Response, limit: int = MAX_BODY) -> bytes:
    """The whole body of a message; HttpError 413 as soon as it proves too long."""
    length = header(head, b"content-length")
    if length and int(length) > limit:
        raise HttpError(413, f"the body is longer than {limit} bytes")
    parts, size, until = [], 0, min(conn.read_by, anyio.current_time() + BODY_S)
    while True:
        event = conn.event_now()
        if event is None:
            with anyio.CancelScope(deadline=until) as slow:
                event = await conn.next_event()
            if slow.cancelled_caught:
                raise HttpError(408, "the body did not come in time", "timeout")
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > limit:
                raise HttpError(413, f"the body is longer than {limit} bytes")
            conn.hold(len(event.data))
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise h11.RemoteProtocolError("the message ended early")


def only(head: h11.Request, method: bytes) -> None:
    """Let one method through."""
    if head.method != method:
        allow: Headers = [(b"Allow", method)]
        raise HttpError(405, f"only {method.decode()} here", "method_not_allowed", headers=allow)


async def respond(
    conn: Connection,
    status: int,
    body: bytes,
    headers: Headers | None = None,
    kind: bytes = b"application/json",
) -> None:
    """One whole answer."""
    told: Headers = [(b"Content-Type", kind), (b"Content-Length", b"%d" % len(body)), *(headers or [])]
    response = h11.Response(status_code=status, headers=told)
    await conn.send(response, h11.Data(data=body), h11.EndOfMessage())
