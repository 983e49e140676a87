"""Overload control, which sheds requests before the process runs out of CPU time, memory or sockets."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.core.gate import Caps, Gate
from ringledge.decide.overload.settings import OverloadConfig
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.memory.process_statistics import ProcessStatistics


@dataclass(frozen=True, slots=True, eq=False)
class OverloadControl:
    """What the fronts use of overload control."""

    component: Component
    gate: Gate
    buffered_bytes: BufferedBytes
    statistics: ProcessStatistics


def create(context: ProgramContext) -> OverloadControl:
    """Create the gate; it sheds nothing before the program is ready."""
    config, conductor = context.config, context.conductor
    caps = Caps(config.cores, config.memory_bytes, config.sockets)
    statistics = ProcessStatistics(context.metrics, conductor.timer_lag_ms)
    buffered_bytes = BufferedBytes()
    gate = Gate(
        config.settings_of(OverloadConfig),
        caps,
        config.settings,
        config.names.classes,
        conductor.clock,
        statistics,
        buffered_bytes,
        context.metrics,
        config.seed,
    )
    component = Component(on_ready=gate.start, on_process_count=gate.share)
    return OverloadControl(component, gate, buffered_bytes, statistics)
