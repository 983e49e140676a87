"""Reads complete message bodies and writes complete responses."""

from __future__ import annotations

import anyio
import h11

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers, header

MAX_BODY_BYTES = 256 * 1024  # the protocol's limit for a message body
BODY_TIMEOUT_S = 10.0  # a body that takes longer to arrive fails with HttpError 408


async def read_body(
    conn: Connection,
    head: h11.Request | h11.Response,
    max_bytes: int = MAX_BODY_BYTES,
    kept_bytes: int = MAX_BODY_BYTES,
) -> bytes:
    """Read the body of a message; raises HttpError 413 if it is too long, 408 if it is too late.

    Returns the body up to the piece with which it exceeds `kept_bytes`; the rest is read and discarded.
    """
    length = header(head, b"content-length")
    if length and int(length) > max_bytes:
        raise HttpError(413, f"the body is longer than {max_bytes} bytes")
    parts, size, deadline_s = [], 0, min(conn.read_deadline_s, anyio.current_time() + BODY_TIMEOUT_S)
    while True:
        event = conn.next_event_nowait()
        if event is None:
            with anyio.CancelScope(deadline=deadline_s) as body_scope:
                event = await conn.next_event()
            if body_scope.cancelled_caught:
                raise HttpError(408, "the body did not come in time", "timeout")
        if isinstance(event, h11.Data):
            is_kept = size < kept_bytes
            size += len(event.data)
            if size > max_bytes:
                raise HttpError(413, f"the body is longer than {max_bytes} bytes")
            if is_kept:
                conn.memory.reserve_body(len(event.data))
                parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise h11.RemoteProtocolError("the message ended early")


def require_method(head: h11.Request, method: bytes) -> None:
    """Raise HttpError 405 unless the request has this method."""
    if head.method != method:
        allow: Headers = [(b"Allow", method)]
        raise HttpError(405, f"only {method.decode()} here", "method_not_allowed", headers=allow)


async def respond(
    conn: Connection,
    status: int,
    body: bytes,
    headers: Headers | None = None,
    content_type: bytes = b"application/json",
) -> None:
    """Send a complete response."""
    response_headers: Headers = [
        (b"Content-Type", content_type),
        (b"Content-Length", b"%d" % len(body)),
        *(headers or []),
    ]
    response = h11.Response(status_code=status, headers=response_headers)
    await conn.send(response, h11.Data(data=body), h11.EndOfMessage())
