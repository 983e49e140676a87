"""The admission gate admits or rejects each request before its body is read.

The decisions are those of the overload controller, which the gate supplies with measurements of the process.
A request that is rejected here never reaches the registry or the policy.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from functools import partial

from ringledge.core.clock import Clock
from ringledge.decide.overload.admission import OverloadController
from ringledge.decide.overload.messages import (
    OverloadLimits,
    Rejection,
    RejectionReason,
    ResourceSample,
)
from ringledge.decide.overload.settings import OverloadConfig
from ringledge.decide.overload.tenant_quotas import TenantQuota
from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.memory.process_statistics import ProcessReading, ProcessStatistics
from ringledge.observe.logging import log
from ringledge.observe.metrics import BODY_SIZE_BOUNDS_KB, Metrics
from ringledge.routing.interface import RouterSettings

DEFAULT_RETRY_AFTER_MS = 1000.0  # mean Retry-After where the deployment sets no maximum
EVICTION_THRESHOLD = 0.9  # position between `memory_shed_start` (0) and `memory_shed_end` (1)
EVICTION_FRACTION = 0.1  # fraction of the process's memory to free at a time
TRIM_INTERVAL_MS = 1000.0  # minimum time between two requests that the allocator return memory to the system


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """The resources that the platform grants the process."""

    cores: float
    memory_bytes: float
    descriptors: int


@dataclass(slots=True, frozen=True)
class GateOptions:
    """Options of the admission gate."""

    config: OverloadConfig
    limits: ResourceLimits
    settings: RouterSettings
    class_names: tuple[str, ...]  # by class index
    seed: int  # for the jitter of Retry-After times


class AdmissionGate:
    """Admits or rejects requests depending on the load of the process."""

    def __init__(
        self,
        options: GateOptions,
        clock: Clock,
        process_statistics: ProcessStatistics,
        buffered_bytes: BufferedBytes,
        metrics: Metrics,
    ) -> None:
        self._config = options.config
        self._limits = options.limits
        self._class_names = options.class_names
        self._clock = clock
        self._process_statistics = process_statistics
        self._buffered_bytes = buffered_bytes
        self._metrics = metrics
        self._overload = _overload_controller(options)
        self._memory_bytes = options.limits.memory_bytes  # divided between two processes during a hand-over
        self._last_trim_ms = 0.0
        weights = [each.priority_weight for each in options.settings.classes]
        self._max_priority_names = {
            name for name, weight in zip(options.class_names, weights, strict=True) if weight == max(weights)
        }
        self._rejections = 0  # since the last `overload_state_changed` log line
        self._export_metrics()

    def _export_metrics(self) -> None:
        for index, name in enumerate(self._class_names):
            for over_quota, label in ((False, "within"), (True, "over")):
                gauge = self._metrics.admitted_share.labels(name, label)
                gauge.set_function(partial(self._admitted_fraction, index, over_quota))
        self._metrics.resident_bytes.set_function(lambda: self._process_statistics.rss_bytes)
        self._metrics.held_bytes.set_function(lambda: self._buffered_bytes.total_bytes)

    def start(self) -> None:
        """Start receiving readings of the process statistics."""
        self._process_statistics.start(self.on_reading)

    def set_process_count(self, processes: int) -> None:
        """Divide the memory limit among the running processes of this router."""
        self._memory_bytes = self._limits.memory_bytes / processes

    def _admitted_fraction(self, class_index: int, over_quota: bool) -> float:
        return self._overload.admitted_fraction(self._clock.now_ms(), class_index, over_quota)

    def admit(self, class_index: int, tenant: int, body_bytes: int) -> Rejection | None:
        """Decide on a request by its class, its tenant and the size of its body; None admits it."""
        loop_lag_ms = self._process_statistics.loop_lag_ms()
        cpu_rate = self._process_statistics.cpu_rate() if loop_lag_ms else 0.0
        now_ms = self._clock.now_ms()
        rejection = self._overload.admit(
            now_ms, class_index, tenant, body_bytes / 1024, loop_lag_ms, cpu_rate
        )
        if rejection is not None:
            self._record_rejection(class_index, rejection.reason)
        return rejection

    def has_max_priority(self, class_name: str) -> bool:
        """Whether no other class has a higher priority weight."""
        return class_name in self._max_priority_names

    def may_reject(self) -> bool:
        """Whether any request may be rejected now."""
        return self._overload.may_reject

    def rejects_all(self) -> RejectionReason | None:
        """Why every request is rejected now, or None; for callers that don't know a request's class yet."""
        return self._overload.rejects_all(self._clock.now_ms())

    def record_body_check(self, body_bytes: int, seconds: float) -> None:
        """Record how long validating a body of that size took."""
        kb = BODY_SIZE_BOUNDS_KB[bisect_left(BODY_SIZE_BOUNDS_KB[:-1], body_bytes / 1024)]
        self._metrics.body_seconds.labels(str(kb)).observe(seconds)

    def reject(self, class_index: int, reason: RejectionReason) -> Rejection:
        """Reject a request whose class was assumed because it is not known yet."""
        self._record_rejection(class_index, reason)
        return Rejection(reason, False, self._overload.retry_after_ms())

    def _record_rejection(self, class_index: int, reason: RejectionReason) -> None:
        self._rejections += 1
        class_name = self._class_names[class_index]
        self._metrics.shed.labels(class_name, reason.value).inc()
        log.rate_limited("request_shed", **{"class": class_name}, reason=reason.value)

    def on_reading(self, reading: ProcessReading) -> None:
        """Pass a reading to the overload controller, and free memory if it is short."""
        overload = self._overload
        sample = self._sample(reading)
        was_under_pressure = overload.under_pressure
        overload.on_sample(sample)
        if overload.under_pressure != was_under_pressure:
            self._log_pressure_change(reading)
        start = self._config.memory_shed_start
        end = self._config.memory_shed_end
        used = max(sample.memory_fraction, sample.buffered_fraction)
        if used >= start:
            if used >= start + EVICTION_THRESHOLD * (end - start):
                self._evict_responses()
            self._trim_memory()

    def _sample(self, reading: ProcessReading) -> ResourceSample:
        config = self._config
        max_buffered_bytes = config.max_buffered_fraction * self._memory_bytes
        max_descriptors = config.max_descriptor_fraction * self._limits.descriptors
        return ResourceSample(
            at_ms=self._clock.now_ms(),
            span_ms=reading.span_ms,
            cpu_ms=reading.cpu_ms,
            loop_lag_ms=reading.loop_lag_ms,
            queue_wait_ms=reading.queue_wait_ms,
            memory_fraction=reading.rss_bytes / self._memory_bytes,
            buffered_fraction=self._buffered_bytes.total_bytes / max_buffered_bytes,
            descriptor_fraction=reading.descriptors / max_descriptors,
        )

    def _log_pressure_change(self, reading: ProcessReading) -> None:
        log.rate_limited(
            "overload_state_changed",
            pressed=self._overload.under_pressure,
            cpu=round(reading.cpu_ms / max(1.0, reading.span_ms), 2),
            loop_ms=round(reading.loop_lag_ms, 1),
            unread_ms=round(reading.queue_wait_ms, 1),
            request_ms=round(self._overload.cost_model.estimate_ms(0.0), 2),
            shed=self._rejections,
        )
        self._metrics.overload_changes.inc()
        self._rejections = 0

    def _evict_responses(self) -> None:
        """Evict cached responses, oldest first."""
        evicted = self._buffered_bytes.evict(int(EVICTION_FRACTION * self._memory_bytes))
        if evicted:
            log.rate_limited("cached_answers_dropped", bytes=evicted)

    def _trim_memory(self) -> None:
        """Return free memory to the system, at most once per `TRIM_INTERVAL_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_trim_ms >= TRIM_INTERVAL_MS:
            self._last_trim_ms = now_ms
            self._process_statistics.trim_memory()


def _overload_controller(options: GateOptions) -> OverloadController:
    config = options.config
    settings = options.settings
    limits = OverloadLimits(
        cores=options.limits.cores,
        cpu_target=config.cpu_target,
        max_delay_ms=config.max_delay_ms,
        memory_shed_start=config.memory_shed_start,
        memory_shed_end=config.memory_shed_end,
    )
    return OverloadController(
        limits=limits,
        priority_weights=[each.priority_weight for each in settings.classes],
        quotas=[
            TenantQuota(tenant.fraction, _quota_per_router(tenant.quota_per_s, settings.routers))
            for tenant in settings.tenants
        ],
        over_quota_weight=settings.over_quota_weight,
        mean_retry_after_ms=settings.max_retry_after_ms or DEFAULT_RETRY_AFTER_MS,
        rng=random.Random(options.seed),
    )


def _quota_per_router(quota_per_s: float | None, routers: int) -> float | None:
    """One router's part of a tenant's quota."""
    return None if quota_per_s is None else quota_per_s / max(1, routers)
