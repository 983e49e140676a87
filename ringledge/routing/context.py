"""Context that the components of one router share: settings, random generator and event time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ringledge.routing.settings import RouterSettings


@dataclass(slots=True)
class EventClock:
    """Time of the event being handled. The policy reads no other clock."""

    now_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutingContext:
    """Settings, random generator and clock of one router.

    All components draw from the same generator, so the order of draws is part of the behaviour: equal seeds
    and events give equal actions.
    """

    settings: RouterSettings
    rng: random.Random
    clock: EventClock
