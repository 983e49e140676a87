"""Header look-up, and the response headers that describe the connection."""

from __future__ import annotations

import h11

Headers = list[tuple[bytes, bytes]]

# The headers that any front reads. Of a request with more than MAX_KEPT_HEADERS, only these are kept until it
# is answered: parsed headers take many times the memory of their text.
USED_REQUEST_HEADERS = frozenset(
    name.encode()
    for name in (
        "host connection content-length content-type transfer-encoding expect upgrade prefer "
        "idempotency-key last-event-id x-again x-budget-ms x-call-class x-call-cost x-call-id x-call-info "
        "x-caller x-route-hash"
    ).split()
)
MAX_KEPT_HEADERS = 64


def without_unused_headers(head: h11.Request) -> h11.Request:
    """The head without the headers that no front reads, if it has many."""
    if len(head.headers) <= MAX_KEPT_HEADERS:
        return head
    kept: dict[bytes, Headers] = {}
    for name, value in head.headers:
        if name in USED_REQUEST_HEADERS:
            kept.setdefault(name, []).append((name, value))
    headers = [field for fields in kept.values() for field in fields[:MAX_KEPT_HEADERS]]
    return h11.Request(
        method=head.method, target=head.target, headers=headers, http_version=head.http_version
    )


def header_bytes(head: h11.Request) -> int:
    """The length of a request's target and headers."""
    return len(head.target) + sum(len(name) + len(value) for name, value in head.headers)


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
