"""Translates the simulator's messages to the settings and events of ``interface.py``."""

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

UPDATE_KINDS = {
    "Partial": EndpointUpdateKind.CHANGES,
    "Complete": EndpointUpdateKind.FULL,
    "Persisted": EndpointUpdateKind.PERSISTED,
    "Error": EndpointUpdateKind.FAILED,
}
AVAILABILITIES = {"on": Availability.UP, "fading": Availability.DRAINING, "off": Availability.REMOVED}
STATUSES = {
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
IDEMPOTENCIES = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
MEMBERSHIP_MODES = {"automatic": MembershipMode.PUSH, "subscribe": MembershipMode.POLL}
REPORT_SOURCES = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.PROBES,
    "silent": LoadReportSource.NONE,
}
LOAD_FIELDS = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilisation",
    "svc_ms": "latency_ms",
    "x0": "memory_share",
    "x1": "pending_kilotokens",
}


def parse_bool(text: str) -> bool:
    """Parse a boolean, written as a word in settings and as a digit in messages."""
    values = {"1": True, "true": True, "0": False, "false": False}
    if text not in values:
        raise ValueError(f"'{text}' is no bool")
    return values[text]


def split_list(text: str) -> list[str]:
    """Split a comma-separated list. An empty text is an empty list."""
    return text.split(",") if text else []


def translate(fields: Fields, names: dict[str, tuple[str, Callable[[str], Any]]]) -> dict[str, Any]:
    """Translate the fields that are present. The others keep the defaults of the interface."""
    return {field: parse(fields[key]) for field, (key, parse) in names.items() if key in fields}


def indexed_objects(fields: Fields, name: str) -> Iterator[Fields]:
    """Yield the objects of a list in the settings, each with its fields by their path in the object."""
    for index in range(int(fields.get(f"{name}.count", 0))):
        start = f"{name}.{index}."
        yield {path[len(start) :]: value for path, value in fields.items() if path.startswith(start)}


CLASS_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "target_ms": ("goal_time_ms", float),
    "deadline_ms": ("deadline_ms", float),
    "idempotency": ("effect", IDEMPOTENCIES.__getitem__),
    "priority_weight": ("worth", float),
    "late_priority_weight": ("late_worth", float),
    "dedup_scope": ("group", DEDUP_SCOPES.__getitem__),
    "dedup_window_ms": ("window_ms", float),
    "streamed": ("stream", parse_bool),
}
TENANT_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "fraction": ("fraction", float),
    "quota_per_s": ("quota_per_s", float),
}
SETTINGS_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "zone": ("zone", int),
    "router": ("position", int),
    "routers": ("replicas_of_me", int),
    "membership": ("membership_mode", MEMBERSHIP_MODES.__getitem__),
    "reports": ("stats.how", REPORT_SOURCES.__getitem__),
    "may_probe": ("caps.may_probe", parse_bool),
    "may_cancel": ("caps.cancel", parse_bool),
    "hedging_allowed": ("caps.second_copies", parse_bool),
    "retry_after": ("caps.retry_after", parse_bool),
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
    "decode_may_prefill": ("specifics.read_in_place", parse_bool),
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
    "retry": ("retry", parse_bool),
    "reconnect": ("reconnect", parse_bool),
}
ENTRY_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "server": ("host", str),
    "zone": ("hall", int),
    "kind": ("hw", int),
    "cell": ("pod", int),
    "availability": ("availability", AVAILABILITIES.__getitem__),
    "weight": ("scale", float),
    "started_ms": ("launched_ms", float),
}


def router_settings(fields: Fields) -> RouterSettings:
    """Translate the settings of an instance."""
    classes = tuple(_request_classes(fields))
    kinds = tuple(_server_kinds(fields))
    tenants = tuple(Tenant(**translate(entry, TENANT_FIELDS)) for entry in indexed_objects(fields, "tenants"))
    return RouterSettings(classes, kinds, tenants, **translate(fields, SETTINGS_FIELDS))


def _request_classes(fields: Fields) -> Iterator[RequestClass]:
    """Yield the request classes. Their token-based latency targets are in separate lists."""
    per_1000_tokens_us = _numbers(fields, "specifics.aim_us_per_1000_prompt_tokens")
    per_token_ms = _numbers(fields, "specifics.token_aim_ms")
    for index, entry in enumerate(indexed_objects(fields, "classes")):
        values = translate(entry, CLASS_FIELDS)
        if index < len(per_1000_tokens_us):
            values["target_per_1000_tokens_ms"] = per_1000_tokens_us[index] / 1000
        if index < len(per_token_ms):
            values["target_token_ms"] = per_token_ms[index]
        yield RequestClass(**values)


def _server_kinds(fields: Fields) -> Iterator[ServerKind]:
    """Yield the server kinds. The list of memory sizes may be shorter than the list of roles."""
    memory_tokens = _numbers(fields, "specifics.kind_memory_tokens")
    for index, role in enumerate(split_list(fields.get("specifics.role_by_kind", ""))):
        yield ServerKind(ROLES[role], memory_tokens[index] if index < len(memory_tokens) else None)


def _numbers(fields: Fields, name: str) -> list[float]:
    """Parse a list of numbers. A missing list is empty."""
    return [float(text) for text in split_list(fields.get(name, ""))]


def load_report(fields: Fields) -> LoadReport | None:
    """Translate the load report of an event, if it has one."""
    if "server_stats" not in fields:
        return None
    pairs = [pair.split(":") for pair in split_list(fields["server_stats"])]
    return LoadReport(**{LOAD_FIELDS[name]: float(value) for name, value in pairs if name in LOAD_FIELDS})


def attempt_outcome(fields: Fields) -> AttemptOutcome:
    """Translate the outcome of an attempt."""
    return AttemptOutcome(
        fields["op_id"],
        int(fields["shot"]),
        fields["host"],
        STATUSES[fields["outcome"]],
        float(fields.get("cost_time_ms", 0)),
        parse_bool(fields.get("over", "0")),
        int(float(fields.get("note", 0))),
        load_report(fields),
    )


def first_token(fields: Fields) -> FirstToken:
    """Translate the first token of an attempt."""
    latency_ms = float(fields.get("cost_time_ms", 0))
    return FirstToken(fields["op_id"], int(fields["shot"]), fields["host"], latency_ms)


def probe_result(fields: Fields) -> ProbeResult:
    """Translate the result of a probe."""
    latency_ms = float(fields.get("cost_time_ms", 0))
    return ProbeResult(fields["host"], STATUSES[fields["outcome"]], latency_ms, load_report(fields))


EVENTS: dict[str, Callable[[Fields], RoutingEvent]] = {
    "NEW_REQUEST": lambda fields: Request(**translate(fields, REQUEST_FIELDS)),
    "RESOLVED": attempt_outcome,
    "STARTED": first_token,
    "CLIENT_GONE": lambda fields: ClientDisconnected(fields["op_id"]),
    "PING_RESULT": probe_result,
    "RING": lambda fields: TimerFired(fields["cookie"]),
}
IGNORED_EVENTS = ("MEMO", "SEAT_NEWS")  # responses to actions that the policy never takes
