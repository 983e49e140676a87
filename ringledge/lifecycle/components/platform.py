"""The component of the platform's front."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringledge.decide.overload.settings import OverloadConfig
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.lifecycle.fronts import Service
from ringledge.wire.clients.platform import PlatformHandler, error_body

if TYPE_CHECKING:
    from ringledge.lifecycle.components.overload import OverloadControl


def create_platform(context: ProgramContext, overload: OverloadControl | None) -> PlatformHandler:
    """Create the handler of the platform's requests; without `overload` it sheds none."""
    config, conductor = context.config, context.conductor
    if overload is None:
        return PlatformHandler(config.names, conductor)
    from ringledge.wire.clients.loop_budget import LoopBudget

    loop_budget = LoopBudget(config.settings_of(OverloadConfig).max_turn_ms / 1000)
    return PlatformHandler(config.names, conductor, overload.gate, loop_budget, overload.buffered_bytes)


def create(context: ProgramContext, platform: PlatformHandler) -> Component:
    """Open the front; `/ready` reports ready after `on_ready`, unless a shutdown was requested before."""
    is_gated = "overload" in context.config.deploy_settings
    context.fronts.open(
        Service(
            "platform",
            context.config.listen,
            platform.handle,
            error_body,
            on_rejected=platform.count_rejection,
            is_served_past_limit=platform.exempt_from_limit if is_gated else None,
            reject_unparsed=platform.reject_early if is_gated else None,
            serves_during_start=True,
        )
    )

    def on_ready() -> None:
        if context.shutdown.is_requested():
            platform.start_gate.close()
            return
        platform.ready = True
        platform.start_gate.open()

    return Component(on_ready=on_ready)
