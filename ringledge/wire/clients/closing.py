"""The close of a connection in order, so that it takes no answer with it.

A close over unread bytes is a reset, and with it goes what of an answer is still on its way. So our sending
is ended first. What the peer still sends, a request that crossed that end too, is read and dropped; nothing
is sent on for it, and its client, which sees the end before an answer, sends it once more elsewhere. The
socket is closed once the peer has ended its side, or after a bound.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from ringledge.wire.http.socket_reader import SCRATCH

LINGER_S = 0.5  # a peer that has not closed by then is closed on
LINGER_BYTES = 1024 * 1024  # that a peer may still send


@dataclass(slots=True, eq=False)
class _Peer:
    """One connection on which nothing is said any more."""

    sock: socket.socket
    left: int = LINGER_BYTES
    timer: asyncio.TimerHandle | None = None


class Lingering:
    """Connections that are being closed in order."""

    def __init__(self) -> None:
        self._peers: dict[_Peer, None] = {}  # longest first

    def __len__(self) -> int:
        """How many still have their descriptor."""
        return len(self._peers)

    def begin(self, sock: socket.socket) -> None:
        """End our sending, and close once the peer has ended its own."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # it is reset already
            return sock.close()
        loop, peer = asyncio.get_running_loop(), _Peer(sock)
        self._peers[peer] = None
        peer.timer = loop.call_later(LINGER_S, self._close, peer)
        loop.add_reader(sock, self._drop, peer)
        self._drop(peer)

    def close(self, most: int) -> int:
        """Close so many at most now, the longest lingering first; how many were."""
        for peer in (first := list(self._peers)[:most]):
            self._close(peer)
        return len(first)

    def _drop(self, peer: _Peer) -> None:
        try:
            # Linux drops what TCP has without copying it, up to the size that is named (tcp(7)).
            size = peer.sock.recv_into(SCRATCH, min(len(SCRATCH), peer.left), socket.MSG_TRUNC)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            size = 0
        peer.left -= size
        if not size or not peer.left:
            self._close(peer)

    def _close(self, peer: _Peer) -> None:
        del self._peers[peer]
        asyncio.get_running_loop().remove_reader(peer.sock)
        if peer.timer is not None:
            peer.timer.cancel()
        peer.sock.close()
