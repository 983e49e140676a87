"""Closes connections with a reset, where an orderly close would tell the peer the wrong thing."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

from ringledge.wire.http.write_stall import unreceived_bytes

if TYPE_CHECKING:
    from ringledge.wire.http.connection import Connection

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER


def abort(conn: Connection) -> None:
    """Close a connection at once; what its peer has not received of the written data is discarded.

    The kernel would go on sending it behind an orderly close, and the request might arrive seconds later.
    """
    if not conn.closed and unreceived_bytes(conn.sock):
        _reset_on_close(conn)
    conn.close()


def reset_if_close_ends_stream(conn: Connection) -> None:
    """Reset the connection of a peer that takes its close for the end of a stream, as with HTTP/1.0."""
    version = conn.h11.their_http_version
    if not conn.closed and version is not None and version < b"1.1":
        _reset_on_close(conn)
        conn.close()


def _reset_on_close(conn: Connection) -> None:
    with suppress(OSError):  # a system that refuses the option closes the connection all the same
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
