"""The other process of a conductor at the hand-over channel, played message by message."""

from __future__ import annotations

import json
import os
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.loopback import WAIT_S

MESSAGE_BYTES = 64 * 1024
LISTENERS = 8
POLL_S = 0.005  # between two looks for the socket
SOCKET = "ringledge-n1.sock"  # where the processes of the conductor n1 meet


@contextmanager
def _short(folder: Path) -> Iterator[str]:
    """The socket's path by its folder's descriptor: a Unix socket's own may have 107 bytes only."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET}"
    finally:
        os.close(descriptor)


class Peer:
    """One end of the channel."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(WAIT_S)

    def send(self, message: bytes, listeners: tuple[socket.socket, ...] = ()) -> None:
        """Send one message with descriptors."""
        socket.send_fds(self.sock, [message], [each.fileno() for each in listeners])

    def receive(self) -> tuple[bytes, list[int]]:
        """The next message and its descriptors; no bytes at the channel's end."""
        data, descriptors, _, _ = socket.recv_fds(self.sock, MESSAGE_BYTES, LISTENERS)
        return data, descriptors

    def message(self, key: str) -> dict[str, Any]:
        """The next message with a key; those before it are passed over."""
        while True:
            data, _ = self.receive()
            assert data, f"the channel ended before a message with {key!r}"
            message: dict[str, Any] = json.loads(data)
            if key in message:
                return message

    def close(self) -> None:
        """End the channel."""
        self.sock.close()


def connect(folder: Path) -> Peer:
    """Come as a successor to the process that serves; it opens its socket a moment after it is ready."""
    give_up_s = time.monotonic() + WAIT_S
    while not (folder / SOCKET).exists():
        assert time.monotonic() < give_up_s, f"no {SOCKET} in {folder}"
        time.sleep(POLL_S)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with _short(folder) as path:
        sock.connect(path)
    return Peer(sock)


class Predecessor:
    """Waits at the socket as the process that serves."""

    def __init__(self, folder: Path) -> None:
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with _short(folder) as path:
            self._listener.bind(path)
        self._listener.listen(1)
        self._listener.settimeout(WAIT_S)

    def accept(self) -> Peer:
        """The successor's channel."""
        sock, _ = self._listener.accept()
        return Peer(sock)

    def close(self) -> None:
        """Wait no more."""
        self._listener.close()
