"""Random router settings for the scripted runs of the policy trace."""

from __future__ import annotations

from random import Random

from ringledge.routing.interface import (
    DedupScope,
    Idempotency,
    MembershipMode,
    RequestClass,
    Role,
    RouterSettings,
    ServerKind,
    Tenant,
)


def draw_settings(rng: Random) -> RouterSettings:
    """Draws settings that cover the variety of deployments."""
    classes = tuple(
        RequestClass(
            target_ms=rng.choice([400.0, 1200.0, 2500.0]),
            deadline_ms=rng.choice([3000.0, 5000.0]),
            idempotency=effect,
            priority_weight=rng.choice([1.0, 2.0, 6.0]),
            dedup_scope=rng.choice(list(DedupScope)),
            target_per_1000_tokens_ms=rng.choice([0.0, 40.0]),
            target_token_ms=rng.choice([0.0, 60.0]),
        )
        for effect in Idempotency
    )
    kinds = (
        ServerKind(Role.PREFILL, 400_000.0),
        ServerKind(Role.DECODE, rng.choice([None, 60_000.0])),
        ServerKind(Role.MIXED, rng.choice([None, 120_000.0])),
    )
    tenants = (Tenant(0.6, rng.choice([None, 8.0])), Tenant(0.4, 4.0))
    return RouterSettings(
        classes,
        kinds,
        tenants,
        router=rng.randrange(3),
        routers=rng.choice([1, 4, 30]),
        membership=rng.choice(list(MembershipMode)),
        may_cancel=rng.random() < 0.7,
        retry_after=rng.random() < 0.7,
        max_retry_after_ms=1000.0,
        max_attempts=rng.choice([2, 4, 6]),
        tick_ms=2.0,
        poll_interval_ms=2000.0,
        cold_capacity=0.28,
        warm_after_ms=13_000.0,
        overload_multiple=rng.choice([1.0, 3.0]),
        overload_window_ms=3000.0,
        release_within_ms=500.0,
        decode_may_prefill=rng.random() < 0.3,
        over_quota_weight=0.2,
    )
