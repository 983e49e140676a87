"""Sends a request to the discovery service and receives the head of its response."""

from __future__ import annotations

import h11

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.sockets import connect

CONNECT_TIMEOUT_S = 3.0


async def open_response(address: str, path: str) -> tuple[Connection, h11.Response]:
    """Request a path; returns the connection and the head of the 200 response, without a time limit.

    Raises OSError if the connection fails, and h11.RemoteProtocolError for any other response.
    """
    conn = await connect(address, CONNECT_TIMEOUT_S)
    try:
        request = h11.Request(method="GET", target=path, headers=[("Host", address)])
        await conn.send(request, h11.EndOfMessage())
        head = await conn.next_event()
        if not isinstance(head, h11.Response) or head.status_code != 200:
            raise h11.RemoteProtocolError(f"discovery: expected status 200, got {head!r}")
    except BaseException:
        conn.close()
        raise
    return conn, head
