"""Lingering close: a connection is closed without losing the end of its last answer.

A close with unread input resets the connection, which discards what of an answer is still in flight. So our
side is shut down first. What the peer still sends is read and discarded, also a request that crossed the
shutdown: nothing is forwarded for it, and its client, which sees the end before an answer, sends it once more
elsewhere. The socket is closed once the peer has ended its side, or after a timeout.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from ringledge.wire.http.socket_reader import DISCARD_BUFFER

LINGER_S = 0.5  # after which the socket is closed though the peer has not ended its side
LINGER_BYTES = 1024 * 1024  # that a peer may still send


@dataclass(slots=True, eq=False)
class _ClosingConnection:
    """One connection whose sending side is shut down."""

    sock: socket.socket
    remaining_bytes: int = LINGER_BYTES
    timer: asyncio.TimerHandle | None = None


class LingeringCloses:
    """The connections of a front that are in their lingering close."""

    def __init__(self) -> None:
        self._connections: dict[_ClosingConnection, None] = {}  # longest first

    def __len__(self) -> int:
        """How many of them still hold a descriptor."""
        return len(self._connections)

    def begin(self, sock: socket.socket) -> None:
        """Shut our side down, and close the socket once the peer has ended its own."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # it is reset already
            sock.close()
            return
        loop = asyncio.get_running_loop()
        peer = _ClosingConnection(sock)
        self._connections[peer] = None
        peer.timer = loop.call_later(LINGER_S, self._close, peer)
        loop.add_reader(sock, self._discard_input, peer)
        self._discard_input(peer)

    def close(self, limit: int) -> int:
        """Close at most `limit` now, the longest lingering first; how many were."""
        for peer in (first := list(self._connections)[:limit]):
            self._close(peer)
        return len(first)

    def _discard_input(self, peer: _ClosingConnection) -> None:
        try:
            # Linux drops what TCP has without copying it, up to the size that is named (tcp(7)).
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
