"""Contents of all settings files, of RELAY_CONFIG and of the environment variables that override it."""

from __future__ import annotations

from typing import Any

FILES: dict[str, str] = {
    "chat": """enabled = true
listen = "127.0.0.1:8081"
tenant = "farm"
max_tokens = 801
resume_for_s = 61.0
sessions = 513
[models]
yard-assistant = "query"
""",
    "xds": """enabled = true
listen = "127.0.0.1:18000"
cluster = "other-xds"
poll_s = 11.0
""",
    "prometheus": """enabled = true
listen = "127.0.0.1:9464"
remote_write = "http://127.0.0.1:9/api/v1/write"
interval_s = 16.0
queue = 41
timeout_s = 6.0
[labels]
site = "yards"
""",
    "overload": """enabled = true
target = 0.8
delay_ms = 31.0
memory_from = 0.7
memory_to = 0.9
held_part = 0.25
descriptors = 0.85
turn_ms = 9.0
""",
    "doors": """enabled = true
keep_alive_s = 70.0
jitter = 0.2
advertise = false
networks_watched = 500
[[rules]]
networks = ["10.20.0.0/16"]
name = "yards"
deny = false
most = 20000
most_each = 4
per_s = 500.0
keep_alive_s = 3600.0
[[rules]]
networks = ["10.30.0.0/16"]
deny = true
""",
    "members": """enabled = true
cluster = "yards"
key_file = "members.key"
listen = "127.0.0.1:7000"
advertise = "127.0.0.1:7001"
everyone = "127.0.0.1:7002"
site = "north"
strangers = true
buffer_kb = 128
[peers]
n2 = "127.0.0.2:7000"
[probe]
interval_s = 0.6
answer_s = 0.2
indirect = 4
suspicion = 5.0
repeats = 5
[facts]
interval_s = 1.1
lifetime_s = 31.0
fan_out = 4
answer = 7
""",
    "duties": """enabled = true
voters = ["c1", "c2", "c3"]
generation = 2
lease_s = 3.5
longest_s = 4.0
rate = 0.12
candidates = 6
overloaded_s = 11.0
""",
    "ratio": """enabled = true
look_s = 1.1
fast_s = 4.1
slow_s = 24.1
sure = 2.1
old_s = 6.1
headroom = 0.84
wait_s = 2.1
least_gain = 0.03
least_stay_s = 31.0
release_part = 0.21
spread_s = 1.1
drain_s = 5.1
warm_s = 5.2
""",
    "queue": """enabled = true
path = "queue.db"
site = "here"
entries = 1001
most_bytes = 65537
tenant_share = 0.4
entry_bytes = 2048
expire_s = 3601.0
keep_s = 86401.0
attempts = 9
busy_s = 2.5
replay_part = 0.4
reserve = 0.3
in_flight = 33
[sites]
here = 1.5
there = 2.5
[tenants]
farm = 2.0
""",
}
SETTINGS: dict[str, Any] = {
    "azs": ["east", "west"],
    "shapes": ["prefill", "decode", "mixed"],
    "caps": {
        "cancel": True,
        "max_attempts": 5,
        "retry_after": True,
        "max_retry_after_ms": 1100.0,
        "keepalive_ms": 31_000.0,
        "connect_timeout_ms": 260.0,
        "second_copies": True,
        "may_probe": True,
    },
    "classes": [
        {
            "name": "query",
            "deadline_ms": 5000.0,
            "goal_time_ms": 1200.0,
            "effect": "retryable",
            "worth": 2.0,
            "late_worth": 0.5,
            "stream": True,
        },
        {
            "name": "booking",
            "deadline_ms": 5100.0,
            "goal_time_ms": 2500.0,
            "effect": "fragile",
            "worth": 6.0,
            "stream": False,
        },
        {
            "name": "label",
            "deadline_ms": 5200.0,
            "goal_time_ms": 900.0,
            "effect": "dedup",
            "group": "cell",
            "window_ms": 700.0,
        },
    ],
    "tenants": [{"name": "farm", "fraction": 0.7, "quota_per_s": 12.0}, {"name": "fish", "fraction": 0.3}],
    "stats": {"how": "pull", "fields": ["x0", "x1"]},
    "specifics": {
        "role_by_kind": ["read", "write", "both"],
        "token_aim_ms": [50.0, 80.0],
        "aim_us_per_1000_prompt_tokens": [40_000, 30_000, 20_000],
        "kind_memory_tokens": [1000, 2000],
        "let_go_by_ms": 500.0,
        "read_in_place": True,
        "resume": True,
    },
    "safety": {
        "answer_slack_ms": 90.0,
        "ask_every_ms": 2000.0,
        "drain_grace_ms": 700.0,
        "cold_share": 0.28,
        "warm_after_ms": 13_000.0,
        "fall_multiple": 3.0,
        "overload_for_ms": 3000.0,
    },
    "replicas_of_me": 7,
    "position": 3,
    "tick_ms": 2.5,
    "zone": 1,
    "membership_mode": "subscribe",
    "over_share_worth": 0.15,
}
CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "operator": "127.0.0.1:8082",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.5, "memory_mb": 2048, "sockets": 4096},
    "known": {
        "index": 41,
        "snapshot": True,
        "endpoints": [
            {
                "name": "s1",
                "address": "127.0.0.1:9001",
                "zone": "west",
                "type": "decode",
                "group": 4,
                "status": "draining",
                "weight": 0.5,
                "since_ms": 1_700_000_000_000,
            }
        ],
    },
    "peer_listen": "127.0.0.1:7000",
    "peers": {"n2": "127.0.0.2:7000"},
    "peers_all": "127.0.0.1:7002",
    "settings": SETTINGS,
}
OVERRIDES = {
    "RELAY_NAME": "n9",
    "RELAY_LISTEN": "127.0.0.9:8080",
    "RELAY_DISCOVERY": "127.0.0.9:8500",
    "RELAY_OPERATOR": "127.0.0.9:8082",
}
