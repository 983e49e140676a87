"""Crash test: a process that enqueues and replays requests is killed (SIGKILL) at random and restarted.

Then the file is compared with what was observed outside the process: no request that was answered 202 is
lost, no booking was sent twice, each entry has one outcome. JSON on standard output.

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
REQUESTS_PER_PROCESS = 40  # each causes at least two lines of output
MAX_KILL_DELAY_S = 0.004  # after a line of output; covers the duration of some disk syncs


@dataclass
class Observed:
    """Events observed outside the killed processes."""

    accepted: dict[str, str] = field(default_factory=dict)  # request classes by name of those answered 202
    sent: Counter[str] = field(default_factory=Counter)  # attempts by name
    kills: int = 0
    lines: int = 0

    def note(self, line: str) -> None:
        """Record a line of a process's output."""
        event, name, *details = line.split()
        self.lines += 1
        if event == "taken":
            self.accepted[name] = details[0]
        elif event == "sent":
            self.sent[name] += 1


class ChildProcess:
    """A `queue_child` process with the queue's file, whose attempts this process answers."""

    def __init__(
        self,
        path: Path,
        observed: Observed,
        seed: int,
        entries: int = REQUESTS_PER_PROCESS,
        late: bool = False,
    ) -> None:
        command = [sys.executable, "-m", "benchmarks.queue_child", str(path), "--seed", str(seed)]
        command += ["--entries", str(entries), *(["--late"] if late else [])]
        self.observed = observed
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, bufsize=1
        )

    def run_until(self, stop: Callable[[str], bool]) -> bool:
        """Answer attempts until `stop` holds for a line of output; False if the process has ended before."""
        assert self.process.stdin and self.process.stdout
        for line in self.process.stdout:
            self.observed.note(line)
            if stop(line):
                return True
            if line.startswith("sent "):
                self.process.stdin.write("answer " + line[5:])
        return False

    def kill(self) -> None:
        """Send SIGKILL; complete lines that were written before it still count."""
        assert self.process.stdout
        self.process.kill()
        for line in self.process.stdout:
            if line.endswith("\n"):
                self.observed.note(line)
        self.process.wait()
        self.observed.kills += 1

    def finish(self) -> None:
        """Let the process replay all entries and end."""
        assert self.process.stdin
        self.process.stdin.write("stop\n")
        self.run_until(lambda line: line.startswith("done"))
        self.process.stdin.close()
        self.process.wait()


def read_entries(path: Path, names: list[str]) -> dict[str, Entry | None]:
    """The entries of these names in the file."""
    db = connect(path, 5.0)
    try:
        return {name: get_entry(db, name) for name in names}
    finally:
        db.close()


def violations(observed: Observed, entries: dict[str, Entry | None]) -> list[str]:
    """Violations of the queue's guarantees, each described in words."""
    found = []
    for name, request_class in observed.accepted.items():
        entry = entries[name]
        if entry is None:
            found.append(f"lost: {name} was answered 202")
        elif entry.state is not EntryState.ENDED or entry.outcome is None:
            found.append(f"no end: {name} is {entry.state.name}")
        elif request_class == "booking" and observed.sent[name] > 1:
            found.append(f"twice: booking {name} was sent {observed.sent[name]} times")
        elif entry.outcome is EntryOutcome.SERVED and not observed.sent[name]:
            found.append(f"never sent: {name} is said to be served")
        elif request_class == "query" and entry.outcome is not EntryOutcome.SERVED:
            found.append(f"not served: {name} may run twice, and ended as {entry.outcome.value}")
    return found


@dataclass(frozen=True)
class CrashTestResult:
    """The observations of a crash test, what they violate, and the entries' outcomes."""

    observed: Observed
    violations: list[str]
    outcomes: Counter[str]


class _CountDown:
    """A stop condition that holds from a given number of lines on."""

    def __init__(self, lines: int) -> None:
        self._lines = lines

    def __call__(self, line: str) -> bool:
        self._lines -= 1
        return self._lines <= 0


def run_crash_test(path: Path, kills: int, seed: int) -> CrashTestResult:
    """Kill `kills` processes after a random number of lines and a random delay; then replay what is left."""
    rng = random.Random(seed)
    observed = Observed()
    for number in range(kills):
        process = ChildProcess(path, observed, seed + number)
        process.run_until(_CountDown(rng.randrange(1, 2 * REQUESTS_PER_PROCESS)))
        time.sleep(rng.uniform(0.0, MAX_KILL_DELAY_S))  # kills at a random moment; waits for nothing
        process.kill()
    ChildProcess(path, observed, seed, entries=0).finish()
    entries = read_entries(path, list(observed.accepted))
    outcomes = Counter(entry.outcome.value for entry in entries.values() if entry and entry.outcome)
    return CrashTestResult(observed, violations(observed, entries), outcomes)


@click.command()
@click.option("--kills", default=200)
@click.option("--seed", default=26)
def main(kills: int, seed: int) -> None:
    """Kill processes that use a queue, and check its guarantees."""
    with tempfile.TemporaryDirectory() as folder:
        started_s = time.monotonic()
        result = run_crash_test(Path(folder) / "queue.db", kills, seed)
    sent = result.observed.sent
    output: dict[str, Any] = {
        "kills": result.observed.kills,
        "seed": seed,
        "taken": len(result.observed.accepted),
        "sends": sent.total(),
        "sent_twice_may_run_twice": sum(sent[name] > 1 for name in result.observed.accepted),
        "ends": dict(result.outcomes),
        "faults": result.violations,
        "took_s": round(time.monotonic() - started_s, 1),
    }
    print(orjson.dumps(output, option=orjson.OPT_INDENT_2).decode())
    sys.exit(bool(result.violations))


if __name__ == "__main__":
    main()
