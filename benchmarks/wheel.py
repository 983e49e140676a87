"""Compares the timer wheel with a heap, a sorted list and one asyncio handle per timer. JSON on stdout."""

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

SPAN_TICKS = 1500  # over which timers expire: 75 s in ticks of 50 ms
MAX_EXPIRED_PER_TURN = 500  # where the structure supports a bound


class WheelTimers:
    """The timer wheel of the program."""

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
    """A heap (heapq); cancelled entries are marked and stay in it until they are due."""

    def __init__(self) -> None:
        self.heap: list[list[int]] = []

    def schedule(self, due: int) -> list[int]:
        entry = [due, 1]
        heapq.heappush(self.heap, entry)
        return entry

    def cancel(self, entry: list[int]) -> None:
        entry[1] = 0

    def expire(self, now: int) -> int:
        expired = 0
        while self.heap and self.heap[0][0] <= now and expired < MAX_EXPIRED_PER_TURN:
            expired += heapq.heappop(self.heap)[1]
        return expired


class SortedTimers:
    """A SortedList (sortedcontainers) of pairs of due tick and number."""

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
        expired = 0
        while self.sorted and self.sorted[0][0] <= now and expired < MAX_EXPIRED_PER_TURN:
            self.sorted.pop(0)
            expired += 1
        return expired


class LoopTimers:
    """One asyncio handle per timer; all handles that are due run in the same turn of the loop."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.base = self.loop.time() + 1e6

    def schedule(self, due: int) -> asyncio.TimerHandle:
        return self.loop.call_at(self.base + due, int)

    def cancel(self, handle: asyncio.TimerHandle) -> None:
        handle.cancel()

    def expire(self, now: int) -> int:
        schedule_s: list[asyncio.TimerHandle] = self.loop._scheduled  # type: ignore[attr-defined]
        expired = 0
        while schedule_s and schedule_s[0].when() <= self.base + now:
            handle = heapq.heappop(schedule_s)
            if not handle.cancelled():
                handle._run()
                expired += 1
        return expired


STRUCTURES: dict[str, Callable[[], Any]] = {
    "wheel": WheelTimers, "heapq": HeapTimers, "sortedcontainers": SortedTimers, "asyncio": LoopTimers,
}  # fmt: skip


def measure(structure: Callable[[], Any], count: int, together: bool) -> dict[str, float]:
    """Schedule timers, cancel a tenth and expire the rest tick by tick; returns the costs."""
    rng = random.Random(1)
    dues = [SPAN_TICKS if together else rng.randrange(1, SPAN_TICKS) for _ in range(count)]
    gc.collect()
    tracemalloc.start()
    timers = structure()
    before = tracemalloc.get_traced_memory()[0]
    handles = [timers.schedule(due) for due in dues]
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del timers, handles
    timers = structure()
    began_s = time.perf_counter()
    handles = [timers.schedule(due) for due in dues]
    schedule_s = time.perf_counter() - began_s
    to_cancel = rng.sample(range(count), count // 10)
    began_s = time.perf_counter()
    for number in to_cancel:
        timers.cancel(handles[number])
    cancelled = time.perf_counter() - began_s
    worst_s, total_s, expired, now = 0.0, 0.0, 0, 0
    while now < SPAN_TICKS or expired < count - len(to_cancel):
        now += 1
        began_s = time.perf_counter()
        newly_expired = timers.expire(now)
        took_s = time.perf_counter() - began_s
        worst_s, total_s, expired = max(worst_s, took_s), total_s + took_s, expired + newly_expired
        if now > 20 * SPAN_TICKS:
            break
    return {
        "schedule_us": round(1e6 * schedule_s / count, 3),
        "cancel_us": round(1e6 * cancelled / max(1, len(to_cancel)), 3),
        "expire_us": round(1e6 * total_s / count, 3),
        "worst_turn_ms": round(1e3 * worst_s, 3),
        "bytes_each": round(size / count),
    }


@click.command()
@click.option("--counts", default="1000,10000,100000,1000000", show_default=True, help="Numbers of timers.")
def main(counts: str) -> None:
    """Measure each structure with timers spread over 75 s, and with all due at the same time."""
    rows = {}
    for count in map(int, counts.split(",")):
        for name, structure in STRUCTURES.items():
            spread, together = measure(structure, count, False), measure(structure, count, True)
            rows[f"{count} {name}"] = spread | {"worst_turn_together_ms": together["worst_turn_ms"]}
    click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
