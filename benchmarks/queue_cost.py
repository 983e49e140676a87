"""What a site's queue costs: the rate of enqueues with full sync, and a start with 100,000 entries.

The start is that of a process of its own: open and check the file, adopt it, find whose turn it is; its
memory is what that adds to the process. JSON on standard output.
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
CLIENTS = (1, 8, 64, 256)  # that wait for their 202 together
RATE_S = 3.0  # for which each rate is measured
TENANTS = 20


def asked(number: int, size: int) -> QueuedRequest:
    """One request; a booking every fourth."""
    now_s, safe = time.time(), number % 4 != 0
    kind = "query" if safe else "booking"
    return QueuedRequest(
        uuid4().hex, f"t{number % TENANTS}", kind, safe, b"?" * size, 900.0, now_s, now_s + 86_400
    )


async def rate(folder: Path, clients: int, size: int) -> dict[str, float]:
    """Enqueues a second by so many clients, each with one out."""
    queue = Queue(QueueConfig(path=str(folder / f"{clients}.db"), max_entries=10**7, max_bytes=2**40))
    queue.start()
    took = list[float]()
    until = time.monotonic() + RATE_S

    async def client(number: int) -> None:
        while time.monotonic() < until:
            began = time.monotonic()
            await queue.enqueue(asked(number, size))
            took.append(time.monotonic() - began)

    async with anyio.create_task_group() as tasks:
        for number in range(clients):
            tasks.start_soon(client, number)
    commits = queue.worker.commits
    queue.stop()
    took.sort()
    return {
        "clients": clients,
        "per_s": round(len(took) / RATE_S),
        "commits_per_s": round(commits / RATE_S),
        "p50_ms": round(took[len(took) // 2] * 1000, 2),
        "p99_ms": round(took[int(len(took) * 0.99)] * 1000, 2),
    }


async def fill(path: Path, entries: int, size: int) -> None:
    """So many entries, all waiting."""
    queue = Queue(QueueConfig(path=str(path), max_entries=10**7, max_bytes=2**40, tenant_quota=1.0))
    queue.start()
    for first in range(0, entries, 1000):
        async with anyio.create_task_group() as tasks:
            for number in range(first, min(entries, first + 1000)):
                tasks.start_soon(queue.enqueue, asked(number, size))
    queue.stop()


async def start(path: Path) -> dict[str, float]:
    """Open the file as a process that starts does; times in ms, memory in MB."""
    process = psutil.Process()
    before, times, began = process.memory_info().rss, dict[str, float](), time.monotonic()
    queue = Queue(QueueConfig(path=str(path), lock_timeout_s=30.0))
    queue.start()
    steps = (
        ("open", queue.highest_token()), ("adopt", queue.adopt(10**6)), ("heads", queue.oldest_entries(4)),
        ("waiting", queue.backlog_by_tenant()), ("tidy", queue.expire_and_purge()),
    )  # fmt: skip
    for name, step in steps:
        await step
        times[f"{name}_ms"] = round((time.monotonic() - began) * 1000, 1)
        began = time.monotonic()
    head = (await queue.oldest_entries(1))[0]
    began = time.monotonic()
    await queue.begin_attempt(head.name, 10**6)
    times["begin_ms"] = round((time.monotonic() - began) * 1000, 1)
    await queue.record_failed_attempt(head.name, 10**6, may_have_run=False)
    times["memory_mb"] = round((process.memory_info().rss - before) / 2**20, 1)
    queue.stop()
    return times


@click.command()
@click.option("--entries", default=100_000)
@click.option("--size", default=1_000, help="Bytes of a question.")
@click.option("--at", hidden=True, help="Start at that file and tell the figures.")
def main(entries: int, size: int, at: str | None) -> None:
    """Measure."""
    if at:
        print(orjson.dumps(anyio.run(start, Path(at))).decode())
        return
    with tempfile.TemporaryDirectory() as folder:
        rates = [anyio.run(rate, Path(folder), clients, size) for clients in CLIENTS]
        path, began = Path(folder) / "queue.db", time.monotonic()
        anyio.run(fill, path, entries, size)
        filled_s = time.monotonic() - began
        command = [sys.executable, "-m", "benchmarks.queue_cost", "--at", str(path)]
        starts = []
        for _ in range(3):
            told = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
            starts.append(orjson.loads(told.stdout))
        file_mb = round(path.stat().st_size / 2**20, 1)
    told_ = {"entries": entries, "size": size, "file_mb": file_mb, "filled_per_s": round(entries / filled_s)}
    print(orjson.dumps(told_ | {"rates": rates, "starts": starts}, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
