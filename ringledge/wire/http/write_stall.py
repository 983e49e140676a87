"""Tells a peer that receives slowly from one that receives nothing, while a write waits for it."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

import anyio

STALL_TIMEOUT_S = 20.0  # a peer that receives nothing for this long counts as disconnected


async def wait_until_writable(sock: socket.socket) -> None:
    """Wait until the socket accepts data; TimeoutError if its peer receives nothing for the timeout.

    A slow peer may take longer than that to empty the part of the kernel's buffer that makes the socket
    writable.
    """
    unreceived = unreceived_bytes(sock)
    while True:
        with anyio.move_on_after(STALL_TIMEOUT_S):
            await anyio.wait_writable(sock)
            return
        before, unreceived = unreceived, unreceived_bytes(sock)
        if unreceived >= before:
            raise TimeoutError


def unreceived_bytes(sock: socket.socket) -> int:
    """How many of the bytes written to a socket its peer has not acknowledged; 0 if that is unknown."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0])
    except (OSError, ValueError, struct.error):
        return 0
