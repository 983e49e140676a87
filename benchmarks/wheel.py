"""The timer wheel against a heap, a sorted list and a handle of the event loop for each timer. JSON."""

from __future__ import annotations

import asyncio
import gc
import heapq
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import click
import orjson
from sortedcontainers import SortedList

from ringledge.structures.timer_wheel import TimerWheel

SPAN = 1500  # ticks over which timers expire: 75 s of 50 ms
MAX_EXPIRED_PER_TURN = 500  # where the structure can bound it


class WheelTimers:
    """The timer wheel."""

    def __init__(self) -> None:
        self.wheel = TimerWheel()

    def schedule(self, due: int) -> int:
        return self.wheel.schedule(due)

    def cancel(self, timer: int) -> None:
        self.wheel.cancel(timer)

    def expire(self, now: int) -> int:
        self.wheel.advance(now, 2000)
        return len(self.wheel.pop_expired(MAX_EXPIRED_PER_TURN))


class HeapTimers:
    """heapq; cancelled entries are marked and stay in the heap."""

    def __init__(self) -> None:
        self.heap: list[list[int]] = []

    def schedule(self, due: int) -> list[int]:
        entry = [due, 1]
        heapq.heappush(self.heap, entry)
        return entry

    def cancel(self, entry: list[int]) -> None:
        entry[1] = 0

    def expire(self, now: int) -> int:
        given = 0
        while self.heap and self.heap[0][0] <= now and given < MAX_EXPIRED_PER_TURN:
            given += heapq.heappop(self.heap)[1]
        return given


class SortedTimers:
    """sortedcontainers' list of (due, number)."""

    def __init__(self) -> None:
        self.sorted: Any = SortedList()
        self.number = 0

    def schedule(self, due: int) -> tuple[int, int]:
        self.number += 1
        self.sorted.add((due, self.number))
        return due, self.number

    def cancel(self, entry: tuple[int, int]) -> None:
        self.sorted.remove(entry)

    def expire(self, now: int) -> int:
        given = 0
        while self.sorted and self.sorted[0][0] <= now and given < MAX_EXPIRED_PER_TURN:
            self.sorted.pop(0)
            given += 1
        return given


class LoopTimers:
    """asyncio's handles, one a timer; what expires together runs in one turn."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.base = self.loop.time() + 1e6

    def schedule(self, due: int) -> asyncio.TimerHandle:
        return self.loop.call_at(self.base + due, int)

    def cancel(self, handle: asyncio.TimerHandle) -> None:
        handle.cancel()

    def expire(self, now: int) -> int:
        scheduled: list[asyncio.TimerHandle] = self.loop._scheduled  # type: ignore[attr-defined]
        given = 0
        while scheduled and scheduled[0].when() <= self.base + now:
            handle = heapq.heappop(scheduled)
            if not handle.cancelled():
                handle._run()
                given += 1
        return given


KINDS: dict[str, Callable[[], Any]] = {
    "wheel": WheelTimers, "heapq": HeapTimers, "sortedcontainers": SortedTimers, "asyncio": LoopTimers,
}  # fmt: skip


def measure(kind: Callable[[], Any], count: int, together: bool) -> dict[str, float]:
    """Schedule, cancel a tenth, let time pass tick by tick: time an operation, memory, worst turn."""
    rng = random.Random(1)
    dues = [SPAN if together else rng.randrange(1, SPAN) for _ in range(count)]
    gc.collect()
    tracemalloc.start()
    timers = kind()
    before = tracemalloc.get_traced_memory()[0]
    handles = [timers.schedule(due) for due in dues]
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del timers, handles
    timers = kind()
    began = time.perf_counter()
    handles = [timers.schedule(due) for due in dues]
    scheduled = time.perf_counter() - began
    gone = rng.sample(range(count), count // 10)
    began = time.perf_counter()
    for number in gone:
        timers.cancel(handles[number])
    cancelled = time.perf_counter() - began
    worst, total, given, now = 0.0, 0.0, 0, 0
    while now < SPAN or given < count - len(gone):
        now += 1
        began = time.perf_counter()
        some = timers.expire(now)
        took = time.perf_counter() - began
        worst, total, given = max(worst, took), total + took, given + some
        if now > 20 * SPAN:
            break
    return {
        "schedule_us": round(1e6 * scheduled / count, 3),
        "cancel_us": round(1e6 * cancelled / max(1, len(gone)), 3),
        "expire_us": round(1e6 * total / count, 3),
        "worst_turn_ms": round(1e3 * worst, 3),
        "bytes_each": round(size / count),
    }


@click.command()
@click.option("--counts", default="1000,10000,100000,1000000", show_default=True, help="Timers.")
def main(counts: str) -> None:
    """Measure each kind with timers spread over 75 s, and with all due together."""
    rows = {}
    for count in map(int, counts.split(",")):
        for name, kind in KINDS.items():
            spread, together = measure(kind, count, False), measure(kind, count, True)
            rows[f"{count} {name}"] = spread | {"worst_turn_together_ms": together["worst_turn_ms"]}
    click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
