"""The policy's view of each server, for metrics, xDS and the role planner. Holds no decision logic."""

from __future__ import annotations

from ringledge.routing.endpoints import Availability, ServerView
from ringledge.routing.policy import Policy
from ringledge.routing.state import ANY_REQUEST, DecayingMean

# Failure probability from which a server counts as avoided, since more requests skip it than not.
AVOIDED_FAILURE_PROBABILITY = 0.5


def server_views(policy: Policy, now_ms: float) -> list[ServerView]:
    """Return the views of all listed servers, sorted by name."""
    fleet, views = policy.fleet, list[ServerView]()
    for name, server in sorted(fleet.servers.items()):
        availability, entry = fleet.availability(server), server.entry
        failures = server.failures.get(ANY_REQUEST, DecayingMean())
        failure_probability = 1.0 if name in fleet.unreachable else failures.value(now_ms)
        avoided = failure_probability >= AVOIDED_FAILURE_PROBABILITY or availability != Availability.UP
        view = ServerView(
            name,
            server.role,
            entry.zone,
            entry.cell,
            availability,
            entry.weight,
            fleet.warmth(server, now_ms),
            failure_probability,
            avoided,
        )
        views.append(view)
    return views
