"""Between two processes of one conductor: the old one hands its listening sockets to its successor.

While they overlap, each tells the other over the channel between them which requests it has open.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from ringledge.core.conductor import Conductor
from ringledge.core.registry import RequestRegistry
from ringledge.lifecycle import handover_channel as channel
from ringledge.lifecycle.fronts import Fronts
from ringledge.observe.logging import log

OPEN_AGAIN_S = 2.0  # between two tries to be there for successors
AT_ONCE = 500  # ids a message: each is 64 characters at most


class Peer:
    """The other process: what it has open, and what it is yet to be told of ours."""

    def __init__(self, sock: socket.socket, registry: RequestRegistry) -> None:
        self.open_request_ids: set[str] = set()
        self._sock, self._registry = sock, registry
        self._untold = dict.fromkeys(registry.records, True)
        self._news = anyio.Event()
        self._sending = anyio.Lock()  # two tasks may not wait for the same socket
        registry.peers.append(self)

    def notify(self, request: str, opened: bool) -> None:
        """Have it told that a request was opened, or has ended."""
        self._untold[request] = opened
        self._news.set()

    async def send(self, **told: Any) -> None:
        """Tell it something; where the channel has ended, `follow` finds that."""
        with suppress(*channel.BROKEN):
            async with self._sending:
                await channel.send(self._sock, told)

    async def follow(self, heard: Callable[[dict[str, Any]], None]) -> None:
        """Hand on what it says until it is gone."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._tell)
                with suppress(*channel.BROKEN):  # an end without a word is an end
                    while (message := await channel.receive(self._sock)) is not None:
                        self.open_request_ids |= set(message[0].get("open", ()))
                        self.open_request_ids -= set(message[0].get("ended", ()))
                        heard(message[0])
                tasks.cancel_scope.cancel()
        finally:
            self._registry.peers.remove(self)
            channel.close(self._sock)

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


class Told(NamedTuple):
    """Who is told of what the other process does."""

    share: Callable[[int], None]  # among how many processes the limits are divided
    left: Callable[[], None]  # a successor serves


class Handover:
    """Where this process stands among those of its conductor: who came before, who comes after."""

    def __init__(
        self,
        path: Path,
        settings: str,
        fronts: Fronts,
        conductor: Conductor,
        told: Told,
    ) -> None:
        """`settings`: the fingerprint of ours; nothing is handed to a process under others."""
        self.left = False  # a successor serves
        self._settings = settings
        self._path, self._fronts, self._conductor, self._told = path, fronts, conductor, told
        self._listeners = fronts.listeners
        self._processes = 1

    def _count(self, change: int) -> None:
        self._processes += change
        self._told.share(self._processes)

    async def follow(self, sock: socket.socket, serving: anyio.Event) -> None:
        """Keep in touch with the predecessor, and tell it once this process serves."""
        peer = Peer(sock, self._conductor.registry)
        self._count(1)

        async def tell() -> None:
            await serving.wait()
            await peer.send(serving=sorted(self._listeners))
            log.info("taken_over", listeners=sorted(self._listeners))

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(tell)
                await peer.follow(lambda told: self._conductor.load_snapshot(told.get("learned", {})))
                tasks.cancel_scope.cancel()
        finally:
            self._count(-1)
        log.info("predecessor_gone")

    async def offer(self) -> None:
        """Wait for successors, one at a time."""
        while True:
            try:
                door = channel.open_door(self._path)
            except OSError as error:  # serving goes on; a start meanwhile has to bind anew
                log.error("handover_closed", error=str(error), again_s=OPEN_AGAIN_S)
                await anyio.sleep(OPEN_AGAIN_S)
                continue
            try:
                while not await self._serve(await channel.accept(door)):
                    pass
            except OSError as error:
                log.error("handover_closed", error=str(error), again_s=OPEN_AGAIN_S)
                await anyio.sleep(OPEN_AGAIN_S)
            finally:
                channel.close(door)

    async def _serve(self, sock: socket.socket) -> bool:
        """One successor, from its question to its end; whether it served, and so has taken the path."""
        try:
            with anyio.fail_after(channel.ANSWER_S):
                message = await channel.receive(sock)
                if message is None:
                    raise OSError("it ended the channel")
                if message[0].get("settings") != self._settings:
                    raise OSError("it serves under other settings")
                fds = [each.fileno() for each in self._listeners.values()]
                told = {
                    "listeners": list(self._listeners),
                    "settings": self._settings,
                    "clock_offset_ms": self._conductor.clock.offset_ms,
                }
                await channel.send(sock, told, fds)
                for part in list(
                    self._conductor.dump_snapshot()
                ):  # all at once: it goes on learning meanwhile
                    await channel.send(sock, {"learned": part})
        except channel.BROKEN as error:
            log.warning("successor_lost", error=repr(error))
            channel.close(sock)
            return False
        log.info("handed_over", listeners=sorted(self._listeners))

        def heard(message: dict[str, Any]) -> None:
            if message.get("serving") and not self.left:
                self.left = True
                self._fronts.leave(set(message["serving"]))
                self._told.left()
                log.info("successor_serves")

        peer = Peer(sock, self._conductor.registry)
        self._count(1)
        try:
            await peer.follow(heard)
        finally:
            self._count(-1)
        served, self.left = self.left, False
        log.info("successor_gone", served=served)
        if served:
            self._fronts.reopen()
        return served

    def close(self) -> None:
        """Leave no socket file behind that nobody listens at; a successor's own may be there already."""
        if self._processes == 1:
            self._path.unlink(missing_ok=True)
