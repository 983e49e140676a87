"""What the parts of the program share, and what a part is."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc

from ringledge.core.conductor import Conductor
from ringledge.lifecycle.config import Config
from ringledge.lifecycle.fronts import Fronts
from ringledge.memory.operator_overrides import OperatorOverrides
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.platform import Platform
from ringledge.wire.discovery.watcher import DiscoveryClient
from ringledge.wire.servers.upstream import Upstream

if TYPE_CHECKING:
    from ringledge.core.gate import Gate
    from ringledge.members.cluster import Fleet
    from ringledge.memory.buffered_bytes import BufferedBytes
    from ringledge.wire.clients.chat.queued import QueuedChat


def _nothing() -> None:
    pass


def _not_told(processes: int) -> None:
    pass


async def _at_once() -> None:
    pass


@dataclass(frozen=True, slots=True, eq=False)
class Part:
    """One subsystem of a running program, by what is called at which moment."""

    start: Callable[[], object] = _nothing  # before the list of servers is known
    ready: Callable[[], object] = _nothing  # the list is known as well as it gets: serve
    # End in good order, also when a successor serves: the last made first, one by one, beside the drain.
    stop: Callable[[], Coroutine[Any, Any, None]] = _at_once
    share: Callable[[int], None] = _not_told  # among how many processes the limits are divided now


@dataclass(slots=True, eq=False)
class Shared:
    """What a part may use; what one part makes for others stands below, in the table's order."""

    config: Config
    tasks: anyio.abc.TaskGroup
    metrics: Metrics
    servers: ServerList
    upstream: Upstream
    conductor: Conductor
    by_hand: OperatorOverrides
    discovery: DiscoveryClient
    fronts: Fronts
    can_serve: Callable[[], bool]  # whether all that serving takes is at work
    stopping: anyio.Event = field(default_factory=anyio.Event)
    stop_asked_s: float = 0.0  # when that was, on the loop's clock
    gate: Gate | None = None
    held: BufferedBytes | None = None
    platform: Platform | None = None
    fleet: Fleet | None = None
    queued: QueuedChat | None = None
