"""The gate: asks the overload decisions about each request before its body is read, and feeds them.

Who is turned away here was never taken: neither the registry nor the policy hears of it.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from functools import partial

from ringledge.core.clock import Clock
from ringledge.decide.overload.admission import Overload
from ringledge.decide.overload.messages import Limits, Reason, Rejection, Sample
from ringledge.decide.overload.settings import OverloadConfig
from ringledge.decide.overload.tenant_quotas import TenantShare
from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.memory.process_statistics import ProcessReading, ProcessStatistics
from ringledge.observe.logging import log
from ringledge.observe.metrics import BODY_KB, Metrics
from ringledge.routing.interface import (
    RouterSettings,
)

WAIT_MS = 1000.0  # that clients are told to wait, on average, where the deployment tells no longest wait
GIVE_UP_AT = 0.9  # of the way from the first band's bound to the last one's: kept answers go from here on
GIVE_UP_PART = 0.1  # of the memory that is asked for at a time
TRIM_MS = 1000.0  # between two calls that have the allocator give memory back


@dataclass(slots=True, frozen=True)
class Caps:
    """What the platform allows the process."""

    cores: float
    memory: float  # bytes
    descriptors: int


class Gate:
    """Lets requests in or turns them away."""

    def __init__(
        self,
        config: OverloadConfig,
        caps: Caps,
        settings: RouterSettings,
        names: tuple[str, ...],
        clock: Clock,
        vitals: ProcessStatistics,
        held: BufferedBytes,
        metrics: Metrics,
        seed: int,
    ) -> None:
        self._config, self._caps, self._clock, self._names = config, caps, clock, names
        self.vitals, self._held, self._metrics = vitals, held, metrics
        limits = Limits(caps.cores, config.target, config.delay_ms, config.memory_from, config.memory_to)
        self._overload = Overload(
            limits,
            [each.priority_weight for each in settings.classes],
            [
                TenantShare(each.fraction, _part(each.quota_per_s, settings.routers))
                for each in settings.tenants
            ],
            settings.over_quota_weight,
            settings.max_retry_after_ms or WAIT_MS,
            random.Random(seed),
        )
        self._memory = caps.memory  # of it this process's part, while there are two
        self._trimmed_ms = 0.0
        worths = [each.priority_weight for each in settings.classes]
        self._most_worth = {name for name, worth in zip(names, worths, strict=True) if worth == max(worths)}
        self._sheds = 0  # since the line that told of the last change
        for index, name in enumerate(names):
            for over, label in ((False, "within"), (True, "over")):
                told = metrics.admitted.labels(name, label)
                told.set_function(partial(self._admitted, index, over))
        metrics.resident.set_function(lambda: vitals.rss)
        metrics.held.set_function(lambda: held.bytes)

    def start(self) -> None:
        """Measure from now on."""
        self.vitals.start(self.take)

    def share(self, processes: int) -> None:
        """Divide the memory among the processes that there are of this conductor."""
        self._memory = self._caps.memory / processes

    def _admitted(self, class_index: int, over_share: bool) -> float:
        return self._overload.admitted_share(self._clock.now_ms(), class_index, over_share)

    def ask(self, class_index: int, tenant: int, size: int) -> Rejection | None:
        """Decide on one request by its class, tenant and the bytes of its body; None lets it in."""
        behind_ms = self.vitals.behind_ms()
        busy = self.vitals.busy() if behind_ms else 0.0
        now_ms, kb = self._clock.now_ms(), size / 1024
        rejection = self._overload.decide(now_ms, class_index, tenant, kb, behind_ms, busy)
        if rejection is not None:
            self._turned_away(class_index, rejection.reason)
        return rejection

    def worthiest(self, name: str) -> bool:
        """Whether no other class is worth more than that one."""
        return name in self._most_worth

    def sheds(self) -> bool:
        """Whether anybody may be turned away now."""
        return self._overload.may_reject

    def hopeless(self) -> Reason | None:
        """Why nobody at all is let in now, if so: asked where a request's class is not known yet."""
        return self._overload.rejects_all(self._clock.now_ms())

    def checked(self, size: int, seconds: float) -> None:
        """A body of so many bytes took so long to be checked."""
        kb = BODY_KB[bisect_left(BODY_KB[:-1], size / 1024)]
        self._metrics.body.labels(str(kb)).observe(seconds)

    def turn_away(self, class_index: int, reason: Reason) -> Rejection:
        """Reject a request of whose class nothing surer is known."""
        self._turned_away(class_index, reason)
        return Rejection(reason, False, self._overload.retry_after_ms())

    def _turned_away(self, class_index: int, reason: Reason) -> None:
        """Count a rejection."""
        self._sheds += 1
        self._metrics.shed.labels(self._names[class_index], reason.value).inc()
        log.rate_limited("request_shed", **{"class": self._names[class_index]}, reason=reason.value)

    def take(self, reading: ProcessReading) -> None:
        """Hand a reading on to the decisions, and act on what it says of memory."""
        overload, caps = self._overload, self._caps
        memory = reading.rss / self._memory
        held = self._held.bytes / (self._config.held_part * self._memory)
        before = overload.pressed
        overload.sample(
            Sample(
                self._clock.now_ms(),
                reading.span_ms,
                reading.cpu_ms,
                reading.loop_ms,
                reading.unread_ms,
                memory,
                held,
                reading.descriptors / (self._config.descriptors * caps.descriptors),
            )
        )
        if overload.pressed != before:
            self._tell(reading)
        first, last = self._config.memory_from, self._config.memory_to
        if max(memory, held) >= first:
            self._free(max(memory, held) >= first + GIVE_UP_AT * (last - first))

    def _tell(self, reading: ProcessReading) -> None:
        told = {
            "pressed": self._overload.pressed,
            "cpu": round(reading.cpu_ms / max(1.0, reading.span_ms), 2),
            "loop_ms": round(reading.loop_ms, 1),
            "unread_ms": round(reading.unread_ms, 1),
            "request_ms": round(self._overload.costs.estimate_ms(0.0), 2),
            "shed": self._sheds,
        }
        log.rate_limited("overload", **told)
        self._metrics.overload_changes.inc()
        self._sheds = 0

    def _free(self, give_up: bool) -> None:
        """Near the limit kept answers are dropped, oldest first, and what is free goes back to the system."""
        if give_up:
            dropped = self._held.give_up(int(GIVE_UP_PART * self._memory))
            if dropped:
                log.rate_limited("answers_dropped", bytes=dropped)
        now_ms = self._clock.now_ms()
        if now_ms - self._trimmed_ms >= TRIM_MS:
            self._trimmed_ms = now_ms
            self.vitals.trim()


def _part(quota_per_s: float | None, routers: int) -> float | None:
    """What one of the conductors has of a tenant's quota."""
    return None if quota_per_s is None else quota_per_s / max(1, routers)
