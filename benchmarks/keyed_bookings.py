"""Soak of idempotency keys: bookings are repeated while the router's process is replaced, stopped and killed.

Clients repeat bookings under few keys, leave before or during the stream, and ask twice at one instant;
servers break streams, reject and lose requests. No key may run twice; a key that never ran must be served in
the end. The seed determines what is done, not how long it takes. JSON on standard output; exits with 1 if
the rule was broken.

    python -m benchmarks.keyed_bookings --seed 1 --plays 20
"""

from __future__ import annotations

import http.client
import json
import random
import signal
import sys
import tempfile
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from tests.loopback import WAIT_S, Call, Node, Process, take

CHAT = """enabled = true
listen = "127.0.0.9:0"
sessions = 3
[models]
book = "booking"
"""
KEYS = 12
MAX_LAST_ATTEMPTS = 5  # of the last repeat of a key, as servers go on rejecting until then


@dataclass
class Servers:
    """Answers the calls at the servers as the seed determines, and counts what runs."""

    rng: random.Random
    are_sound: bool = False
    runs: Counter[str] = field(default_factory=Counter)  # by key: calls that a decode server may have run
    lock: threading.Lock = field(default_factory=threading.Lock)

    def prefill(self, call: Call) -> None:
        """Answer a prefill; some are dropped."""
        if self._draw() < 0.15:
            call.drop()
        else:
            call.read()

    def decode(self, call: Call) -> None:
        """Answer a decode; some are rejected, lost or broken off."""
        key = json.loads(call.body)["messages"][0]["content"]
        fate = self._draw()
        if fate < 0.15:
            call.answer(503, X_Rejected="1")  # it never ran
            return
        with self.lock:
            self.runs[key] += 1
        if fate < 0.25:
            call.drop()
        elif fate < 0.4:
            call.begin().token("booked ").drop()
        else:
            call.serve("booked ", "room 14")

    def _draw(self) -> float:
        with self.lock:
            return 1.0 if self.are_sound else self.rng.random()


class Play:
    """One play: a router whose process is replaced again and again, and its clients."""

    def __init__(self, node: Node, seed: int) -> None:
        self._rng = random.Random(seed)
        self._node = node
        self._current: Process = node
        self.servers = Servers(random.Random(f"servers {seed}"))
        self.statuses: Counter[int] = Counter()
        # Keys of which the router may not know that nothing has run: a client left, or a connection ended.
        self._uncertain: set[str] = set()
        node.reader[0].answer_calls(self.servers.prefill)
        node.writer[0].answer_calls(self.servers.decode)

    def run(self, steps: int) -> list[str]:
        """Play the steps, then repeat each key; returns how the rule was broken."""
        process_changes: tuple[Callable[[], None], ...] = (
            self._upgrade, self._upgrade_and_kill_old, self._upgrade_and_kill_new, self._restart, self._kill,
        )  # fmt: skip
        for _ in range(steps):
            if self._rng.random() < 0.25:
                self._rng.choice(process_changes)()
            else:
                self._ask(f"key {self._rng.randrange(KEYS)}")
        self.servers.are_sound = True
        return [broken for number in range(KEYS) for broken in self._judge(f"key {number}")]

    def _judge(self, key: str) -> list[str]:
        """Repeat a key; it is served unless it may have run."""
        statuses = [self._send(key)]
        while statuses[-1] == 503 and len(statuses) < MAX_LAST_ATTEMPTS:
            statuses.append(self._send(key))
        runs = self.servers.runs[key]
        if runs > 1:
            return [f"{key} ran {runs} times"]
        if runs == 0 and key not in self._uncertain:
            return [f"{key} never ran, and its repeats got {statuses}"]
        return []

    # Clients

    def _ask(self, key: str) -> None:
        how = self._rng.choice(("wait", "wait", "twice", "twice", "leave at once", "leave during the stream"))
        if how == "twice":
            clients = [threading.Thread(target=self._send, args=(key,)) for _ in range(2)]
            for client in clients:
                client.start()
            for client in clients:
                client.join(2 * WAIT_S)
        else:
            self._send(key, how)

    def _send(self, key: str, how: str = "wait") -> int:
        """Send a booking; returns the status, or 0 if the client leaves or the connection ends."""
        body = {"model": "book", "stream": True, "messages": [{"role": "user", "content": key}]}
        if how != "wait":
            self._uncertain.add(key)
        client = http.client.HTTPConnection(*self._current.address("chat"), timeout=WAIT_S)
        try:
            headers = {"X-Caller": "farm", "Idempotency-Key": key}
            client.request("POST", "/v1/chat/completions", json.dumps(body), headers)
            if how == "leave at once":
                return 0
            if how == "leave during the stream":
                client.getresponse().read1(10)
                return 0
            status = take(client).status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            client.close()
        if status == 0:
            self._uncertain.add(key)
        self.statuses[status] += 1
        return status

    # The process

    def _upgrade(self) -> None:
        old, self._current = self._current, self._successor()
        old.process.send_signal(signal.SIGTERM)
        old.process.wait(WAIT_S)

    def _upgrade_and_kill_old(self) -> None:
        old, self._current = self._current, self._successor()
        old.kill()

    def _upgrade_and_kill_new(self) -> None:
        new = self._successor()
        serving, self._current = self._current, new
        self._ask(f"key {self._rng.randrange(KEYS)}")
        new.kill()
        self._current = serving
        serving.logged("successor_ended")

    def _restart(self) -> None:
        self._current.process.send_signal(signal.SIGTERM)
        self._current.process.wait(WAIT_S)
        self._current = self._node.successor()

    def _kill(self) -> None:
        self._current.kill()
        self._current = self._node.successor()

    def _successor(self) -> Process:
        new = self._node.successor()
        self._current.logged("successor_started_serving")
        return new


def play(seed: int, steps: int) -> dict[str, Any]:
    """Play one seed; returns its result."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Node(Path(folder), files={"chat.toml": CHAT}) as node,
    ):
        one = Play(node, seed)
        broken = one.run(steps)
        return {
            "seed": seed,
            "broken": broken,
            "runs": sum(one.servers.runs.values()),
            "processes": 1 + len(node.extra_processes),
            "statuses": {str(status): count for status, count in sorted(one.statuses.items())},
        }


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the first play.")
@click.option("--plays", default=5, show_default=True, help="Number of plays, each with the next seed.")
@click.option("--steps", default=40, show_default=True, help="Steps of a play.")
def main(seed: int, plays: int, steps: int) -> None:
    """Play the seeds and print one JSON object a line."""
    results = [play(each, steps) for each in range(seed, seed + plays)]
    for result in results:
        click.echo(json.dumps(result))
    sys.exit(any(result["broken"] for result in results))


if __name__ == "__main__":
    main()
