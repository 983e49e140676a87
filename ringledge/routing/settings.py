"""Settings of a router. A field that the deployment does not set is ``None`` or empty."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The work that a kind of server does: prefill, decode, or both."""

    PREFILL = "reader"
    DECODE = "writer"
    MIXED = "mixed"


class Idempotency(Enum):
    """When a request may be retried: always, where servers deduplicate by key, or only if it never ran."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DedupScope(Enum):
    """The set of servers that deduplicate the retries of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MembershipMode(Enum):
    """How the router gets the server list: pushed, or only after it polls or subscribes."""

    PUSH = "push"
    POLL = "ask"


class LoadReportSource(Enum):
    """Which messages carry load reports: attempt outcomes, probe results, or none."""

    RESPONSES = "answers"
    PROBES = "probes"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Settings of one request class."""

    target_ms: float
    deadline_ms: float
    idempotency: Idempotency
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    streamed: bool = True
    target_per_1000_tokens_ms: float = 0.0
    target_token_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: its expected fraction of all requests and its quota in requests per second."""

    fraction: float = 1.0
    quota_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class ServerKind:
    """Settings of one kind of server."""

    role: Role
    memory_tokens: float | None = None


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Settings of one router. They do not change while it runs."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[ServerKind, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    router: int = 0
    routers: int = 1
    membership: MembershipMode = MembershipMode.PUSH
    reports: LoadReportSource = LoadReportSource.NONE
    may_probe: bool = False
    may_cancel: bool = False
    hedging_allowed: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    tick_ms: float = 0.0  # a request is given up this long before its deadline
    answer_slack_ms: float = 0.0
    poll_interval_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_capacity: float = 1.0  # fraction of its capacity that a server has at its start
    warm_after_ms: float = 0.0  # time after its start until a server has its full capacity
    overload_multiple: float = 1.0
    overload_window_ms: float = 0.0
    release_within_ms: float = 0.0
    decode_may_prefill: bool = False  # used only while no prefill or mixed server is available
    over_quota_weight: float = 1.0  # factor on the priority of a tenant that is over its quota
