"""The component of overload control, which sheds requests before CPU time, memory or sockets run out."""

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
    """The parts of overload control that the fronts use."""

    component: Component
    gate: AdmissionGate
    buffered_bytes: BufferedBytes
    statistics: ProcessStatistics


def create(context: ProgramContext) -> OverloadControl:
    """Create the admission gate; it sheds no requests before the program is ready."""
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
