"""Lingering close: closes a connection without losing the end of its last response.

Closing a socket that has unread input resets the connection, and the reset discards response data that is
still in flight. So the sending side is shut down first, and further input is read and discarded. That
includes a request that the client sent before it saw the shutdown: it is never forwarded, and the client,
which receives the end of the stream instead of a response, can retry it on another connection. The socket is
closed once the peer has closed its side, or after a timeout.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from ringledge.wire.http.socket_reader import DISCARD_BUFFER

LINGER_S = 0.5  # time for the peer to close its side before the socket is closed regardless
LINGER_BYTES = 1024 * 1024  # maximum input that is discarded before the socket is closed regardless


@dataclass(slots=True, eq=False)
class _ClosingConnection:
    """A connection whose sending side is shut down."""

    sock: socket.socket
    remaining_bytes: int = LINGER_BYTES
    timer: asyncio.TimerHandle | None = None


class LingeringCloses:
    """The connections of a front that are in a lingering close."""

    def __init__(self) -> None:
        self._connections: dict[_ClosingConnection, None] = {}  # in the order in which they began to close

    def __len__(self) -> int:
        """The number of connections that still hold a descriptor."""
        return len(self._connections)

    def begin(self, sock: socket.socket) -> None:
        """Shut down the sending side, and close the socket once the peer has closed its side."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has already reset the connection
            sock.close()
            return
        loop = asyncio.get_running_loop()
        peer = _ClosingConnection(sock)
        self._connections[peer] = None
        peer.timer = loop.call_later(LINGER_S, self._close, peer)
        loop.add_reader(sock, self._discard_input, peer)
        self._discard_input(peer)

    def close(self, limit: int) -> int:
        """Close up to `limit` connections now, the longest lingering first; return how many were closed."""
        for peer in (oldest := list(self._connections)[:limit]):
            self._close(peer)
        return len(oldest)

    def _discard_input(self, peer: _ClosingConnection) -> None:
        try:
            # With MSG_TRUNC, Linux discards received TCP data without copying it (tcp(7)).
            size = peer.sock.recv_into(
                DISCARD_BUFFER, min(len(DISCARD_BUFFER), peer.remaining_bytes), socket.MSG_TRUNC
            )
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            size = 0
        peer.remaining_bytes -= size
        if not size or not peer.remaining_bytes:
            self._close(peer)

    def _close(self, peer: _ClosingConnection) -> None:
        del self._connections[peer]
        asyncio.get_running_loop().remove_reader(peer.sock)
        if peer.timer is not None:
            peer.timer.cancel()
        peer.sock.close()
