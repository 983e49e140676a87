"""Stands in for the other process of a router on the hand-over channel, message by message."""

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
POLL_S = 0.005  # interval of checks for the socket file
SOCKET = "ringledge-n1.sock"  # hand-over socket of the router n1


@contextmanager
def _short_path(folder: Path) -> Iterator[str]:
    """A path through the folder's descriptor, since Unix socket paths are limited to 107 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET}"
    finally:
        os.close(descriptor)


class Peer:
    """One end of the hand-over channel."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(WAIT_S)

    def send(self, message: bytes, listeners: tuple[socket.socket, ...] = ()) -> None:
        """Sends a message with the descriptors of listeners."""
        socket.send_fds(self.sock, [message], [each.fileno() for each in listeners])

    def receive(self) -> tuple[bytes, list[int]]:
        """Receives a message and its descriptors; the message is empty at the end of the channel."""
        data, descriptors, _, _ = socket.recv_fds(self.sock, MESSAGE_BYTES, LISTENERS)
        return data, descriptors

    def message(self, key: str) -> dict[str, Any]:
        """Receives the next message with this key and skips all others."""
        while True:
            data, _ = self.receive()
            assert data, f"the channel ended before a message with {key!r}"
            message: dict[str, Any] = json.loads(data)
            if key in message:
                return message

    def close(self) -> None:
        """Closes the channel."""
        self.sock.close()


def connect(folder: Path) -> Peer:
    """Connects as a successor; the serving process opens its socket shortly after it is ready."""
    deadline_s = time.monotonic() + WAIT_S
    while not (folder / SOCKET).exists():
        assert time.monotonic() < deadline_s, f"no {SOCKET} in {folder}"
        time.sleep(POLL_S)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with _short_path(folder) as path:
        sock.connect(path)
    return Peer(sock)


class Predecessor:
    """Listens on the hand-over socket as the serving process does."""

    def __init__(self, folder: Path) -> None:
        self._listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with _short_path(folder) as path:
            self._listener.bind(path)
        self._listener.listen(1)
        self._listener.settimeout(WAIT_S)

    def accept(self) -> Peer:
        """Accepts the connection of the successor."""
        sock, _ = self._listener.accept()
        return Peer(sock)

    def close(self) -> None:
        """Closes the socket."""
        self._listener.close()
