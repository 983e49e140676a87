"""The deployment that the lab simulates: request classes, tenants and limits in the platform's format."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "azs": ["hall-east"],
    "shapes": ["prefill", "decode", "mixed"],
    "caps": {
        "cancel": True, "max_attempts": 6, "retry_after": True, "max_retry_after_ms": 1000.0,
        "keepalive_ms": 30000.0, "connect_timeout_ms": 250.0, "second_copies": False,
    },
    "classes": [
        {"name": "yard-query", "deadline_ms": 5000.0, "goal_time_ms": 1200.0, "effect": "retryable",
         "worth": 2.0, "late_worth": 0.1, "stream": True},
        {"name": "manifest-booking", "deadline_ms": 12000.0, "goal_time_ms": 2500.0, "effect": "fragile",
         "worth": 6.0, "late_worth": 0.3, "stream": True},
    ],
    "tenants": [
        {"name": "tokachi-farm-coop", "fraction": 0.36, "quota_per_s": 12.0},
        {"name": "kushiro-fish-union", "fraction": 0.27, "quota_per_s": 9.0},
        {"name": "obihiro-dairy-group", "fraction": 0.23, "quota_per_s": 8.0},
        {"name": "memuro-bean-growers", "fraction": 0.14, "quota_per_s": 5.0},
    ],
    "over_share_worth": 0.05,
    "stats": {"how": "piggyback", "fields": ["x0", "x1"]},
    "specifics": {
        "role_by_kind": ["read", "write", "both"], "token_aim_ms": [50.0, 80.0], "resume": True,
        "aim_us_per_1000_prompt_tokens": [60000.0, 120000.0], "let_go_by_ms": 500.0,
    },
    "safety": {"cold_share": 0.28, "warm_after_ms": 13000.0, "fall_multiple": 3.0,
               "overload_for_ms": 3000.0, "answer_slack_ms": 8.0, "drain_grace_ms": 250.0},
    "replicas_of_me": 1, "position": 0, "tick_ms": 2.0, "zone": 0, "membership_mode": "automatic",
}  # fmt: skip
