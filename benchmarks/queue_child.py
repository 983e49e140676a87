"""A process that enqueues requests in a file and replays them, to be killed by `queue_kills`.

It writes a line to standard output for each event that is observable outside: `taken NAME CLASS` (a 202),
`sent NAME` (an attempt), `began TOKEN` and `done TOKEN`. It reads `answer NAME` from standard input, and
`stop` to end once all entries have ended.
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
from ringledge.members.duty import LeaseCheck
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.members.replayer import Replayer
from ringledge.observe.logging import log
from ringledge.store.entry import Entry, QueuedRequest
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig

LATE_RECORD_DELAY_S = (
    0.5  # between an attempt and its record in the mutant: the duration of a slow disk write
)
ENQUEUE_INTERVAL_S = 0.002


def write_line(*words: str) -> None:
    """Write a line atomically: it is shorter than PIPE_BUF."""
    os.write(1, (" ".join(words) + "\n").encode())


class RemoteServers:
    """Stand-ins for the servers, whose answers come from the parent process over standard input."""

    def __init__(self) -> None:
        self._in_flight: dict[str, Callable[[SendResult], None]] = {}
        self.stopping = False
        self.all_enqueued = False

    def __call__(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        """Start an attempt."""
        self._in_flight[entry.name] = on_result
        write_line("sent", entry.name)
        return self

    @property
    def finished(self) -> bool:
        """Whether no more requests will be enqueued."""
        return self.stopping and self.all_enqueued

    def cancel(self) -> bool:
        """Do not cancel: the parent process answers every attempt."""
        return False

    async def receive(self) -> None:
        """Read answers from standard input; exits when it is closed."""
        partial_line = b""
        while True:
            await anyio.wait_readable(sys.stdin)
            data = os.read(0, 65_536)
            if not data:
                os._exit(0)
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                word, _, name = line.decode().partition(" ")
                if word == "stop":
                    self.stopping = True
                elif ended := self._in_flight.pop(name, None):
                    ended(SendResult(SendOutcome.SERVED, True, b'{"object":"chat.completion"}'))


class LateRecordReplayer(Replayer):
    """A mutant that records an attempt only after it was sent."""

    async def _send_entry(
        self, scheduler: ReplayScheduler, head: QueueHead, token: int, is_held: LeaseCheck
    ) -> bool:
        entry = await self._queue.get(head.name)
        assert entry is not None
        self._start(entry, token)
        await anyio.sleep(LATE_RECORD_DELAY_S)
        await self._queue.begin_attempt(entry.name, token)
        return True


def scheduler(seed: int, now_s: float) -> ReplayScheduler:
    """A replay scheduler that sends at a high rate from its start."""
    rate_controller = RateController(random.Random(seed), jitter_s=0.0)
    rate_controller.set_ceiling(now_s, 1e6)
    rate_controller.open(now_s)
    rate_controller.rate = 1e5
    return ReplayScheduler(rate_controller, 16)


def queued_request(number: int) -> QueuedRequest:
    """One request; every other is a booking."""
    idempotent = number % 2 == 0
    now_s = time.time()
    return QueuedRequest(
        name=uuid4().hex,
        tenant=f"t{number % 3}",
        request_class="query" if idempotent else "booking",
        idempotent=idempotent,
        body=b"?" * 100,
        estimated_tokens=10.0,
        created_s=now_s,
        expires_s=now_s + 600,
    )


async def enqueue_all(queue: Queue, entries: int, servers: RemoteServers) -> None:
    """Enqueue requests at an interval, as clients would."""
    for number in range(entries):
        request = queued_request(number)
        await queue.enqueue(request)
        write_line("taken", request.name, request.request_class)
        await anyio.sleep(ENQUEUE_INTERVAL_S)
    servers.all_enqueued = True


async def replay_all(queue: Queue, replayer: Replayer, servers: RemoteServers) -> int:
    """Replay until no entry is left and no more will come; returns the token that was used."""
    token = await queue.highest_token() + 1
    replayer.begin(token)
    write_line("began", str(token))
    await replayer.step(token, lambda: True)  # adopts what earlier holders had begun
    while (
        not servers.finished
        or replayer.in_flight_count
        or replayer.unsettled_count
        or await queue.backlog_by_tenant()
    ):
        await replayer.wait_for_completion(0.005)
        await replayer.step(token, lambda: True)
    return token


async def run(path: str, entries: int, seed: int, late: bool) -> None:
    """Enqueue requests and replay all that the file holds."""
    queue = Queue(QueueConfig(path=path, lock_timeout_s=10.0))
    servers = RemoteServers()
    queue.start()
    async with anyio.create_task_group() as tasks:
        replayer_type = LateRecordReplayer if late else Replayer
        replayer = replayer_type(
            queue,
            servers,
            lambda now_s, _: scheduler(seed, now_s),
            lambda: SiteState.AVAILABLE,
            time.monotonic,
        )
        replayer.tasks = tasks
        tasks.start_soon(servers.receive)
        tasks.start_soon(enqueue_all, queue, entries, servers)
        token = await replay_all(queue, replayer, servers)
        tasks.cancel_scope.cancel()
    queue.stop()
    write_line("done", str(token))


@click.command()
@click.argument("path")
@click.option("--entries", default=50)
@click.option("--seed", default=1)
@click.option("--late", is_flag=True, help="The mutant that records an attempt after it was sent.")
def main(path: str, entries: int, seed: int, late: bool) -> None:
    """Enqueue requests and replay them."""
    log.configure("error", "child")
    anyio.run(run, path, entries, seed, late)


if __name__ == "__main__":
    main()
