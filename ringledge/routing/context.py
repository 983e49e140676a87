"""What all components of one router share: settings, random generator and the time of the event."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ringledge.routing.settings import RouterSettings


@dataclass(slots=True)
class EventClock:
    """The time of the event that is being handled; the decisions read no other clock."""

    now_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutingContext:
    """Settings, random generator and clock of one router.

    There is one generator, so the order of all draws is part of the behaviour: equal seeds and equal events
    give equal actions.
    """

    settings: RouterSettings
    rng: random.Random
    clock: EventClock
