"""How fast queued work is sent: more and more while it is served, half at a refusal, never above the spare.

AIMD (Chiu and Jain 1989) on tokens per s. The ceiling is this site's part of what live traffic leaves over.
After a link returns all begins small and at a time drawn at random, so that sites that come back together
make no herd. Free of I/O and clocks; times in s.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from ringledge.structures.token_bucket import TokenBucket

START_PART = 1 / 16  # of the ceiling where it begins: a sixteenth of what is spare is noise for live traffic
START = 500.0  # tokens per s to begin with where no ceiling is known: one short request a second
RISE_S = 20.0  # from nothing to the ceiling: servers that were idle or restarted warm in 13 s or so
RISE = 250.0  # tokens per s gained each s where no ceiling is known
FALL = 0.5  # of the pace that is left after a refusal
FALL_EVERY_S = 1.0  # refusals within it have one cause: they were sent at the old pace
HOLD_S = 0.5  # nothing is sent for so long after a refusal
JITTER_S = 1.0  # after a link returns the first one is sent within so long
PROBE_S = 3.0  # between tries of a link that is down
LEAST_PART = 0.02  # of either in the work: a mix without any of one would make that role's room endless
DEPTH_S = 0.25  # of the pace that may be saved up: a burst no longer than live traffic's own


@dataclass(slots=True, frozen=True)
class Room:
    """What is known of the fleet at a moment, in tokens per s; 0 capacity: not known."""

    read_capacity: float  # that warm readers get through together
    write_capacity: float
    read_live: float  # that live traffic asks for
    write_live: float

    def written(self) -> float:
        """The part of live work that is written; where there is none, half."""
        live = self.read_live + self.write_live
        return self.write_live / live if live > 0 else 0.5


def spare(room: Room, reserve: float, written: float) -> float | None:
    """Tokens per s that live traffic leaves over after a reserve; None where capacities are not known.

    `written`: the part of the queued work that is written, the rest is read; the scarcer role bounds the sum.
    """
    if room.read_capacity <= 0 or room.write_capacity <= 0:
        return None
    reading = room.read_capacity * (1 - reserve) - room.read_live
    writing = room.write_capacity * (1 - reserve) - room.write_live
    return max(0.0, min(reading / max(LEAST_PART, 1 - written), writing / max(LEAST_PART, written)))


class Pace:
    """The pace of one site's replay."""

    def __init__(self, rng: random.Random, jitter_s: float = JITTER_S) -> None:
        self._rng, self._jitter_s = rng, jitter_s
        self.ceiling: float | None = None  # tokens per s; None: not known
        self.rate = 0.0
        self._bucket = TokenBucket(0.0)
        self._open, self._not_before_s = False, -inf
        self._fell_s = self._rose_s = self._probed_s = -inf
        # For how long what was sent has used the pace, as far as it has not raised it: one that has little to
        # send must not grow into a pace that it never tried.
        self._used_s = 0.0
        self.falls = 0

    def opened(self, now_s: float) -> None:
        """The site reaches servers again."""
        if not self._open:
            self._open, self.rate = True, self._start()
            self._not_before_s = now_s + self._rng.uniform(0.0, self._jitter_s)
            self._bucket = TokenBucket(0.0, now_s * 1000)
            self._rose_s, self._used_s = now_s, 0.0

    def closed(self) -> None:
        """The site is cut off or short: what was known of the pace is worth nothing at its return."""
        self._open, self.rate = False, 0.0

    def allot(self, now_s: float, ceiling: float | None) -> None:
        """The most that may be sent from now on; less holds at once, more is grown into."""
        if self.ceiling == 0.0 and ceiling and self._open:
            self.rate = 0.0
        self.ceiling = ceiling
        if ceiling is not None:
            self.rate = min(self.rate, ceiling)
        if self._open and not self.rate:
            self.rate, self._rose_s = self._start(), now_s

    def may_send(self, now_s: float, under_way: int) -> bool:
        """Whether one may be sent now. What is overdrawn is paid back first."""
        if not self._open or now_s < self._not_before_s or self.rate <= 0:
            return False
        return self._bucket.refill(now_s * 1000, self.rate / 1000, self.rate * DEPTH_S) > 0

    def may_probe(self, now_s: float) -> bool:
        """Whether the link may be tried, while the site is cut off."""
        return now_s - self._probed_s >= PROBE_S

    def sent(self, now_s: float, work: float) -> None:
        """So much work was sent."""
        self._probed_s = now_s
        self._bucket.consume(work)
        if self.rate > 0:
            self._used_s += work / self.rate

    def served(self, now_s: float, work: float) -> None:
        """Some was served: the pace grows with time, as far as it was used."""
        if not self._open or now_s - self._fell_s < FALL_EVERY_S:
            return
        step = RISE if self.ceiling is None else self.ceiling / RISE_S
        since_s = max(0.0, min(now_s - self._rose_s, self._used_s))
        self._rose_s, self._used_s = now_s, self._used_s - since_s
        self.rate = min(self.rate + step * since_s, inf if self.ceiling is None else self.ceiling)

    def refused(self, now_s: float) -> None:
        """There was no room, or live traffic was hurt: half, once for all that one cause brings."""
        self._not_before_s = max(self._not_before_s, now_s + HOLD_S)
        if now_s - self._fell_s >= FALL_EVERY_S:
            self._fell_s = self._rose_s = now_s
            self._used_s = 0.0
            self.rate = max(self.rate * FALL, self._start() * FALL)
            self.falls += 1

    def failed(self, now_s: float) -> None:
        """An answer broke or never came: a link may be going."""
        self.refused(now_s)

    def next_s(self, now_s: float) -> float:
        """When one may be sent at the earliest, if nothing changes; inf: not before it does."""
        if not self._open or self.rate <= 0:
            return inf
        level = self._bucket.refill(now_s * 1000, self.rate / 1000, self.rate * DEPTH_S)
        return max(self._not_before_s, now_s + max(0.0, -level) / self.rate)

    def _start(self) -> float:
        return START if self.ceiling is None else min(START, self.ceiling * START_PART)
