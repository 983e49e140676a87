"""Five ways to decide who is let in, on the same arrivals: what each keeps of bookings, goodput and delay.

The arrivals are the load tool's own, replayed through a model of one core: work is done first come first, a
request costs some of it when it is read, when its read has ended and with each event of its stream, and a
refusal costs its head alone. The costs are those measured of this program. JSON on standard output.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import click
import numpy
import orjson

from ringledge.decide.overload import Overload
from ringledge.decide.overload_messages import Limits, Sample
from ringledge.decide.shares import Share
from ringledge.lab import load

HEAD_MS, ADMIT_MS, READ_MS, EVENT_MS, KB_MS = 0.3, 1.2, 0.8, 0.2, 0.02  # of CPU
WAIT_READ_MS, EVENTS, GAP_MS = 20.0, 6, 50.0  # of the servers
AIMS_MS, WORTHS = (1200.0, 2500.0), (2.0, 6.0)
CAPACITY = 1000 / (HEAD_MS + ADMIT_MS + READ_MS + EVENTS * EVENT_MS)  # requests a second
SLOWER = 20.0  # times as long that the servers take to read in the second half of "slow servers"
BEAT_MS, LOOK_MS = 20.0, 60.0


class Way:
    """Lets everybody in; the others decide."""

    def ask(self, now_ms: float, arrival: load.Arrival, age_ms: float) -> bool:
        """Whether a request that has waited so long unread is let in."""
        return True

    def done(self, now_ms: float, took_ms: float) -> None:
        """One has had its first token."""

    def look(self, now_ms: float, delay_ms: float, busy: float) -> None:
        """What the loop's delay and the core's use were lately."""


class CoDel(Way):
    """Controlled delay (RFC 8289) on the age of what is read; bookings go at ten times the target."""

    target_ms, interval_ms = 20.0, 100.0

    def __init__(self) -> None:
        self.above_ms, self.drop_ms, self.count, self.dropping = 0.0, 0.0, 0, False

    def ask(self, now_ms: float, arrival: load.Arrival, age_ms: float) -> bool:
        if arrival.class_index:
            return age_ms < 10 * self.target_ms
        if age_ms < self.target_ms:
            self.above_ms, self.dropping = 0.0, False
            return True
        if not self.above_ms:
            self.above_ms = now_ms + self.interval_ms
        elif not self.dropping and now_ms >= self.above_ms:
            self.dropping, self.count = True, max(1, self.count - 2)
            self.drop_ms = now_ms
        if self.dropping and now_ms >= self.drop_ms:
            self.count += 1
            self.drop_ms += self.interval_ms / self.count**0.5
            return False
        return True


class Aimd(Way):
    """A limit of requests under way, up by one a round, down by a tenth past twice the usual time."""

    def __init__(self) -> None:
        self.limit, self.under_way, self.least_ms, self.cut_ms = 50.0, 0, 1e9, 0.0

    def ask(self, now_ms: float, arrival: load.Arrival, age_ms: float) -> bool:
        if self.under_way >= self.limit * (1.0 if arrival.class_index else 0.7):
            return False
        self.under_way += 1
        return True

    def done(self, now_ms: float, took_ms: float) -> None:
        self.under_way -= 1
        self.least_ms = min(self.least_ms, took_ms)
        if took_ms > 2 * self.least_ms and now_ms >= self.cut_ms:
            self.limit, self.cut_ms = max(4.0, 0.9 * self.limit), now_ms + 100
        elif took_ms <= 2 * self.least_ms:
            self.limit += 1 / self.limit


class Dagor(Way):
    """Levels of worth and chance, moved by the mean wait in windows (Zhou and others, SoCC 2018)."""

    levels, alpha, beta, target_ms = 64, 0.05, 0.01, 20.0

    def __init__(self) -> None:
        self.rng, self.cursor = random.Random(1), 0
        self.seen, self.let_in, self.ages = Counter[int](), 0, list[float]()

    def ask(self, now_ms: float, arrival: load.Arrival, age_ms: float) -> bool:
        level = arrival.class_index * self.levels + self.rng.randrange(self.levels)
        self.seen[level] += 1
        self.ages.append(age_ms)
        self.let_in += level >= self.cursor
        return level >= self.cursor

    def look(self, now_ms: float, delay_ms: float, busy: float) -> None:
        if not self.ages:
            return
        late = sum(self.ages) / len(self.ages) > self.target_ms
        wanted = self.let_in * (1 - self.alpha if late else 1 + self.beta) + (0 if late else 1)
        kept, cursor = 0, 2 * self.levels
        while cursor > 0 and kept + self.seen[cursor - 1] <= wanted:
            cursor -= 1
            kept += self.seen[cursor]
        self.cursor, self.let_in = cursor, 0
        self.seen.clear()
        self.ages.clear()


class Pid(Way):
    """A PID controller of the loop's delay; its output sheds queries by chance, then bookings."""

    target_ms, kp, ki, kd = 15.0, 0.01, 0.002, 0.005

    def __init__(self) -> None:
        self.rng, self.sum, self.last, self.shed = random.Random(1), 0.0, 0.0, 0.0

    def ask(self, now_ms: float, arrival: load.Arrival, age_ms: float) -> bool:
        return self.rng.random() >= self.shed - (1.0 if arrival.class_index else 0.0)

    def look(self, now_ms: float, delay_ms: float, busy: float) -> None:
        error = delay_ms - self.target_ms
        self.sum = max(0.0, min(2.0 / self.ki, self.sum + error))
        self.shed = self.kp * error + self.ki * self.sum + self.kd * (error - self.last)
        self.last = error


class Budget(Way):
    """What this program does (ringledge/decide/overload.py)."""

    def __init__(self) -> None:
        shares = [Share(1.0)]
        self.overload = Overload(Limits(), WORTHS, shares, 1.0, 1000.0, random.Random(1))
        self.at_ms = 0.0
        self.late_ms, self.busy = 0.0, 0.0

    def ask(self, now_ms: float, arrival: load.Arrival, age_ms: float) -> bool:
        kb = arrival.size / 1024
        return self.overload.decide(now_ms, arrival.class_index, 0, kb, self.late_ms, self.busy) is None

    def look(self, now_ms: float, delay_ms: float, busy: float) -> None:
        span_ms, self.at_ms = now_ms - self.at_ms, now_ms
        self.overload.sample(Sample(now_ms, span_ms, busy * span_ms, delay_ms))


WAYS: dict[str, Callable[[], Way]] = {
    "none": Way, "codel": CoDel, "aimd": Aimd, "dagor": Dagor, "pid": Pid, "budget": Budget,
}  # fmt: skip


@dataclass(slots=True)
class Core:
    """One core that works things off first come first; times in ms."""

    way: Way
    now_ms: float = 0.0
    queue: deque[tuple[float, float, Callable[[], None]]] = field(default_factory=deque)  # since, cost, then
    later: list[tuple[float, int, float, Callable[[], None]]] = field(default_factory=list)
    number: int = 0
    used_ms: float = 0.0
    delays: list[float] = field(default_factory=list)

    def at(self, at_ms: float, cost_ms: float, then: Callable[[], None]) -> None:
        """Work that becomes due at a time."""
        self.number += 1
        heapq.heappush(self.later, (at_ms, self.number, cost_ms, then))

    def run(self, until_ms: float) -> None:
        """Work until then."""
        while self.now_ms < until_ms:
            while self.later and self.later[0][0] <= self.now_ms:
                at_ms, _, cost_ms, then = heapq.heappop(self.later)
                self.queue.append((at_ms, cost_ms, then))
            if not self.queue:
                if not self.later:
                    return
                self.now_ms = max(self.now_ms, self.later[0][0])
                continue
            _, cost_ms, then = self.queue.popleft()
            self.now_ms += cost_ms
            self.used_ms += cost_ms
            then()


def play(way: Way, arrivals: Iterator[load.Arrival], seconds: float, slow: bool = False) -> dict[str, float]:
    """One way on one run of arrivals."""
    core = Core(way)
    asked, let_in, in_time = [0, 0], [0, 0], [0, 0]
    beats = [0.0]
    last = [0.0, 0.0]  # of the look before: when, and CPU used by then

    def beat(due_ms: float) -> None:
        late_ms = core.now_ms - due_ms
        core.delays.append(late_ms)
        beats.append(late_ms)
        if core.now_ms - last[0] >= LOOK_MS:
            busy = (core.used_ms - last[1]) / (core.now_ms - last[0])
            way.look(core.now_ms, max(beats), busy)
            last[:], beats[:] = [core.now_ms, core.used_ms], [0.0]
        next_ms = max(due_ms + BEAT_MS, core.now_ms)
        core.at(next_ms, 0.0, lambda: beat(next_ms))

    def arrive(arrival: load.Arrival) -> None:
        start_ms = 1000 * arrival.at_s
        index = arrival.class_index
        asked[index] += 1
        if isinstance(way, Budget):
            way.late_ms = max(0.0, core.now_ms - start_ms)
            way.busy = (core.used_ms - last[1]) / max(1.0, core.now_ms - last[0])
        if not way.ask(core.now_ms, arrival, core.now_ms - start_ms):
            return
        let_in[index] += 1

        def event(number: int) -> None:
            if number == 1:
                took_ms = core.now_ms - start_ms
                in_time[index] += took_ms <= AIMS_MS[index]
                way.done(core.now_ms, took_ms)
            if number < EVENTS:
                core.at(core.now_ms + GAP_MS, EVENT_MS, lambda: event(number + 1))

        def read() -> None:
            core.at(core.now_ms + GAP_MS, EVENT_MS, lambda: event(1))

        def taken() -> None:
            wait_ms = WAIT_READ_MS * (SLOWER if slow and core.now_ms > 500 * seconds else 1.0)
            core.at(core.now_ms + wait_ms, READ_MS, read)

        core.queue.append((core.now_ms, ADMIT_MS + KB_MS * arrival.size / 1024, taken))

    for arrival in arrivals:
        core.at(1000 * arrival.at_s, HEAD_MS, lambda arrival=arrival: arrive(arrival))  # type: ignore[misc]
    core.at(0.0, 0.0, lambda: beat(0.0))
    core.run(1000 * seconds + 3000)
    worth = sum(count * each for count, each in zip(in_time, WORTHS, strict=True))
    return {
        "bookings_in_time": round(in_time[1] / max(1, asked[1]), 3),
        "queries_in_time": round(in_time[0] / max(1, asked[0]), 3),
        "worth_per_s": round(worth / seconds, 1),
        "delay_p99_ms": round(float(numpy.percentile(core.delays, 99)), 1),
    }


@click.command()
@click.option("--seconds", default=20.0, show_default=True, help="Length of each run.")
@click.option("--seed", default=1, show_default=True, help="Of the arrivals.")
def main(seconds: float, seed: int) -> None:
    """Play every way on every run."""
    shares = load.shares("")
    runs = {
        "steady 1x": (CAPACITY, 2.0, ()),
        "steady 3x": (3 * CAPACITY, 2.0, ()),
        "slow servers": (0.7 * CAPACITY, 2.0, ()),
        "rushes to 5x": (0.8 * CAPACITY, 2.0, (load.Burst(3, 2, 6, None), load.Burst(10, 2, 6, None))),
        "rush of 200 KB": (0.8 * CAPACITY, 2.0, (load.Burst(5, 6, 2, 200.0),)),
    }
    rows = {}
    for run, (rate, kb, bursts) in runs.items():
        plan = load.Plan("127.0.0.1:1", rate, seconds, 0.19, kb, 0.0, shares, bursts, seed=seed)
        slow = run == "slow servers"
        rows[run] = {name: play(way(), load.arrivals(plan), seconds, slow) for name, way in WAYS.items()}
    told = {"capacity_per_s": round(CAPACITY, 1), "seconds": seconds, "seed": seed, "runs": rows}
    click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
