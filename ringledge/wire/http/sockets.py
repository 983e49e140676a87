"""Opens connections and listening sockets, and configures TCP keep-alive."""

from __future__ import annotations

import socket
from contextlib import suppress
from functools import partial

import anyio
import h11

from ringledge.structures.transient_errors import NO_LOCAL_PATH, RESOURCE_EXHAUSTED, retry_while_transient
from ringledge.wire.http.connection import Connection

LOCAL_RETRY_INTERVAL_S = 0.01  # delay after a connect failed for lack of a local resource
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S = 60, 10  # idle time before the first probe; between probes
USER_TIMEOUT_MS = 30_000  # how long sent data, including keep-alive probes, may stay unacknowledged


class LocalConnectError(OSError):
    """No connection was attempted: a local descriptor, port, buffer or route was missing all the time."""


async def connect(address: str, timeout_s: float) -> Connection:
    """Open a connection, retrying while a local resource is missing.

    Raises OSError if the peer refuses, TimeoutError if the connection is not established in time, and
    LocalConnectError if the local resource is still missing then.
    """
    failed: OSError | None = None
    with anyio.move_on_after(timeout_s):
        while True:
            try:
                return await _connect_once(address)
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED | NO_LOCAL_PATH:
                    raise
                failed = error
            await anyio.sleep(LOCAL_RETRY_INTERVAL_S)
    if failed is not None:
        raise LocalConnectError(failed.errno, failed.strerror) from failed
    raise TimeoutError


async def _connect_once(address: str) -> Connection:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(BlockingIOError, InterruptedError):  # connecting continues in the background
            sock.connect((host, int(port)))
        await anyio.wait_writable(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect failed")
    except BaseException:
        sock.close()
        raise
    return Connection(sock, h11.CLIENT)


def listen(address: str) -> socket.socket:
    """Open a listening socket, bound to that address only; transient errors are retried."""
    return retry_while_transient(partial(_listen_once, address))


def _listen_once(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A hung process that listens at the address must not prevent a start.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        sock.listen(1024)
    except BaseException:
        sock.close()
        raise
    return sock


def enable_keepalive(sock: socket.socket, keep_s: float) -> None:
    """Let the kernel detect peers that vanished, which an idle connection would not notice otherwise."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, min(KEEPALIVE_IDLE_S, int(keep_s / 2))))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
