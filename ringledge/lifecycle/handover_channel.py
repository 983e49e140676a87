"""The channel between two processes of one router: JSON messages and descriptors over a Unix socket.

The serving process listens at a path in $TMPDIR, which both processes share. When the channel is closed, the
other process has ended.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import quote

import anyio
import orjson

from ringledge.lifecycle.handover_messages import (
    ListenersResponse,
    encode_listeners_request,
    settings_fingerprint,
)
from ringledge.observe.logging import log
from ringledge.structures.transient_errors import RETRY_INTERVAL_S, is_transient, retry_while_transient

RESPONSE_TIMEOUT_S = 1.0  # a slower predecessor is treated as hung, and its addresses are bound again
MAX_MESSAGE_BYTES = 64 * 1024
MAX_LISTENERS = 8
BACKLOG = 4  # maximum number of successors that wait to be accepted
CHANNEL_ERRORS = (OSError, ValueError, anyio.ClosedResourceError)  # possible at the end of a channel


@dataclass(frozen=True, slots=True)
class Received:
    """A message and the descriptors that came with it."""

    message: dict[str, Any]
    descriptors: list[int]


async def receive(sock: socket.socket) -> Received | None:
    """Receive the next message; returns None at the channel's end."""
    while True:
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, MAX_LISTENERS)
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(sock)
            continue
        return Received(orjson.loads(data), descriptors) if data else None


async def send(sock: socket.socket, message: dict[str, Any], descriptors: Iterable[int] = ()) -> None:
    """Send one message; raises OSError if the other process has ended."""
    while True:
        try:
            socket.send_fds(sock, [orjson.dumps(message)], list(descriptors))
        except (BlockingIOError, InterruptedError):
            await anyio.wait_writable(sock)
        else:
            return


async def accept(listener: socket.socket) -> socket.socket:
    """Accept the channel to the next process that connects."""
    while True:
        try:
            channel, _ = listener.accept()
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(listener)
            continue
        except OSError as error:
            if not is_transient(error):
                raise
            log.rate_limited("successor_delayed", error=str(error))
            await anyio.sleep(RETRY_INTERVAL_S)
            continue
        channel.setblocking(False)
        return channel


def close(sock: socket.socket) -> None:
    """Close the socket, and wake the tasks that wait for it."""
    anyio.notify_closing(sock)
    sock.close()


@contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """A short form of the path, since the address of a Unix socket is limited to 107 bytes."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def path_for(folder: Path, name: str) -> Path:
    """The path of the socket at which the processes of the router of that name connect."""
    return folder / f"ringledge-{quote(name, safe='')}.sock"


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The state that a process inherits from its predecessor; empty if there is none."""

    channel: socket.socket | None = None
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by address
    clock_offset_ms: float | None = None  # the predecessor's Unix time minus its monotonic clock


async def request_listeners(path: Path, fingerprint: str) -> Predecessor:
    """Connect to the predecessor that listens at the path, and receive its listening sockets.

    `fingerprint` identifies this process's settings; one with other settings is not a predecessor.
    """
    if not path.exists():
        return Predecessor()
    channel = retry_while_transient(partial(socket.socket, socket.AF_UNIX, socket.SOCK_SEQPACKET))
    channel.setblocking(False)
    try:
        with anyio.fail_after(RESPONSE_TIMEOUT_S), _short_path(path) as address:
            channel.connect(address)
            await send(channel, encode_listeners_request(fingerprint))
            received = await receive(channel)
        if received is None:
            raise OSError("the predecessor closed the channel")
        return _inherit(channel, received, fingerprint)
    except (*CHANNEL_ERRORS, KeyError, TypeError) as error:  # the path is stale, or the process hangs
        log.warning("predecessor_unavailable", error=repr(error))
        close(channel)
        return Predecessor()


def _inherit(channel: socket.socket, received: Received, fingerprint: str) -> Predecessor:
    """Take over the sockets of a response; raises OSError if the predecessor has other settings."""
    listeners = [socket.socket(fileno=each) for each in received.descriptors]
    if settings_fingerprint(received.message) != fingerprint:
        for listener in listeners:
            listener.close()
        raise OSError("it serves under other settings")
    for listener in listeners:
        listener.setblocking(False)
    response = ListenersResponse.decode(received.message)
    by_address = dict(zip(response.addresses, listeners, strict=True))
    return Predecessor(channel, by_address, response.clock_offset_ms)


def listen(path: Path) -> socket.socket:
    """Listen at the path in place of any earlier process; raises OSError on failure."""
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        listener.setblocking(False)
        temporary = path.with_suffix(f".{os.getpid()}")
        temporary.unlink(missing_ok=True)
        with _short_path(temporary) as address:
            listener.bind(address)
        temporary.chmod(0o600)
        listener.listen(BACKLOG)
        temporary.replace(path)
    except BaseException:
        listener.close()
        raise
    return listener
