"""The other process of this router during a hand-over, and the ids of the requests that it has open."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio

from ringledge.core.registry import RequestRegistry
from ringledge.lifecycle import handover_channel as channel
from ringledge.lifecycle.handover_messages import PeerMessage, encode_request_changes

MAX_IDS_PER_MESSAGE = 250  # an id has at most 64 characters, and may be in two of a message's lists


class PeerProcess:
    """Exchanges the ids of open requests with the other process over a channel.

    Changes are recorded from the creation of the object, and sent while `run` runs.
    """

    def __init__(self, sock: socket.socket, registry: RequestRegistry) -> None:
        self.open_request_ids: set[str] = set()  # requests that are open in the other process
        self._sock = sock
        self._registry = registry
        # Changes to be sent, in order: by request id, whether the request is open.
        self._unsent_changes = dict.fromkeys(registry.possible_runs, False)
        self._unsent_changes |= dict.fromkeys(registry.records, True)
        self._has_changes = anyio.Event()
        self._send_lock = anyio.Lock()  # only one task at a time may wait for the socket
        registry.peers.append(self)

    def on_request_change(self, request_id: str, is_open: bool) -> None:
        """Record that a request was opened or has ended in this process, to notify the other."""
        self._unsent_changes[request_id] = is_open
        self._has_changes.set()

    async def send(self, message: dict[str, Any]) -> None:
        """Send a message; the end of the channel is ignored here, and detected by `run`."""
        with suppress(*channel.CHANNEL_ERRORS):
            async with self._send_lock:
                await channel.send(self._sock, message)

    async def run(self, on_message: Callable[[PeerMessage], None]) -> None:
        """Send changes and pass on received messages until the channel ends, then close it."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_changes)
                with suppress(*channel.CHANNEL_ERRORS):
                    while (received := await channel.receive(self._sock)) is not None:
                        message = PeerMessage.decode(received.message)
                        self.open_request_ids |= message.opened
                        self.open_request_ids -= message.ended
                        for request_id in message.possible_runs:
                            self._registry.possible_runs.add(request_id)
                        on_message(message)
                tasks.cancel_scope.cancel()
        finally:
            self._registry.peers.remove(self)
            for request_id in self.open_request_ids:  # the process ended before it answered them
                self._registry.possible_runs.add(request_id)
            channel.close(self._sock)

    async def _send_changes(self) -> None:
        while True:
            while self._unsent_changes:
                batch = list(self._unsent_changes.items())[:MAX_IDS_PER_MESSAGE]
                for request_id, _ in batch:
                    del self._unsent_changes[request_id]
                opened = [request_id for request_id, is_open in batch if is_open]
                ended = [request_id for request_id, is_open in batch if not is_open]
                possible_runs = [each for each in ended if each in self._registry.possible_runs]
                await self.send(encode_request_changes(opened, ended, possible_runs))
            self._has_changes = anyio.Event()
            await self._has_changes.wait()
