"""Whether one more request is let in, by what the process measures of itself; the least worth goes first.

A budget of CPU time fills at the rate at which this process may use its core, and each request let in takes
what requests like it have cost so far. Requests are in bands by worth. A band may draw the budget down to its
own reserve only, and the reserves fall with worth: whenever a request of one band is let in, those of all
higher bands are as well, at each moment and without any count of who asks. While nothing presses nobody is
asked for budget. Memory that runs short closes the bands one by one, whatever the budget says.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ringledge.decide.shares import Share, Shares
from ringledge.structures.bucket import Bucket
from ringledge.structures.linear import Linear

DEPTH_MS = 60.0  # CPU time that the budget holds: a burst that passes within one turn or two of the loop
LOWEST, OTHERS, HIGHEST = 0.6, -0.5, -3.5  # reserves as parts of the depth: of the least worth, of the last
# band but one, and of the most worth, whose debt (a fifth of a second's work) chance must not use up
BUSY = 0.9  # of the target: from here on the CPU presses
IDLE = 0.6  # of the target: under it nothing can be short of CPU
CALM_MS = 1_000.0  # without a shed request and without pressure until nobody is asked any more
IDLE_MS = 500.0  # of an idle CPU after which it lets go, whatever was shed: the estimate of costs was wrong
RECENT_MS = 1_000.0  # over which the share that is let in is told
TRIM_DOWN, CUT_MS = 0.8, 300.0  # a cut for delays, and until the next: what was let in before has to pass
GAIN, STEP = 0.5, 0.2  # how the budget follows the CPU's distance from its target, and by how much at most
RELAX = 0.1  # of the way back to 1 that it goes with each sample in which it held nobody back
LEAST_TRIM, MOST_TRIM = 0.1, 10.0  # the guess of costs may be wrong by as much
SEEN = 0.4  # weight of a new sample of what noes cost
MEMORY_BACK = 0.03  # of the memory that has to come free before a band is let in again
SPREAD = (0.5, 1.5)  # of the wait told, so that those turned away together don't come back together
COST_MS, COST_KB_MS = 3.0, 0.02  # CPU of a request and of each KB of it: the first guess
KB = 64.0  # that weigh about as much as a request: the model wants inputs of like size
SHED_MS = 0.35  # CPU of a no, measured; learned beside the others it would take their costs for its own
SHEDDING = 0.5  # of the budget that noes may use up: more of them must not keep everybody out


class Reason(Enum):
    """Why a request was turned away."""

    CPU = "cpu"  # the core is at its target
    DELAY = "delay"  # the loop or what waits unread is late
    MEMORY = "memory"  # resident memory, or what streams hold of it
    DESCRIPTORS = "descriptors"


@dataclass(slots=True, frozen=True)
class Limits:
    """What the process may use."""

    cores: float = 1.0
    target: float = 0.9  # of `cores`
    delay_ms: float = 30.0  # that the loop, or a request unread in its socket, may be late
    memory_from: float = 0.80  # of the memory at which the least worth is turned away
    memory_to: float = 0.95  # and the most


@dataclass(slots=True, frozen=True)
class Sample:
    """What was measured since the last sample; shares are of the process's limits."""

    at_ms: float
    span_ms: float
    cpu_ms: float
    loop_ms: float = 0.0  # how late the loop was, at worst
    unread_ms: float = 0.0  # how long requests had waited in their sockets, on average
    memory: float = 0.0
    held: float = 0.0  # by streams and answers, of what they may hold
    descriptors: float = 0.0


@dataclass(slots=True, frozen=True)
class No:
    """A request is turned away."""

    reason: Reason
    over_share: bool
    come_back_ms: float


class Costs:
    """What a request costs in CPU time, learned from what the process used."""

    def __init__(self) -> None:
        self._model = Linear((COST_MS, COST_KB_MS * KB), low=0.1, high=20.0, step=0.2)
        self._inputs = [0.0, 0.0]
        self.sheds = 0

    def of(self, kb: float) -> float:
        """Of a request with a body of so many KB, in ms."""
        request, size = self._model.weights
        return request + size * kb / KB

    def let_in(self, kb: float) -> None:
        """Count a request."""
        self._inputs[0] += 1
        self._inputs[1] += kb / KB

    def turned_away(self) -> None:
        """Count one turned away."""
        self.sheds += 1

    def learn(self, cpu_ms: float) -> float:
        """Compare what was counted since the last call with the CPU time used; what the noes took of it."""
        shed_ms = self.sheds * SHED_MS
        if not self.sheds:  # beside many noes the few let in would be taken for the cause of all
            self._model.learn(self._inputs, cpu_ms)
        self._inputs, self.sheds = [0.0, 0.0], 0
        return shed_ms


class Overload:
    """Decides on each request by its class and tenant; told a sample some ten times a second."""

    def __init__(
        self,
        limits: Limits,
        worths: Sequence[float],
        shares: Sequence[Share],
        over_share_worth: float,
        wait_ms: float,
        rng: random.Random,
    ) -> None:
        """Take the classes' worths, the tenants' shares and the wait that clients are told on average."""
        self.limits, self.costs = limits, Costs()
        values = {worth * part for worth in worths for part in (1.0, over_share_worth)}
        self._bands = {value: band for band, value in enumerate(sorted(values))}
        self.bands = len(values)
        self._worths, self._over_share_worth = list(worths), over_share_worth
        self._shares, self._wait_ms, self._rng = Shares(shares), wait_ms, rng
        self._bucket = Bucket(DEPTH_MS)
        self._closed = [False] * len(values)  # bands that memory has closed
        self._short = Reason.MEMORY  # of what, where a band is closed
        self.pressed = False
        self.changes = 0  # times that `pressed` has changed: at a load that hovers these stay few
        self.trim = 1.0
        self._bound = False  # the budget has held somebody back since the last sample
        self._late = False  # the last sample told of a delay
        self._shed_per_ms = 0.0  # share of a core that noes take, smoothed
        self._why = Reason.CPU
        self._shed_at_ms = self._hot_at_ms = self._busy_at_ms = self._cut_at_ms = -1e12
        self._recent: deque[tuple[float, int, bool]] = deque()  # when, band, let in?

    def band(self, class_index: int, over_share: bool) -> int:
        """The place of such requests in the order of worth, from 0 up."""
        return self._bands[self._worths[class_index] * (self._over_share_worth if over_share else 1.0)]

    def reserve(self, band: int) -> float:
        """What a band has to leave of the budget, in ms; debt is below 0."""
        top = len(self._bands) - 1
        if band == top:
            return DEPTH_MS * HIGHEST
        part = band / (top - 1) if top > 1 else 1.0
        return DEPTH_MS * (LOWEST + (OTHERS - LOWEST) * part)

    # What is measured.

    def sample(self, sample: Sample) -> None:
        """Take a measurement in."""
        now_ms, limits = sample.at_ms, self.limits
        shed = self.costs.learn(sample.cpu_ms) / max(1.0, sample.span_ms)
        self._shed_per_ms += SEEN * (shed - self._shed_per_ms)
        used = sample.cpu_ms / max(1.0, sample.span_ms) / (limits.cores * limits.target)
        delay_ms = max(sample.loop_ms, sample.unread_ms)
        late = delay_ms > limits.delay_ms
        # One late sample alone proves nothing: a process that was stopped is late, too, but used no CPU.
        hot_by_delay = late and (self._late or used >= IDLE)
        hot = used >= BUSY or hot_by_delay
        self._late = late
        if hot:
            self._hot_at_ms = now_ms
            self._why = Reason.DELAY if hot_by_delay and used < BUSY else Reason.CPU
        if used >= IDLE or hot:
            self._busy_at_ms = now_ms
        if not self.pressed and hot:
            self._press(now_ms)
        elif self.pressed:
            quiet_ms = now_ms - max(self._shed_at_ms, self._hot_at_ms)
            if quiet_ms >= CALM_MS:
                self.trim = 1.0
            if quiet_ms >= CALM_MS or now_ms - self._busy_at_ms >= IDLE_MS:
                self.pressed = False
                self.changes += 1
        if self.pressed:
            self._steer(now_ms, hot_by_delay, used)
        self._close(sample)

    def _press(self, now_ms: float) -> None:
        self.pressed = True
        self.changes += 1
        # What was let in up to now is still to be worked off, as far as its cost was known.
        level = self._bucket.fill(now_ms, self.limits.cores * self.limits.target, DEPTH_MS)
        self._bucket.level = max(HIGHEST * DEPTH_MS, min(0.0, level))

    def _steer(self, now_ms: float, late: bool, used: float) -> None:
        """Follow what CPU time doesn't tell: others on the core, and costs that come later than counted."""
        if late and now_ms - self._cut_at_ms >= CUT_MS:
            self._cut_at_ms = now_ms
            self.trim *= TRIM_DOWN
            self._bucket.level = min(0.0, self._bucket.level)
        elif used > 1.0 or (self._bound and not late):
            self.trim *= 1.0 + max(-STEP, min(STEP, GAIN * (1.0 - used)))
        elif not self._bound:  # a budget that holds nobody back must not grow: the next rush would meet none
            self.trim += RELAX * (1.0 - self.trim)
        self._bound = False
        self.trim = max(LEAST_TRIM, min(MOST_TRIM, self.trim))

    def _close(self, sample: Sample) -> None:
        """Close and open bands by what is left of the memory and the descriptors."""
        short = max(sample.memory, sample.held, sample.descriptors)
        self._short = Reason.DESCRIPTORS if sample.descriptors >= short else Reason.MEMORY
        top = len(self._closed) - 1
        for band, closed in enumerate(self._closed):
            part = band / top if top else 1.0
            bound = self.limits.memory_from + (self.limits.memory_to - self.limits.memory_from) * part
            self._closed[band] = short >= bound - (MEMORY_BACK if closed else 0.0)

    # What is asked.

    def ask(
        self,
        now_ms: float,
        class_index: int,
        tenant: int,
        kb: float,
        behind_ms: float = 0.0,
        busy: float = 0.0,
    ) -> No | None:
        """Decide on one request; None lets it in.

        `kb` is the size of its body, `behind_ms` how late the loop is at this very moment, and `busy` the
        share of a core that the process has used since the last sample.
        """
        over = self._shares.over(now_ms, tenant)
        band = self.band(class_index, over)
        used = busy / (self.limits.cores * self.limits.target)
        if not self.pressed and behind_ms > self.limits.delay_ms and used >= IDLE:
            self._why = Reason.DELAY
            self._hot_at_ms = self._busy_at_ms = now_ms
            self._press(now_ms)
        reason = self.refuses(now_ms, band)
        self._note(now_ms, band, reason is None)
        if reason is None:
            self.costs.let_in(kb)
            self._bucket.take(self.costs.of(kb))
            return None
        self.costs.turned_away()
        if reason in (Reason.CPU, Reason.DELAY):
            self._shed_at_ms, self._bound = now_ms, True
        return No(reason, over, self.wait_ms())

    def wait_ms(self) -> float:
        """When to come back, spread so that those turned away together don't come back together."""
        return self._wait_ms * self._rng.uniform(*SPREAD)

    @property
    def sheds(self) -> bool:
        """Whether any band may be turned away now."""
        return self.pressed or self._closed[0]

    def hopeless(self, now_ms: float) -> Reason | None:
        """Why not even the most worth would be let in now; None where it would."""
        return self.refuses(now_ms, len(self._closed) - 1)

    def refuses(self, now_ms: float, band: int) -> Reason | None:
        """Why a band is turned away now; None where it is let in."""
        if self._closed[band]:
            return self._short
        per_ms = self.limits.cores * self.limits.target
        if not self.pressed:
            self._bucket.fill(now_ms, per_ms, DEPTH_MS)
            return None
        per_ms = self.trim * (per_ms - min(self._shed_per_ms, SHEDDING * per_ms))
        return self._why if self._bucket.fill(now_ms, per_ms, DEPTH_MS) < self.reserve(band) else None

    # What is told.

    def _note(self, now_ms: float, band: int, let_in: bool) -> None:
        self._recent.append((now_ms, band, let_in))
        while self._recent and self._recent[0][0] < now_ms - RECENT_MS:
            self._recent.popleft()

    def admitted(self, now_ms: float, class_index: int, over_share: bool) -> float:
        """The share of such requests let in over the last second; 1 where none came."""
        band, since_ms = self.band(class_index, over_share), now_ms - RECENT_MS
        seen = [let_in for at_ms, each, let_in in self._recent if each == band and at_ms >= since_ms]
        return sum(seen) / len(seen) if seen else 1.0
