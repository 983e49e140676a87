"""Between two processes of one conductor: the old one hands its listening sockets to its successor.

Both share $TMPDIR, where each listens in turn at a Unix socket. The channel between them stays open while
they overlap: over it each tells which requests it has open, and its end tells that the other one is gone.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any
from urllib.parse import quote

import anyio
import orjson

from ringledge.core.ledger import Ledger
from ringledge.observe.logging import log

ANSWER_S = 1.0  # a predecessor that says nothing for so long hangs: its addresses are bound anew
MESSAGE = 64 * 1024  # bytes of a message at most
MOST_LISTENERS = 8
AT_ONCE = 500  # ids a message: each is 64 characters at most
BROKEN = (OSError, ValueError, anyio.ClosedResourceError)  # what a channel's end looks like


async def _receive(sock: socket.socket) -> tuple[dict[str, Any], list[int]] | None:
    """The next message and the descriptors that came with it; None at the channel's end."""
    while True:
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, MESSAGE, MOST_LISTENERS)
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(sock)
            continue
        return (orjson.loads(data), descriptors) if data else None


async def _send(sock: socket.socket, told: dict[str, Any], descriptors: Iterable[int] = ()) -> None:
    while True:
        try:
            socket.send_fds(sock, [orjson.dumps(told)], list(descriptors))
            return
        except (BlockingIOError, InterruptedError):
            await anyio.wait_writable(sock)


async def _accept(door: socket.socket) -> socket.socket:
    while True:
        try:
            channel, _ = door.accept()
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(door)
            continue
        channel.setblocking(False)
        return channel


def _close(sock: socket.socket) -> None:
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


async def ask(path: Path) -> tuple[socket.socket | None, dict[str, socket.socket]]:
    """The channel to a predecessor and its listening sockets by address; nothing where none answers."""
    if not path.exists():
        return None, {}
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.setblocking(False)
    try:
        with anyio.fail_after(ANSWER_S), _short(path) as short:
            channel.connect(short)
            await _send(channel, {"want": "listeners"})
            message = await _receive(channel)
        if message is None:
            raise OSError("it ended the channel")
        told, descriptors = message
        listeners = [socket.socket(fileno=each) for each in descriptors]
        for listener in listeners:
            listener.setblocking(False)
        return channel, dict(zip(told["listeners"], listeners, strict=True))
    except (*BROKEN, KeyError, TypeError) as error:  # a stale file, or a process that hangs or is another's
        log.warning("no_predecessor", error=repr(error))
        _close(channel)
        return None, {}


class Peer:
    """The other process: what it has open, and what it is yet to be told of ours."""

    def __init__(self, channel: socket.socket, ledger: Ledger) -> None:
        self.ids: set[str] = set()
        self._channel, self._ledger = channel, ledger
        self._untold = dict.fromkeys(ledger.records, True)
        self._news = anyio.Event()
        self._sending = anyio.Lock()  # two tasks may not wait for the same socket
        ledger.peers.append(self)

    def note(self, request: str, opened: bool) -> None:
        """Have it told that a request was opened, or has ended."""
        self._untold[request] = opened
        self._news.set()

    async def send(self, **told: Any) -> None:
        """Tell it something; where the channel has ended, `follow` finds that."""
        with suppress(*BROKEN):
            async with self._sending:
                await _send(self._channel, told)

    async def follow(self, heard: Callable[[dict[str, Any]], None]) -> None:
        """Hand on what it says until it is gone."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._tell)
                with suppress(*BROKEN):  # an end without a word is an end
                    while (message := await _receive(self._channel)) is not None:
                        self.ids |= set(message[0].get("open", ()))
                        self.ids -= set(message[0].get("ended", ()))
                        heard(message[0])
                tasks.cancel_scope.cancel()
        finally:
            self._ledger.peers.remove(self)
            _close(self._channel)

    async def _tell(self) -> None:
        while True:
            while self._untold:
                some = list(self._untold.items())[:AT_ONCE]
                for name, _ in some:
                    del self._untold[name]
                opened = [name for name, opened in some if opened]
                await self.send(open=opened, ended=[name for name, opened in some if not opened])
            self._news = anyio.Event()
            await self._news.wait()


class Handover:
    """Where this process stands among those of its conductor: who came before, who comes after."""

    def __init__(
        self,
        path: Path,
        listeners: dict[str, socket.socket],
        ledger: Ledger,
        share: Callable[[int], None],  # told among how many processes the limits are divided
        leave: Callable[[set[str]], None],  # called when a successor serves, with the addresses that it has
        reopen: Callable[[], None],  # called when a successor that served is gone
        learned: Callable[[], Iterable[dict[str, Any]]],  # what a successor should know, in parts
        learn: Callable[[dict[str, Any]], None],  # told a part of what the predecessor knows
    ) -> None:
        self.left = False  # a successor serves
        self._path, self._listeners, self._ledger = path, listeners, ledger
        self._share, self._leave, self._reopen = share, leave, reopen
        self._learned, self._learn = learned, learn
        self._processes = 1

    def _count(self, change: int) -> None:
        self._processes += change
        self._share(self._processes)

    async def follow(self, channel: socket.socket, serving: anyio.Event) -> None:
        """Keep in touch with the predecessor, and tell it once this process serves."""
        peer = Peer(channel, self._ledger)
        self._count(1)

        async def tell() -> None:
            await serving.wait()
            await peer.send(serving=sorted(self._listeners))
            log.info("taken_over", listeners=sorted(self._listeners))

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(tell)
                await peer.follow(lambda told: self._learn(told.get("learned", {})))
                tasks.cancel_scope.cancel()
        finally:
            self._count(-1)
        log.info("predecessor_gone")

    async def offer(self) -> None:
        """Wait for successors, one at a time."""
        while True:
            try:
                door = self._open()
            except OSError as error:  # serving goes on; only the next start has to bind anew
                log.error("handover_closed", error=str(error))
                return
            try:
                while not await self._serve(await _accept(door)):
                    pass
            finally:
                _close(door)

    def _open(self) -> socket.socket:
        """Listen at the path, in the place of whoever did before."""
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            door.setblocking(False)
            new = self._path.with_suffix(f".{os.getpid()}")
            new.unlink(missing_ok=True)
            with _short(new) as short:
                door.bind(short)
            new.chmod(0o600)
            door.listen(4)
            new.replace(self._path)
        except BaseException:
            door.close()
            raise
        return door

    async def _serve(self, channel: socket.socket) -> bool:
        """One successor, from its question to its end; whether it served, and so has taken the path."""
        try:
            with anyio.fail_after(ANSWER_S):
                if await _receive(channel) is None:
                    raise OSError("it ended the channel")
                fds = [each.fileno() for each in self._listeners.values()]
                await _send(channel, {"listeners": list(self._listeners)}, fds)
                for part in list(self._learned()):  # all at once: it goes on learning meanwhile
                    await _send(channel, {"learned": part})
        except BROKEN as error:
            log.warning("successor_lost", error=repr(error))
            _close(channel)
            return False
        log.info("handed_over", listeners=sorted(self._listeners))

        def heard(message: dict[str, Any]) -> None:
            if message.get("serving") and not self.left:
                self.left = True
                self._leave(set(message["serving"]))
                log.info("successor_serves")

        peer = Peer(channel, self._ledger)
        self._count(1)
        try:
            await peer.follow(heard)
        finally:
            self._count(-1)
        served, self.left = self.left, False
        log.info("successor_gone", served=served)
        if served:
            self._reopen()
        return served

    def close(self) -> None:
        """Leave no socket file behind that nobody listens at; a successor's own may be there already."""
        if self._processes == 1:
            self._path.unlink(missing_ok=True)
