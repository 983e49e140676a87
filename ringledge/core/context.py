"""The state and collaborators that the stages share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ringledge.core.clock import Clock
from ringledge.core.invariants import InvariantChecker
from ringledge.core.observer import RequestObserver
from ringledge.core.registry import RequestRegistry
from ringledge.core.server_port import ServerTransport
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import RouterSettings, RoutingEvent


@dataclass(slots=True)
class StageContext:
    """The conductor's collaborators, which each stage receives."""

    settings: RouterSettings
    clock: Clock
    registry: RequestRegistry
    servers: ServerList
    metrics: Metrics
    transport: ServerTransport
    dispatch: Callable[[RoutingEvent], None]  # enqueues an event for the policy
    invariants: InvariantChecker
    observer: RequestObserver | None = None
