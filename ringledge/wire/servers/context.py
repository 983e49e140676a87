"""Settings and services that the modules of the server side share."""

from __future__ import annotations

from dataclasses import dataclass

import anyio.abc

from ringledge.core.clock import Clock
from ringledge.memory.names import WireNames
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics

DEFAULT_HOLD_LIMIT_MS = 500.0  # limit for holding a KV cache entry, unless configured


@dataclass(frozen=True, slots=True)
class UpstreamContext:
    """Settings and services of the server side; `tasks` runs its background tasks."""

    tasks: anyio.abc.TaskGroup
    servers: ServerList
    names: WireNames
    max_connections: int
    configured_hold_limit_ms: float  # 0 if not configured
    zone: int  # zone of this process
    clock: Clock
    metrics: Metrics

    @property
    def hold_limit_ms(self) -> float:
        """How long a KV cache entry may be held while no attempt of its request is in flight."""
        return self.configured_hold_limit_ms or DEFAULT_HOLD_LIMIT_MS
