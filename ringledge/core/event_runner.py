"""Runs the handling of routing events one at a time: contains exceptions, and checks the CPU time."""

from __future__ import annotations

import time
from collections.abc import Callable

from ringledge.core.invariants import Invariant, InvariantChecker
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.observe.stalls import stall_detector
from ringledge.routing.interface import RoutingEvent

# CPU time of one event. On a third of a core it takes the 250 ms in which a drain has to take effect.
MAX_EVENT_CPU_S = 0.08


class EventRunner:
    """Handles the events of one conductor."""

    def __init__(
        self, handle: Callable[[RoutingEvent], None], invariants: InvariantChecker, metrics: Metrics
    ) -> None:
        self._handle = handle
        self._invariants = invariants
        self._metrics = metrics

    def run(self, event: RoutingEvent) -> None:
        """Handle one event; an exception is logged and counted, and affects only this event's requests."""
        started_s, started_cpu_s = time.perf_counter(), time.thread_time()
        event_type = type(event).__name__
        try:
            self._handle(event)
        except Exception as error:
            log.exception("event_failed", error, type=event_type)
            self._invariants.record_violation(Invariant.EVENT_HANDLING_FAILED, type=event_type)
        self._check_work(event_type, time.thread_time() - started_cpu_s)
        if (duration_s := time.perf_counter() - started_s) > stall_detector.longest_event_s:
            stall_detector.longest_event_s, stall_detector.longest_event = duration_s, event_type

    def _check_work(self, event_type: str, cpu_s: float) -> None:
        """Count the CPU time of an event, and a violation if all other requests had to wait for too long."""
        self._metrics.event_cpu_seconds.observe(cpu_s)
        if cpu_s > MAX_EVENT_CPU_S:
            self._invariants.record_violation(
                Invariant.EVENT_TOO_LONG, type=event_type, cpu_ms=round(cpu_s * 1000, 1)
            )
