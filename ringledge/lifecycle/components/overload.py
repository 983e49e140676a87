"""Overload control, which sheds requests before the process runs out of CPU time, memory or sockets."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.core.gate import AdmissionGate, GateOptions, ResourceLimits
from ringledge.decide.overload.settings import OverloadConfig
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.memory.process_statistics import ProcessStatistics


@dataclass(frozen=True, slots=True, eq=False)
class OverloadControl:
    """What the fronts use of overload control."""

    component: Component
    gate: AdmissionGate
    buffered_bytes: BufferedBytes
    statistics: ProcessStatistics


def create(context: ProgramContext) -> OverloadControl:
    """Create the gate; it sheds nothing before the program is ready."""
    config, conductor = context.config, context.conductor
    statistics = ProcessStatistics(context.metrics, conductor.take_max_timer_lag_ms)
    buffered_bytes = BufferedBytes()
    options = GateOptions(
        config=config.settings_of(OverloadConfig),
        limits=ResourceLimits(config.cores, config.memory_bytes, config.sockets),
        settings=config.settings,
        class_names=config.names.classes,
        seed=config.seed,
    )
    gate = AdmissionGate(options, conductor.clock, statistics, buffered_bytes, context.metrics)
    component = Component(on_ready=gate.start, on_process_count=gate.set_process_count)
    return OverloadControl(component, gate, buffered_bytes, statistics)
