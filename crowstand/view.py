"""What a policy thinks of each server at a moment, for those who ask from outside; it decides nothing."""

from __future__ import annotations

from crowstand import interface as i
from crowstand.evidence import Fading
from crowstand.policy import AVOIDED, Policy


def view(policy: Policy, now_ms: float) -> list[i.View]:
    """Every listed server, by name."""
    policy.now_ms = now_ms
    up, seen = i.Availability.UP, []
    for name, server in sorted(policy.servers.items()):
        state, entry = policy.availability(server), server.entry
        doubt = 1.0 if name in policy.silent else server.blame.get("all", Fading()).now(now_ms)
        seen.append(
            i.View(
                name,
                server.role,
                entry.zone,
                entry.cell,
                state,
                entry.weight,
                policy.warmth(server),
                doubt,
                doubt >= AVOIDED or state != up,
            )
        )
    return seen
