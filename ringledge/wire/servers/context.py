"""What all modules of the server side need: their settings, and the services of the process."""

from __future__ import annotations

from dataclasses import dataclass

import anyio.abc

from ringledge.core.clock import Clock
from ringledge.memory.names import Names
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics

DEFAULT_HOLD_LIMIT_MS = 500.0


@dataclass(frozen=True, slots=True)
class UpstreamContext:
    """Services and settings of the server side; `tasks` runs its background tasks."""

    tasks: anyio.abc.TaskGroup
    servers: ServerList
    names: Names
    max_connections: int
    configured_hold_limit_ms: float  # 0 if it isn't configured
    zone: int  # of this process
    clock: Clock
    metrics: Metrics

    @property
    def hold_limit_ms(self) -> float:
        """How long a KV cache entry may be held while no attempt of its request is in flight."""
        return self.configured_hold_limit_ms or DEFAULT_HOLD_LIMIT_MS
