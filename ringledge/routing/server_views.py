"""How a policy sees each server at a moment, for those who ask from outside; it decides nothing."""

from __future__ import annotations

from ringledge.routing.endpoints import Availability, ServerView
from ringledge.routing.policy import AVOIDED, Policy
from ringledge.routing.state import ANY_REQUEST, DecayingMean


def server_views(policy: Policy, now_ms: float) -> list[ServerView]:
    """Every listed server, by name."""
    policy.now_ms = now_ms
    views = []
    for name, server in sorted(policy.servers.items()):
        availability, entry = policy.availability(server), server.entry
        failures = server.failures.get(ANY_REQUEST, DecayingMean())
        failure_probability = 1.0 if name in policy.unreachable else failures.value(now_ms)
        view = ServerView(
            name,
            server.role,
            entry.zone,
            entry.cell,
            availability,
            entry.weight,
            policy.warmth(server),
            failure_probability,
            avoided=failure_probability >= AVOIDED or availability != Availability.UP,
        )
        views.append(view)
    return views
