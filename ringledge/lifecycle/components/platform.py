"""The platform's front."""

from __future__ import annotations

from ringledge.decide.overload.settings import OverloadConfig
from ringledge.lifecycle.fronts import Service
from ringledge.lifecycle.shared import Part, Shared
from ringledge.wire.clients.platform import Platform, error_body


def part(shared: Shared) -> Part:
    """Open it, behind the gate where there is one."""
    config, gate, turns = shared.config, shared.gate, None
    if gate is not None:
        from ringledge.wire.clients.loop_budget import Turns

        turns = Turns(config.extra(OverloadConfig).max_turn_ms / 1000)
    platform = Platform(config.names, shared.conductor, gate, turns, shared.held)
    shared.platform = platform
    shared.fronts.open(
        Service(
            "platform",
            config.listen,
            platform.handle,
            error_body,
            refused=platform.refused,
            keeps=None if gate is None else platform.keeps,
            quick=None if gate is None else platform.turn_away,
        )
    )

    def ready() -> None:
        platform.ready = not shared.stopping.is_set()

    return Part(ready=ready)
