"""Calls /healthcheck of the operators' front at fixed intervals during a load."""

from __future__ import annotations

import asyncio
from time import monotonic

from ringledge.lab.load_report import latency_histogram_us

INTERVAL_S = 0.1
TIMEOUT_S = 5.0


class HealthMonitor:
    """Counts failed calls and records latencies, which are measured from the scheduled times."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self.latency_us = latency_histogram_us()
        self.failures = 0

    async def run(self, started_s: float) -> None:
        """Call at fixed intervals until cancelled; a slow response does not delay later calls."""
        open_calls: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            due_s = started_s + number * INTERVAL_S
            number += 1
            await asyncio.sleep(max(0.0, due_s - monotonic()))
            task = asyncio.ensure_future(self._call(due_s))
            open_calls.add(task)
            task.add_done_callback(open_calls.discard)

    async def _call(self, due_s: float) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._host, self._port)
            writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: lab\r\n\r\n")
            response = await asyncio.wait_for(reader.read(100), TIMEOUT_S)
            is_healthy = response.startswith(b"HTTP/1.1 200")
            writer.close()
        except (OSError, TimeoutError):
            is_healthy = False
        self.failures += not is_healthy
        self.latency_us.record_value(max(1, int((monotonic() - due_s) * 1e6)))
