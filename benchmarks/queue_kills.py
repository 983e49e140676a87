"""A process that takes requests in and replays them is killed (SIGKILL) at random moments and started again.

Afterwards the file and what the outside saw are compared: no request that was answered 202 is lost, no
booking reached the stand-in twice, each entry has one end. JSON on standard output.

    python -m benchmarks.queue_kills --kills 200
"""

from __future__ import annotations

import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import orjson

from ringledge.store.entry import Entry, EntryOutcome, EntryState
from ringledge.store.queries import get_entry
from ringledge.store.schema import connect

ROOT = Path(__file__).parent.parent
PER_LIFE = 40  # requests that each process takes in; each brings two lines at least
LATEST_S = 0.004  # after a line that a kill may come: some syncs long


@dataclass
class World:
    """What the outside saw."""

    taken: dict[str, str] = field(default_factory=dict)  # kinds by name
    sent: Counter[str] = field(default_factory=Counter)
    kills: int = 0
    lines: int = 0

    def note(self, line: str) -> None:
        """Take a line of a process in."""
        word, name, *more = line.split()
        self.lines += 1
        if word == "taken":
            self.taken[name] = more[0]
        elif word == "sent":
            self.sent[name] += 1


class Life:
    """One process at the file."""

    def __init__(
        self, path: Path, world: World, seed: int, entries: int = PER_LIFE, late: bool = False
    ) -> None:
        command = [sys.executable, "-m", "benchmarks.queue_child", str(path), "--seed", str(seed)]
        command += ["--entries", str(entries), *(["--late"] if late else [])]
        self.world = world
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, bufsize=1
        )

    def until(self, stop: Callable[[str], bool]) -> bool:
        """Answer what is sent until a line that is wanted comes; False: the process has ended."""
        assert self.process.stdin and self.process.stdout
        for line in self.process.stdout:
            self.world.note(line)
            if stop(line):
                return True
            if line.startswith("sent "):
                self.process.stdin.write("answer " + line[5:])
        return False

    def kill(self) -> None:
        """SIGKILL; what it had said by then still counts."""
        assert self.process.stdout
        self.process.kill()
        for line in self.process.stdout:
            if line.endswith("\n"):
                self.world.note(line)
        self.process.wait()
        self.world.kills += 1

    def finish(self) -> None:
        """Let it end all that there is."""
        assert self.process.stdin
        self.process.stdin.write("stop\n")
        self.until(lambda line: line.startswith("done"))
        self.process.stdin.close()
        self.process.wait()


def read(path: Path, names: list[str]) -> dict[str, Entry | None]:
    """What the file holds of these."""
    db = connect(path, 5.0)
    try:
        return {name: get_entry(db, name) for name in names}
    finally:
        db.close()


def faults(world: World, found: dict[str, Entry | None]) -> list[str]:
    """What must not be, each in words."""
    told = []
    for name, kind in world.taken.items():
        entry = found[name]
        if entry is None:
            told.append(f"lost: {name} was answered 202")
        elif entry.state is not EntryState.ENDED or entry.outcome is None:
            told.append(f"no end: {name} is {entry.state.name}")
        elif kind == "booking" and world.sent[name] > 1:
            told.append(f"twice: booking {name} was sent {world.sent[name]} times")
        elif entry.outcome is EntryOutcome.SERVED and not world.sent[name]:
            told.append(f"never sent: {name} is said to be served")
        elif kind == "query" and entry.outcome is not EntryOutcome.SERVED:
            told.append(f"not served: {name} may run twice, and ended as {entry.outcome.value}")
    return told


def play(path: Path, kills: int, seed: int) -> tuple[World, list[str], Counter[str]]:
    """So many lives, killed after a number of lines and a time drawn at random; then one that ends all."""
    rng, world = random.Random(seed), World()
    for number in range(kills):
        life, left = Life(path, world, seed + number), [rng.randrange(1, 2 * PER_LIFE)]

        def last(_: str, left: list[int] = left) -> bool:
            left[0] -= 1
            return left[0] <= 0

        life.until(last)
        time.sleep(rng.uniform(0.0, LATEST_S))  # the kill's moment is what is drawn; nothing waits for it
        life.kill()
    Life(path, world, seed, entries=0).finish()
    found = read(path, list(world.taken))
    ends = Counter(
        entry.outcome.value for entry in found.values() if entry is not None and entry.outcome is not None
    )
    return world, faults(world, found), ends


@click.command()
@click.option("--kills", default=200)
@click.option("--seed", default=26)
def main(kills: int, seed: int) -> None:
    """Kill a process at a queue so many times, and check what is left."""
    with tempfile.TemporaryDirectory() as folder:
        began = time.monotonic()
        world, wrong, ends = play(Path(folder) / "queue.db", kills, seed)
    told: dict[str, Any] = {"kills": world.kills, "seed": seed, "taken": len(world.taken)}
    told["sends"] = world.sent.total()
    twice = sum(world.sent[name] > 1 for name in world.taken)
    told |= {"sent_twice_may_run_twice": twice, "ends": dict(ends), "faults": wrong}
    told["took_s"] = round(time.monotonic() - began, 1)
    print(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())
    sys.exit(bool(wrong))


if __name__ == "__main__":
    main()
