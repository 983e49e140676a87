"""The channel between two processes of one conductor: messages in JSON over a Unix socket, with descriptors.

Both share $TMPDIR, where each listens in turn at a path of its own. The channel's end tells that the other
process is gone.
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

from ringledge.observe.logging import log
from ringledge.structures.transient_errors import AGAIN_S, at_start, is_transient

ANSWER_S = 1.0  # a predecessor that says nothing for so long hangs: its addresses are bound anew
MESSAGE = 64 * 1024  # bytes of a message at most
MOST_LISTENERS = 8
WAITING = 4  # successors that may wait at the door
BROKEN = (OSError, ValueError, anyio.ClosedResourceError)  # what a channel's end looks like


async def receive(sock: socket.socket) -> tuple[dict[str, Any], list[int]] | None:
    """The next message and the descriptors that came with it; None at the channel's end."""
    while True:
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, MESSAGE, MOST_LISTENERS)
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(sock)
            continue
        return (orjson.loads(data), descriptors) if data else None


async def send(sock: socket.socket, told: dict[str, Any], descriptors: Iterable[int] = ()) -> None:
    """Send one message; OSError where the other side is gone."""
    while True:
        try:
            socket.send_fds(sock, [orjson.dumps(told)], list(descriptors))
            return
        except (BlockingIOError, InterruptedError):
            await anyio.wait_writable(sock)


async def accept(door: socket.socket) -> socket.socket:
    """The next channel of a process that comes to the door."""
    while True:
        try:
            channel, _ = door.accept()
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(door)
            continue
        except OSError as error:
            if not is_transient(error):
                raise
            log.often("successor_waits", error=str(error))
            await anyio.sleep(AGAIN_S)
            continue
        channel.setblocking(False)
        return channel


def close(sock: socket.socket) -> None:
    """Close it; whoever waits for it is woken."""
    anyio.notify_closing(sock)
    sock.close()


@contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path by its folder's descriptor: a Unix socket's own may have 107 bytes only."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def path_for(folder: Path, name: str) -> Path:
    """Where a conductor's processes meet."""
    return folder / f"ringledge-{quote(name, safe='')}.sock"


@dataclass(frozen=True, slots=True)
class Predecessor:
    """What a process finds of the one before it; nothing where none answers."""

    channel: socket.socket | None = None
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by address
    clock_offset_ms: float | None = None  # what its clock is off the monotonic one


async def ask(path: Path, settings: str) -> Predecessor:
    """The predecessor that listens at a path.

    `settings`: our fingerprint; a process under other settings is no predecessor.
    """
    if not path.exists():
        return Predecessor()
    channel = at_start(partial(socket.socket, socket.AF_UNIX, socket.SOCK_SEQPACKET))
    channel.setblocking(False)
    try:
        with anyio.fail_after(ANSWER_S), _short(path) as short:
            channel.connect(short)
            await send(channel, {"want": "listeners", "settings": settings})
            message = await receive(channel)
        if message is None:
            raise OSError("it ended the channel")
        told, descriptors = message
        listeners = [socket.socket(fileno=each) for each in descriptors]
        if told.get("settings") != settings:
            for listener in listeners:
                listener.close()
            raise OSError("it serves under other settings")
        for listener in listeners:
            listener.setblocking(False)
        by_address = dict(zip(told["listeners"], listeners, strict=True))
        return Predecessor(channel, by_address, _number(told.get("clock_offset_ms")))
    except (*BROKEN, KeyError, TypeError) as error:  # a stale file, or a process that hangs or is another's
        log.warning("no_predecessor", error=repr(error))
        close(channel)
        return Predecessor()


def _number(told: Any) -> float | None:
    """A number, or None where an older process tells none."""
    return float(told) if isinstance(told, int | float) else None


def open_door(path: Path) -> socket.socket:
    """Listen at the path, in the place of whoever did before; OSError where that can't be."""
    door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        door.setblocking(False)
        new = path.with_suffix(f".{os.getpid()}")
        new.unlink(missing_ok=True)
        with _short(new) as short:
            door.bind(short)
        new.chmod(0o600)
        door.listen(WAITING)
        new.replace(path)
    except BaseException:
        door.close()
        raise
    return door
