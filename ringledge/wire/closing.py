"""The close of a connection whose peer may still send."""

from __future__ import annotations

import socket

import anyio

from ringledge.wire.connection import Connection

LINGER_S, LINGER_BYTES = 0.5, 1024 * 1024  # what is still read of a client that was turned away and cut off


async def close_in_order(conn: Connection) -> None:
    """End our sending, read what the client still sends for a moment, and close.

    A close over unread bytes is a reset, which would destroy the answer on its way.
    """
    conn.sock.shutdown(socket.SHUT_WR)
    left = LINGER_BYTES
    with anyio.move_on_after(LINGER_S):
        while left > 0 and await conn.fill():
            left -= len(conn.buffer.take())
    conn.close()
