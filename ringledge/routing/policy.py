"""Routing policy of one router, built from components. The public types are in ``interface.py``."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ringledge.routing.actions import RoutingAction, TimerName, TimerToken, WatchEndpoints
from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.concurrency_limit import ConcurrencyLimit
from ringledge.routing.context import EventClock, RoutingContext
from ringledge.routing.control_events import OperatorOverride, RolePlan, Shutdown, UnreachableServers
from ringledge.routing.decode import DecodeSelector
from ringledge.routing.eligibility import EligibilityFilter
from ringledge.routing.endpoint_registry import EndpointRegistry
from ringledge.routing.endpoints import EndpointUpdate
from ringledge.routing.estimates import Estimates
from ringledge.routing.events import AttemptOutcome, ClientDisconnected, FirstToken, Request, TimerFired
from ringledge.routing.fleet import FleetState
from ringledge.routing.interface import RoutingEvent
from ringledge.routing.observations import OutcomeObserver
from ringledge.routing.prefill import PrefillInputs, PrefillSelector
from ringledge.routing.quotas import TenantQuotas
from ringledge.routing.request_lifecycle import LifecycleComponents, RequestLifecycle
from ringledge.routing.settings import RouterSettings
from ringledge.routing.state import RequestState


class Policy:
    """Maps events to actions for one router.

    Each component owns part of the router's state. The policy reads no clock and no other source of
    randomness, so equal settings, seeds and events give equal actions.
    """

    def __init__(
        self, settings: RouterSettings, seed: int, concurrency_limit: ConcurrencyLimit | None = None
    ) -> None:
        context = RoutingContext(settings, random.Random(seed), EventClock())
        self.settings = settings
        self.clock = context.clock
        self.fleet = FleetState(settings)
        self.affinities = SessionAffinities()
        self.quotas = TenantQuotas(context)
        self.concurrency_limit = concurrency_limit or ConcurrencyLimit()
        self.estimates = Estimates(context, self.fleet, self.affinities)
        self.registry = EndpointRegistry(context, self.fleet, self.affinities, self.estimates)
        self.eligibility = EligibilityFilter(context, self.fleet, self.estimates)
        self.lifecycle = RequestLifecycle(context, self._lifecycle_components(context))
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self.lifecycle.accept,
            AttemptOutcome: self.lifecycle.finish_attempt,
            FirstToken: self.lifecycle.start_stream,
            ClientDisconnected: self.lifecycle.disconnect_client,
            TimerFired: self._fire_timer,
            EndpointUpdate: self._update_endpoints,
            OperatorOverride: self.registry.override,
            UnreachableServers: self.registry.update_reachability,
            RolePlan: self.registry.update_role_plan,
            Shutdown: self._shut_down,
        }

    def _lifecycle_components(self, context: RoutingContext) -> LifecycleComponents:
        inputs = PrefillInputs(self.fleet, self.affinities, self.estimates, self.concurrency_limit)
        return LifecycleComponents(
            fleet=self.fleet,
            affinities=self.affinities,
            quotas=self.quotas,
            estimates=self.estimates,
            observer=OutcomeObserver(context, self.fleet, self.estimates, self.concurrency_limit),
            prefill_selector=PrefillSelector(context, inputs, self.eligibility),
            decode_selector=DecodeSelector(context, self.fleet, self.estimates, self.eligibility),
        )

    @property
    def requests(self) -> dict[str, RequestState]:
        """Open requests by id."""
        return self.lifecycle.requests

    def handle(self, now_ms: float, event: RoutingEvent) -> list[RoutingAction]:
        """Handle one event and return the resulting actions in order."""
        self.clock.now_ms = now_ms
        actions = self.lifecycle.begin_event()
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return actions

    def _update_endpoints(self, update: EndpointUpdate) -> None:
        self.lifecycle.actions += self.registry.update_endpoints(update)

    def _shut_down(self, _: Shutdown) -> None:
        self.lifecycle.shut_down()

    def _fire_timer(self, timer: TimerFired) -> None:
        match TimerToken.decode(timer.token):
            case TimerToken(TimerName.WATCH, str(request)):
                self.lifecycle.check_timeout(request)
            case TimerToken(TimerName.MEMBERS):
                self.lifecycle.actions.append(WatchEndpoints())
            case TimerToken(TimerName.EXPIRE):
                self.lifecycle.actions += self.registry.expire()
