"""Alternatives to decide which requests are admitted under overload."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from ringledge.decide.overload.admission import OverloadController
from ringledge.decide.overload.messages import OverloadLimits, ResourceSample
from ringledge.decide.overload.tenant_quotas import TenantQuota
from ringledge.lab.load_plan import Arrival

WORTHS = (2.0, 6.0)  # of the classes


class AdmitAll:
    """Admits every request; the other alternatives decide."""

    def admits(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        """Whether a request that has waited so long unread is admitted."""
        return True

    def first_token(self, now_ms: float, took_ms: float) -> None:
        """An answer has had its first token."""

    def sample(self, now_ms: float, delay_ms: float, busy: float) -> None:
        """What the loop's delay and the core's use were lately."""


class CoDel(AdmitAll):
    """Controlled delay (RFC 8289) on the age of what is read; bookings go at ten times the target."""

    target_ms, interval_ms = 20.0, 100.0

    def __init__(self) -> None:
        self.above_ms, self.drop_ms, self.count, self.dropping = 0.0, 0.0, 0, False

    def admits(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
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


class Aimd(AdmitAll):
    """A limit of requests under way, up by one a round, down by a tenth past twice the usual time."""

    def __init__(self) -> None:
        self.limit, self.under_way, self.least_ms, self.cut_ms = 50.0, 0, 1e9, 0.0

    def admits(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        if self.under_way >= self.limit * (1.0 if arrival.class_index else 0.7):
            return False
        self.under_way += 1
        return True

    def first_token(self, now_ms: float, took_ms: float) -> None:
        self.under_way -= 1
        self.least_ms = min(self.least_ms, took_ms)
        if took_ms > 2 * self.least_ms and now_ms >= self.cut_ms:
            self.limit, self.cut_ms = max(4.0, 0.9 * self.limit), now_ms + 100
        elif took_ms <= 2 * self.least_ms:
            self.limit += 1 / self.limit


class Dagor(AdmitAll):
    """Levels of worth and chance, moved by the mean wait in windows (Zhou and others, SoCC 2018)."""

    levels, alpha, beta, target_ms = 64, 0.05, 0.01, 20.0

    def __init__(self) -> None:
        self.rng, self.cursor = random.Random(1), 0
        self.seen, self.let_in, self.ages = Counter[int](), 0, list[float]()

    def admits(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        level = arrival.class_index * self.levels + self.rng.randrange(self.levels)
        self.seen[level] += 1
        self.ages.append(age_ms)
        self.let_in += level >= self.cursor
        return level >= self.cursor

    def sample(self, now_ms: float, delay_ms: float, busy: float) -> None:
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


class Pid(AdmitAll):
    """A PID controller of the loop's delay; its output sheds queries by chance, then bookings."""

    target_ms, kp, ki, kd = 15.0, 0.01, 0.002, 0.005

    def __init__(self) -> None:
        self.rng, self.sum, self.last, self.shed = random.Random(1), 0.0, 0.0, 0.0

    def admits(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        return self.rng.random() >= self.shed - (1.0 if arrival.class_index else 0.0)

    def sample(self, now_ms: float, delay_ms: float, busy: float) -> None:
        error = delay_ms - self.target_ms
        self.sum = max(0.0, min(2.0 / self.ki, self.sum + error))
        self.shed = self.kp * error + self.ki * self.sum + self.kd * (error - self.last)
        self.last = error


class Budget(AdmitAll):
    """What this program does (`ringledge/decide/overload/admission.py`)."""

    def __init__(self) -> None:
        shares = [TenantQuota(1.0)]
        self.overload = OverloadController(OverloadLimits(), WORTHS, shares, 1.0, 1000.0, random.Random(1))
        self.at_ms = 0.0
        self.late_ms, self.busy = 0.0, 0.0

    def admits(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        kb = arrival.body_bytes / 1024
        return self.overload.admit(now_ms, arrival.class_index, 0, kb, self.late_ms, self.busy) is None

    def sample(self, now_ms: float, delay_ms: float, busy: float) -> None:
        span_ms, self.at_ms = now_ms - self.at_ms, now_ms
        self.overload.on_sample(ResourceSample(now_ms, span_ms, busy * span_ms, delay_ms))


ALTERNATIVES: dict[str, Callable[[], AdmitAll]] = {
    "none": AdmitAll, "codel": CoDel, "aimd": Aimd, "dagor": Dagor, "pid": Pid, "budget": Budget,
}  # fmt: skip
