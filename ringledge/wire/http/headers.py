"""Header look-up, and the response headers that describe the connection."""

from __future__ import annotations

import h11

Headers = list[tuple[bytes, bytes]]


def headers_by_name(head: h11.Request | h11.Response) -> dict[bytes, bytes]:
    """The first value of each header by lower-case name; one pass is cheaper than several look-ups."""
    by_name: dict[bytes, bytes] = {}
    for key, value in head.headers:
        by_name.setdefault(key, value)
    return by_name


def header(head: h11.Request | h11.Response, name: bytes) -> bytes | None:
    """The first value of a header, whose name is given in lower case; None if it is missing."""
    for key, value in head.headers:
        if key == name:
            return bytes(value)
    return None


def with_keep_alive(event: h11.Event, keep_alive: bytes) -> h11.Event:
    """Add a Keep-Alive header to a response head, unless it has a Connection header."""
    if not isinstance(event, h11.Response) or header(event, b"connection"):
        return event
    headers = [*event.headers, (b"Keep-Alive", keep_alive)]
    return h11.Response(status_code=event.status_code, headers=headers, reason=event.reason)


def with_connection_close(event: h11.Event) -> h11.Event:
    """Add `Connection: close` to a response head, unless it has a Connection header."""
    if not isinstance(event, h11.Response) or header(event, b"connection"):
        return event
    headers = [*event.headers, (b"Connection", b"close")]
    return h11.Response(status_code=event.status_code, headers=headers, reason=event.reason)
