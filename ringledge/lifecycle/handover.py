"""Hand-over between two processes of one router: a process passes its listening sockets to its successor.

While both run, each notifies the other over their channel of the requests that it has open.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol

import anyio

from ringledge.core.conductor import Conductor
from ringledge.lifecycle import handover_channel as channel
from ringledge.lifecycle.fronts import Fronts
from ringledge.lifecycle.handover_messages import (
    ListenersResponse,
    PeerMessage,
    encode_serving,
    encode_snapshot_part,
    settings_fingerprint,
)
from ringledge.lifecycle.peer_process import PeerProcess
from ringledge.observe.logging import log

RETRY_INTERVAL_S = 2.0  # before listening for successors again after an error


class HandoverObserver(Protocol):
    """Receives notifications about the router's other processes."""

    def on_process_count(self, processes: int) -> None:
        """Called when the number of processes that share the router's limits changes."""

    def on_successor_serving(self) -> None:
        """Called when a successor serves in place of this process."""


class Handover:
    """Takes over from a predecessor, and hands over to successors."""

    def __init__(
        self, path: Path, fingerprint: str, fronts: Fronts, conductor: Conductor, observer: HandoverObserver
    ) -> None:
        """`fingerprint` identifies this process's settings; one with other settings receives nothing."""
        self.successor_serves = False
        self._path = path
        self._fingerprint = fingerprint
        self._fronts = fronts
        self._conductor = conductor
        self._observer = observer
        self._listeners = fronts.listeners
        self._processes = 1

    @contextmanager
    def _sharing_limits(self) -> Iterator[None]:
        """Count one more process that shares the limits, within the context."""
        self._add_processes(1)
        try:
            yield
        finally:
            self._add_processes(-1)

    def _add_processes(self, change: int) -> None:
        self._processes += change
        self._observer.on_process_count(self._processes)

    async def follow_predecessor(self, sock: socket.socket, is_serving: anyio.Event) -> None:
        """Load the predecessor's snapshot, and notify it once this process serves, until it has ended."""
        peer = PeerProcess(sock, self._conductor.registry)

        async def notify_serving() -> None:
            await is_serving.wait()
            addresses = sorted(self._listeners)
            await peer.send(encode_serving(addresses))
            log.info("listeners_taken_over", listeners=sorted(self._listeners))

        with self._sharing_limits():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(notify_serving)
                await peer.run(lambda message: self._conductor.load_snapshot(message.snapshot_part))
                tasks.cancel_scope.cancel()
        log.info("predecessor_ended")

    async def serve_successors(self) -> None:
        """Wait for successors, and hand over to one at a time."""
        while True:
            try:
                listener = channel.listen(self._path)
            except OSError as error:  # a process that starts meanwhile has to bind its own sockets
                await self._wait_to_retry(error)
                continue
            try:
                has_served = False
                while not has_served:  # a successor that serves has replaced the socket at the path
                    has_served = await self._serve_successor(await channel.accept(listener))
            except OSError as error:
                await self._wait_to_retry(error)
            finally:
                channel.close(listener)

    @staticmethod
    async def _wait_to_retry(error: OSError) -> None:
        log.error("handover_unavailable", error=str(error), again_s=RETRY_INTERVAL_S)
        await anyio.sleep(RETRY_INTERVAL_S)

    async def _serve_successor(self, sock: socket.socket) -> bool:
        """Hand over to one successor until it has ended; returns whether it served."""
        try:
            with anyio.fail_after(channel.RESPONSE_TIMEOUT_S):
                await self._hand_over(sock)
        except channel.CHANNEL_ERRORS as error:
            log.warning("successor_lost", error=repr(error))
            channel.close(sock)
            return False
        log.info("listeners_handed_over", listeners=sorted(self._listeners))
        peer = PeerProcess(sock, self._conductor.registry)
        with self._sharing_limits():
            await peer.run(self._on_successor_message)
        has_served = self.successor_serves
        self.successor_serves = False
        log.info("successor_ended", served=has_served)
        if has_served:
            self._fronts.reopen()
        return has_served

    async def _hand_over(self, sock: socket.socket) -> None:
        """Answer a successor's request; raises OSError if it has other settings or has ended."""
        received = await channel.receive(sock)
        if received is None:
            raise OSError("the successor closed the channel")
        if settings_fingerprint(received.message) != self._fingerprint:
            raise OSError("it serves under other settings")
        response = ListenersResponse(
            list(self._listeners), self._fingerprint, self._conductor.clock.offset_ms
        )
        descriptors = [listener.fileno() for listener in self._listeners.values()]
        await channel.send(sock, response.encode(), descriptors)
        # Dumped as a whole before the first send, since the policy's state changes meanwhile.
        parts = list(self._conductor.dump_snapshot())
        for part in parts:
            await channel.send(sock, encode_snapshot_part(part))

    def _on_successor_message(self, message: PeerMessage) -> None:
        if message.serving and not self.successor_serves:
            self.successor_serves = True
            self._fronts.yield_to_successor(set(message.serving))
            self._observer.on_successor_serving()
            log.info("successor_started_serving")

    def close(self) -> None:
        """Delete the socket's path, unless the other process may already listen there."""
        if self._processes == 1:
            self._path.unlink(missing_ok=True)
