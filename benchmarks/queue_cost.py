"""Benchmark of the durable queue: the rate of enqueues with full sync, and a start with 100,000 entries.

The start is measured in a process of its own: open and check the file, adopt it, find the oldest entries; its
memory is the increase in that process. JSON on standard output.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from pathlib import Path
from uuid import uuid4

import anyio
import click
import orjson
import psutil

from ringledge.store.entry import QueuedRequest
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig

ROOT = Path(__file__).parent.parent
CONCURRENT_CLIENTS = (1, 8, 64, 256)
RATE_DURATION_S = 3.0  # of the measurement for each number of clients
TENANTS = 20
TOKEN = 10**6


def queued_request(number: int, size: int) -> QueuedRequest:
    """One request; every fourth is a booking."""
    idempotent = number % 4 != 0
    now_s = time.time()
    return QueuedRequest(
        name=uuid4().hex,
        tenant=f"t{number % TENANTS}",
        request_class="query" if idempotent else "booking",
        idempotent=idempotent,
        body=b"?" * size,
        estimated_tokens=900.0,
        created_s=now_s,
        expires_s=now_s + 86_400,
    )


async def measure_rate(folder: Path, clients: int, size: int) -> dict[str, float]:
    """Enqueues a second by concurrent clients, each with one request in flight."""
    queue = Queue(QueueConfig(path=str(folder / f"{clients}.db"), max_entries=10**7, max_bytes=2**40))
    queue.start()
    latencies_s = list[float]()
    deadline_s = time.monotonic() + RATE_DURATION_S

    async def client(number: int) -> None:
        while time.monotonic() < deadline_s:
            started_s = time.monotonic()
            await queue.enqueue(queued_request(number, size))
            latencies_s.append(time.monotonic() - started_s)

    async with anyio.create_task_group() as tasks:
        for number in range(clients):
            tasks.start_soon(client, number)
    commits = queue.worker.commits
    queue.stop()
    latencies_s.sort()
    return {
        "clients": clients,
        "per_s": round(len(latencies_s) / RATE_DURATION_S),
        "commits_per_s": round(commits / RATE_DURATION_S),
        "p50_ms": round(latencies_s[len(latencies_s) // 2] * 1000, 2),
        "p99_ms": round(latencies_s[int(len(latencies_s) * 0.99)] * 1000, 2),
    }


async def fill(path: Path, entries: int, size: int) -> None:
    """Enqueue `entries` requests."""
    queue = Queue(QueueConfig(path=str(path), max_entries=10**7, max_bytes=2**40, tenant_quota=1.0))
    queue.start()
    for first in range(0, entries, 1000):
        async with anyio.create_task_group() as tasks:
            for number in range(first, min(entries, first + 1000)):
                tasks.start_soon(queue.enqueue, queued_request(number, size))
    queue.stop()


async def measure_start(path: Path) -> dict[str, float]:
    """Open the file as a starting process does; durations in ms, memory in MB."""
    process = psutil.Process()
    memory_before = process.memory_info().rss
    timer = Timer()
    queue = Queue(QueueConfig(path=str(path), lock_timeout_s=30.0))
    queue.start()
    await queue.highest_token()
    timer.lap("open")
    await queue.adopt(TOKEN)
    timer.lap("adopt")
    await queue.oldest_entries(4)
    timer.lap("heads")
    await queue.backlog_by_tenant()
    timer.lap("waiting")
    await queue.expire_and_purge()
    timer.lap("tidy")
    head = (await queue.oldest_entries(1))[0]
    timer.restart()
    await queue.begin_attempt(head.name, TOKEN)
    timer.lap("begin")
    await queue.record_failed_attempt(head.name, TOKEN, may_have_run=False)
    memory_mb = round((process.memory_info().rss - memory_before) / 2**20, 1)
    queue.stop()
    return timer.durations_ms | {"memory_mb": memory_mb}


class Timer:
    """Durations of consecutive steps, by their keys in the output."""

    def __init__(self) -> None:
        self.durations_ms: dict[str, float] = {}
        self._started_s = time.monotonic()

    def restart(self) -> None:
        """Begin the next step now."""
        self._started_s = time.monotonic()

    def lap(self, step: str) -> None:
        """End a step and begin the next."""
        self.durations_ms[f"{step}_ms"] = round((time.monotonic() - self._started_s) * 1000, 1)
        self.restart()


@click.command()
@click.option("--entries", default=100_000)
@click.option("--size", default=1_000, help="Size of a request in bytes.")
@click.option("--at", hidden=True, help="Only measure a start with that file.")
def main(entries: int, size: int, at: str | None) -> None:
    """Measure the rate of enqueues and the start of a process."""
    if at:
        print(orjson.dumps(anyio.run(measure_start, Path(at))).decode())
        return
    with tempfile.TemporaryDirectory() as folder:
        rates = [anyio.run(measure_rate, Path(folder), clients, size) for clients in CONCURRENT_CLIENTS]
        path = Path(folder) / "queue.db"
        started_s = time.monotonic()
        anyio.run(fill, path, entries, size)
        filled_s = time.monotonic() - started_s
        command = [sys.executable, "-m", "benchmarks.queue_cost", "--at", str(path)]
        starts = []
        for _ in range(3):
            process = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
            starts.append(orjson.loads(process.stdout))
        file_mb = round(path.stat().st_size / 2**20, 1)
    output = {
        "entries": entries,
        "size": size,
        "file_mb": file_mb,
        "filled_per_s": round(entries / filled_s),
        "rates": rates,
        "starts": starts,
    }
    print(orjson.dumps(output, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
