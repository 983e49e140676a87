"""The settings of the routers in a soak."""

from __future__ import annotations

from typing import Any

from benchmarks.soak.plan import Plan

REQUEST_CLASSES: list[dict[str, Any]] = [
    {"name": "query", "deadline_ms": 3000.0, "goal_time_ms": 800.0, "effect": "retryable", "worth": 2.0},
    {"name": "booking", "deadline_ms": 3000.0, "goal_time_ms": 1000.0, "effect": "fragile", "worth": 6.0},
    {"name": "order", "deadline_ms": 3000.0, "goal_time_ms": 1000.0, "effect": "dedup", "group": "all",
     "window_ms": 800.0, "worth": 3.0},
    {"name": "ticket", "deadline_ms": 3000.0, "goal_time_ms": 1000.0, "effect": "dedup", "group": "zone",
     "window_ms": 800.0, "worth": 3.0},
]  # fmt: skip


def router_settings(plan: Plan, position: int) -> dict[str, Any]:
    """The settings of the router at this position."""
    caps = {"cancel": plan.may_cancel, "max_attempts": 6, "retry_after": True, "max_retry_after_ms": 500.0,
            "keepalive_ms": plan.keepalive_ms, "connect_timeout_ms": 250.0,
            "second_copies": False}  # fmt: skip
    safety = {"cold_share": 0.28, "warm_after_ms": 4000.0, "fall_multiple": 3.0, "overload_for_ms": 2000.0,
              "drain_grace_ms": 250.0, "answer_slack_ms": 8.0}  # fmt: skip
    specifics = {"role_by_kind": ["read", "write", "both"], "token_aim_ms": [50.0] * 4, "resume": False,
                 "let_go_by_ms": 500.0, "read_in_place": True}  # fmt: skip
    return {
        "azs": ["east", "west"], "shapes": ["prefill", "decode", "mixed"], "caps": caps,
        "classes": [each | {"deadline_ms": plan.deadline_ms} for each in REQUEST_CLASSES],
        "tenants": [{"name": "farm", "fraction": 1.0}], "safety": safety, "specifics": specifics,
        "stats": {"how": "silent", "fields": []}, "replicas_of_me": len(plan.conductors),
        "position": position, "tick_ms": 2.0, "zone": position % 2, "membership_mode": "automatic",
    }  # fmt: skip
