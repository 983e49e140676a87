"""A process that takes requests into a queue's file and replays them, to be killed by `queue_kills`.

On standard output a line for each thing that its world would see: `taken NAME KIND` (a 202), `sent NAME`
(at the stand-in), `ended NAME`. On standard input `answer NAME` from the stand-in, `stop` to end once all
has ended.
"""

from __future__ import annotations

import os
import random
import sys
import time
from collections.abc import Callable
from uuid import uuid4

import anyio
import click

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.decide.replay.rate_control import RateController
from ringledge.decide.replay.scheduler import QueueHead, ReplayScheduler, SendOutcome
from ringledge.members.duty import Still
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.members.replayer import Replayer
from ringledge.observe.logging import log
from ringledge.store.entry import Asked, Entry
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig

LATE_S = 0.5  # of the mutant between the send and its start: as long as a slow disk takes
TAKE_S = 0.002  # between two requests of its clients


def say(*words: str) -> None:
    """A line, whole or not at all: shorter than a pipe's atomic write."""
    os.write(1, (" ".join(words) + "\n").encode())


class StandIn:
    """The servers, which are the process that started this one."""

    def __init__(self) -> None:
        self._waiting: dict[str, Callable[[SendResult], None]] = {}
        self.stopping = self.all_taken = False

    def __call__(self, entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
        """Tell the other side of a send."""
        self._waiting[entry.name] = ended
        say("sent", entry.name)
        return self

    @property
    def over(self) -> bool:
        """Whether nothing new comes."""
        return self.stopping and self.all_taken

    def cancel(self) -> bool:
        """The stand-in answers all the same."""
        return False

    async def receive(self) -> None:
        rest = b""
        while True:
            await anyio.wait_readable(sys.stdin)
            data = os.read(0, 65_536)
            if not data:
                os._exit(0)
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                word, _, name = line.decode().partition(" ")
                if word == "stop":
                    self.stopping = True
                elif ended := self._waiting.pop(name, None):
                    ended(SendResult(SendOutcome.SERVED, True, b'{"object":"chat.completion"}'))


class LateStart(Replayer):
    """A mutant: the start is written after the send."""

    async def _send_entry(
        self, scheduler: ReplayScheduler, head: QueueHead, token: int, still: Still
    ) -> bool:
        entry = await self._queue.get(head.name)
        assert entry is not None
        self._start(entry, token)
        await anyio.sleep(LATE_S)
        await self._queue.begin(entry.name, token)
        return True


async def run(path: str, entries: int, seed: int, late: bool) -> None:
    """Take so many requests in and replay all that the file holds."""
    queue, stand_in = Queue(QueueConfig(path=path, busy_s=10.0)), StandIn()
    queue.start()

    def decider(now_s: float, token: int) -> ReplayScheduler:
        pace = RateController(random.Random(seed), jitter_s=0.0)
        pace.set_ceiling(now_s, 1e6)
        pace.open(now_s)
        pace.rate = 1e5
        return ReplayScheduler(pace, 16)

    async def clients() -> None:
        for number in range(entries):
            now_s, safe = time.time(), number % 2 == 0
            kind = "query" if safe else "booking"
            asked = Asked(uuid4().hex, f"t{number % 3}", kind, safe, b"?" * 100, 10.0, now_s, now_s + 600)
            await queue.enqueue(asked)
            say("taken", asked.name, kind)
            await anyio.sleep(TAKE_S)
        stand_in.all_taken = True

    async with anyio.create_task_group() as tasks:
        kind = LateStart if late else Replayer
        replayer = kind(queue, stand_in, decider, lambda: SiteState.AVAILABLE, time.monotonic)
        replayer.tasks = tasks
        tasks.start_soon(stand_in.receive)
        tasks.start_soon(clients)
        token = await queue.highest() + 1
        replayer.begin(token)
        say("began", str(token))
        await replayer.step(token, lambda: True)  # settles what earlier holders had begun
        while (
            not stand_in.over or replayer.in_flight_count or replayer.unsettled_count or await queue.waiting()
        ):
            await replayer.wait_for_completion(0.005)
            await replayer.step(token, lambda: True)
        tasks.cancel_scope.cancel()
    queue.stop()
    say("done", str(token))


@click.command()
@click.argument("path")
@click.option("--entries", default=50)
@click.option("--seed", default=1)
@click.option("--late", is_flag=True, help="The mutant that writes the start after the send.")
def main(path: str, entries: int, seed: int, late: bool) -> None:
    """Take requests in and replay them."""
    log.configure("error", "child")
    anyio.run(run, path, entries, seed, late)


if __name__ == "__main__":
    main()
