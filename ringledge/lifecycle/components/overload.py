"""The gate, which turns requests away before the process falls behind."""

from __future__ import annotations

from ringledge.core.gate import AdmissionGate, GateOptions, ResourceLimits
from ringledge.decide.overload.settings import OverloadConfig
from ringledge.lifecycle.shared import Part, Shared
from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.memory.process_statistics import ProcessStatistics


def part(shared: Shared) -> Part:
    """Make it, for the fronts to ask."""
    config, conductor = shared.config, shared.conductor
    caps = ResourceLimits(config.cores, config.memory, config.sockets)
    vitals = ProcessStatistics(shared.metrics, conductor.take_max_timer_lag_ms)
    shared.held = BufferedBytes()
    shared.gate = gate = AdmissionGate(
        GateOptions(config.extra(OverloadConfig), caps, config.settings, config.names.classes, config.seed),
        conductor.clock,
        vitals,
        shared.held,
        shared.metrics,
    )
    shared.fronts.aged = vitals.record_queue_wait
    return Part(ready=gate.start, share=gate.set_process_count)
