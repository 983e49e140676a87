"""Translates the simulator's messages to ``interface.py``'s settings and events."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    Availability,
    ClientDisconnected,
    DedupScope,
    EndpointUpdateKind,
    FirstToken,
    Idempotency,
    LoadReport,
    LoadReportSource,
    MembershipMode,
    ProbeResult,
    Request,
    RequestClass,
    Role,
    RouterSettings,
    RoutingEvent,
    ServerKind,
    Tenant,
    TimerFired,
)

Fields = dict[str, str]

FORMS = {
    "Partial": EndpointUpdateKind.CHANGES,
    "Complete": EndpointUpdateKind.FULL,
    "Persisted": EndpointUpdateKind.PERSISTED,
    "Error": EndpointUpdateKind.FAILED,
}
AVAILABILITY = {"on": Availability.UP, "fading": Availability.DRAINING, "off": Availability.REMOVED}
STATUS = {
    "1": AttemptStatus.OK,
    "0": AttemptStatus.ERROR,
    "2": AttemptStatus.FULL,
    "3": AttemptStatus.TIMEOUT,
    "4": AttemptStatus.CONNECT_FAILED,
    "5": AttemptStatus.RESET,
    "6": AttemptStatus.CANCELLED,
    "7": AttemptStatus.NOT_SENT,
    "100": AttemptStatus.PREFILLED,
}
ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.MIXED}
EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
MEMBERSHIP = {"automatic": MembershipMode.PUSH, "subscribe": MembershipMode.POLL}
REPORTS = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.PROBES,
    "silent": LoadReportSource.NONE,
}
LOAD = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilisation",
    "svc_ms": "latency_ms",
    "x0": "memory_share",
    "x1": "pending_kilotokens",
}


def flag(text: str) -> bool:
    """Read a bool, which settings spell as words and fields as digits."""
    values = {"1": True, "true": True, "0": False, "false": False}
    if text not in values:
        raise ValueError(f"'{text}' is no bool")
    return values[text]


def comma_list(text: str) -> list[str]:
    """Split a list of plain values; an empty text is an empty list."""
    return text.split(",") if text else []


def pick(fields: Fields, names: dict[str, tuple[str, Callable[[str], Any]]]) -> dict[str, Any]:
    """Translate the fields that are there; the rest keeps the interface's 'not told'."""
    return {ours: read(fields[theirs]) for ours, (theirs, read) in names.items() if theirs in fields}


def numbered(fields: Fields, name: str) -> Iterator[Fields]:
    """The objects of a settings list, each with its own paths."""
    for index in range(int(fields.get(f"{name}.count", 0))):
        start = f"{name}.{index}."
        yield {path[len(start) :]: value for path, value in fields.items() if path.startswith(start)}


CLASS_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "target_ms": ("goal_time_ms", float),
    "deadline_ms": ("deadline_ms", float),
    "idempotency": ("effect", EFFECTS.__getitem__),
    "priority_weight": ("worth", float),
    "late_priority_weight": ("late_worth", float),
    "dedup_scope": ("group", DEDUP_SCOPES.__getitem__),
    "dedup_window_ms": ("window_ms", float),
    "streamed": ("stream", flag),
}
TENANT_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "fraction": ("fraction", float),
    "quota_per_s": ("quota_per_s", float),
}
SETTINGS_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "zone": ("zone", int),
    "router": ("position", int),
    "routers": ("replicas_of_me", int),
    "membership": ("membership_mode", MEMBERSHIP.__getitem__),
    "reports": ("stats.how", REPORTS.__getitem__),
    "may_probe": ("caps.may_probe", flag),
    "may_cancel": ("caps.cancel", flag),
    "hedging_allowed": ("caps.second_copies", flag),
    "retry_after": ("caps.retry_after", flag),
    "max_retry_after_ms": ("caps.max_retry_after_ms", float),
    "max_attempts": ("caps.max_attempts", int),
    "tick_ms": ("tick_ms", float),
    "answer_slack_ms": ("safety.answer_slack_ms", float),
    "poll_interval_ms": ("safety.ask_every_ms", float),
    "drain_grace_ms": ("safety.drain_grace_ms", float),
    "cold_capacity": ("safety.cold_share", float),
    "warm_after_ms": ("safety.warm_after_ms", float),
    "overload_multiple": ("safety.fall_multiple", float),
    "overload_window_ms": ("safety.overload_for_ms", float),
    "release_within_ms": ("specifics.let_go_by_ms", float),
    "decode_may_prefill": ("specifics.read_in_place", flag),
    "over_quota_weight": ("over_share_worth", float),
}
REQUEST_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "request": ("op_id", str),
    "expires_in_ms": ("expires_in_ms", float),
    "class_index": ("profile", int),
    "tenant": ("owner", int),
    "session": ("conversation", int),
    "prefix": ("template", int),
    "prefix_tokens": ("prefix_tokens", float),
    "prompt_tokens": ("prompt_len", float),
    "max_output_tokens": ("n_max", float),
    "hint_ms": ("predicted_ms", float),
    "retry": ("retry", flag),
    "reconnect": ("reconnect", flag),
}
ENTRY_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "server": ("host", str),
    "zone": ("hall", int),
    "kind": ("hw", int),
    "cell": ("pod", int),
    "availability": ("availability", AVAILABILITY.__getitem__),
    "weight": ("scale", float),
    "started_ms": ("launched_ms", float),
}


def settings(fields: Fields) -> RouterSettings:
    """Translate the settings that an instance starts with."""
    aims = [float(us) / 1000 for us in comma_list(fields.get("specifics.aim_us_per_1000_prompt_tokens", ""))]
    paces = [float(ms) for ms in comma_list(fields.get("specifics.token_aim_ms", ""))]
    classes = []
    for index, entry in enumerate(numbered(fields, "classes")):
        told = pick(entry, CLASS_FIELDS)
        if index < len(aims):
            told["target_per_1000_tokens_ms"] = aims[index]
        if index < len(paces):
            told["target_token_ms"] = paces[index]
        classes.append(RequestClass(**told))
    memory = [float(tokens) for tokens in comma_list(fields.get("specifics.kind_memory_tokens", ""))]
    kinds = []
    for index, role in enumerate(comma_list(fields.get("specifics.role_by_kind", ""))):
        kinds.append(ServerKind(ROLES[role], memory[index] if index < len(memory) else None))
    tenants = [Tenant(**pick(entry, TENANT_FIELDS)) for entry in numbered(fields, "tenants")]
    return RouterSettings(tuple(classes), tuple(kinds), tuple(tenants), **pick(fields, SETTINGS_FIELDS))


def load(fields: Fields) -> LoadReport | None:
    """Translate a load report, where one came along."""
    if "server_stats" not in fields:
        return None
    pairs = [pair.split(":") for pair in comma_list(fields["server_stats"])]
    return LoadReport(**{LOAD[name]: float(value) for name, value in pairs if name in LOAD})


def outcome(fields: Fields) -> AttemptOutcome:
    """Translate the end of an attempt."""
    return AttemptOutcome(
        fields["op_id"],
        int(fields["shot"]),
        fields["host"],
        STATUS[fields["outcome"]],
        float(fields.get("cost_time_ms", 0)),
        flag(fields.get("over", "0")),
        int(float(fields.get("note", 0))),
        load(fields),
    )


def first_token(fields: Fields) -> FirstToken:
    """Translate the start of an answer."""
    latency_ms = float(fields.get("cost_time_ms", 0))
    return FirstToken(fields["op_id"], int(fields["shot"]), fields["host"], latency_ms)


def probed(fields: Fields) -> ProbeResult:
    """Translate the result of a probe."""
    latency_ms = float(fields.get("cost_time_ms", 0))
    return ProbeResult(fields["host"], STATUS[fields["outcome"]], latency_ms, load(fields))


EVENTS: dict[str, Callable[[Fields], RoutingEvent]] = {
    "NEW_REQUEST": lambda fields: Request(**pick(fields, REQUEST_FIELDS)),
    "RESOLVED": outcome,
    "STARTED": first_token,
    "CLIENT_GONE": lambda fields: ClientDisconnected(fields["op_id"]),
    "PING_RESULT": probed,
    "RING": lambda fields: TimerFired(fields["cookie"]),
}
UNUSED_EVENTS = ("MEMO", "SEAT_NEWS")  # answers to actions that no policy here takes
