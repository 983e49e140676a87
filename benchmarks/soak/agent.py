"""Stand-ins for the discovery agents of a soak, one for each router, in the driver's process."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import Any

import orjson

from benchmarks.soak.events import EventLog

FIRST_INDEX = 10  # of the list at the start
WATCH_HEARTBEAT_S = 2.0
SLOW_ANSWER_DELAY_S = 1.3


class EndpointDirectory:
    """The endpoint list and the history of its changes."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = {entry["name"]: entry for entry in entries}
        self.index = FIRST_INDEX
        self.changes: list[dict[str, Any]] = []  # one for each index after the first

    def change(self, name: str, **fields: Any) -> None:
        """Update fields of one endpoint and record the change."""
        self.index += 1
        self.entries[name] = self.entries[name] | fields
        self.changes.append(self.entries[name])

    def snapshot(self) -> dict[str, Any]:
        """The full list, as the discovery protocol sends it."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def changes_since(self, index: int) -> dict[str, Any]:
        """The current state of each endpoint that changed after `index`."""
        changed = {entry["name"]: entry for entry in self.changes[index - FIRST_INDEX :]}
        return {"index": self.index, "snapshot": False, "endpoints": list(changed.values())}


class DiscoveryAgent:
    """The discovery agent of one router, at two addresses between which a reload may switch."""

    def __init__(self, conductor: str, host: str, directory: EndpointDirectory, log: EventLog) -> None:
        self._host, self.conductor, self.directory, self._log = host, conductor, directory, log
        self.mute_until = self.slow_until = self.garbage_until = 0.0
        self._tasks = set[asyncio.Task[Any]]()
        self._writers: set[asyncio.StreamWriter] = set()
        self.changed_event = asyncio.Event()
        self.ports: list[int] = []
        self.last_connected_s = [0.0, 0.0]  # last connection to each address

    async def serve(self, ports: list[int]) -> None:
        """Listen on both ports."""
        self.ports = ports
        for port in ports:
            await asyncio.start_server(self._handle_connection, self._host, port)

    def notify_watches(self) -> None:
        """Wake the open watches, so that they send the changes."""
        self.changed_event.set()
        self.changed_event = asyncio.Event()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        if (task := asyncio.current_task()) is not None:
            self._tasks.add(task)  # the event loop keeps only weak references to tasks
        try:
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                port = writer.get_extra_info("sockname")[1]
                self.last_connected_s[self.ports.index(port)] = time.monotonic()
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head.split(b" ")[1].decode(), writer)
        except asyncio.CancelledError:
            return  # the driver is shutting down
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        await self._hang_while_mute()
        if time.monotonic() < self.slow_until:
            await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if "watch=1" not in target:
            self._write_line(writer, self.directory.snapshot())
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            await self._watch(int(target.rpartition("after=")[2]), writer)

    async def _watch(self, index: int, writer: asyncio.StreamWriter) -> None:
        first = True
        while True:
            if first and index < FIRST_INDEX:
                self._write_line(writer, self.directory.snapshot())
            elif first or self.directory.index > index:
                self._write_line(writer, self.directory.changes_since(index))
            else:
                writer.write(b"1\r\n\n\r\n")
            first, index = False, self.directory.index
            await writer.drain()
            changed_event = self.changed_event
            with suppress(TimeoutError):
                await asyncio.wait_for(changed_event.wait(), WATCH_HEARTBEAT_S)
            if writer.is_closing():
                return
            if time.monotonic() < self.mute_until:
                await asyncio.Event().wait()  # this watch never sends again, even after the fault

    async def _hang_while_mute(self) -> None:
        if time.monotonic() < self.mute_until:
            await asyncio.Event().wait()  # this connection never gets an answer, even after the fault

    def _write_line(self, writer: asyncio.StreamWriter, update: dict[str, Any]) -> None:
        text = orjson.dumps(update) + b"\n"
        if time.monotonic() < self.garbage_until:
            text = text[: len(text) // 2] + b"\n"
        else:
            states = {each["name"]: each["status"] for each in update["endpoints"]}
            self._log.write("told", conductor=self.conductor, index=update["index"], states=states)
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
