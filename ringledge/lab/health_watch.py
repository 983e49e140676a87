"""Calls of the operators' /healthcheck during a load, at intended times."""

from __future__ import annotations

import asyncio
from time import monotonic

from ringledge.lab.load_report import histogram

EVERY_S = 0.1
TIMEOUT_S = 5.0


class HealthWatch:
    """Counts failures and records latencies from the intended times."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self.latency_us = histogram()
        self.failed = 0

    async def run(self, started_s: float) -> None:
        """Call until cancelled; a slow answer delays no other call."""
        pending: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            due_s = started_s + number * EVERY_S
            number += 1
            await asyncio.sleep(max(0.0, due_s - monotonic()))
            task = asyncio.ensure_future(self._call(due_s))
            pending.add(task)
            task.add_done_callback(pending.discard)

    async def _call(self, due_s: float) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._host, self._port)
            writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: lab\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(100), TIMEOUT_S)
            healthy = answer.startswith(b"HTTP/1.1 200")
            writer.close()
        except (OSError, TimeoutError):
            healthy = False
        self.failed += not healthy
        self.latency_us.record_value(max(1, int((monotonic() - due_s) * 1e6)))
