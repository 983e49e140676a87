"""Plays the decision module on the simulator's wire: lines in, lines out, one policy for each instance.

Only translates between the wire's words and ``interface.py``; every decision is the policy's.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TextIO

from crowstand import interface as i
from crowstand.policy import Policy

Fields = dict[str, str]

FORMS = {
    "Partial": i.ListForm.CHANGES,
    "Complete": i.ListForm.FULL,
    "Persisted": i.ListForm.KEPT,
    "Error": i.ListForm.FAILED,
}
AVAILABILITY = {"on": i.Availability.UP, "fading": i.Availability.DRAINING, "off": i.Availability.GONE}
STATUS = {
    "1": i.Status.OK,
    "0": i.Status.ERROR,
    "2": i.Status.FULL,
    "3": i.Status.TIMEOUT,
    "4": i.Status.CONNECT_FAILED,
    "5": i.Status.RESET,
    "6": i.Status.CANCELLED,
    "7": i.Status.MOOT,
    "100": i.Status.READ,
}
ROLES = {"read": i.Role.READER, "write": i.Role.WRITER, "both": i.Role.MIXED}
EFFECTS = {"retryable": i.Effect.SAFE, "dedup": i.Effect.KEYED, "fragile": i.Effect.UNSAFE}
GROUPS = {"all": i.Group.ALL, "zone": i.Group.ZONE, "cell": i.Group.CELL}
MEMBERSHIP = {"automatic": i.Membership.PUSH, "subscribe": i.Membership.ASK}
REPORTS = {"piggyback": i.Reports.ANSWERS, "pull": i.Reports.PROBES, "silent": i.Reports.NONE}
LOAD = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilisation",
    "svc_ms": "latency_ms",
    "x0": "memory_share",
    "x1": "pending_kilotokens",
}


class MalformedError(Exception):
    """A line that doesn't follow the wire's format."""


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
    "aim_ms": ("goal_time_ms", float),
    "deadline_ms": ("deadline_ms", float),
    "effect": ("effect", EFFECTS.__getitem__),
    "worth": ("worth", float),
    "late_worth": ("late_worth", float),
    "group": ("group", GROUPS.__getitem__),
    "window_ms": ("window_ms", float),
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
    "second_copies": ("caps.second_copies", flag),
    "retry_after": ("caps.retry_after", flag),
    "max_retry_after_ms": ("caps.max_retry_after_ms", float),
    "max_attempts": ("caps.max_attempts", int),
    "tick_ms": ("tick_ms", float),
    "answer_slack_ms": ("safety.answer_slack_ms", float),
    "ask_every_ms": ("safety.ask_every_ms", float),
    "drain_grace_ms": ("safety.drain_grace_ms", float),
    "cold_share": ("safety.cold_share", float),
    "warm_after_ms": ("safety.warm_after_ms", float),
    "fall_multiple": ("safety.fall_multiple", float),
    "overload_for_ms": ("safety.overload_for_ms", float),
    "let_go_by_ms": ("specifics.let_go_by_ms", float),
    "writers_read": ("specifics.read_in_place", flag),
    "over_share_worth": ("over_share_worth", float),
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


def settings(fields: Fields) -> i.Settings:
    """Translate the settings that an instance starts with."""
    aims = [float(us) / 1000 for us in comma_list(fields.get("specifics.aim_us_per_1000_prompt_tokens", ""))]
    paces = [float(ms) for ms in comma_list(fields.get("specifics.token_aim_ms", ""))]
    classes = []
    for index, entry in enumerate(numbered(fields, "classes")):
        told = pick(entry, CLASS_FIELDS)
        if index < len(aims):
            told["aim_per_1000_tokens_ms"] = aims[index]
        if index < len(paces):
            told["token_aim_ms"] = paces[index]
        classes.append(i.RequestClass(**told))
    memory = [float(tokens) for tokens in comma_list(fields.get("specifics.kind_memory_tokens", ""))]
    kinds = []
    for index, role in enumerate(comma_list(fields.get("specifics.role_by_kind", ""))):
        kinds.append(i.ServerKind(ROLES[role], memory[index] if index < len(memory) else None))
    tenants = [i.Tenant(**pick(entry, TENANT_FIELDS)) for entry in numbered(fields, "tenants")]
    return i.Settings(tuple(classes), tuple(kinds), tuple(tenants), **pick(fields, SETTINGS_FIELDS))


def load(fields: Fields) -> i.Load | None:
    """Translate a load report, where one came along."""
    if "server_stats" not in fields:
        return None
    pairs = [pair.split(":") for pair in comma_list(fields["server_stats"])]
    return i.Load(**{LOAD[name]: float(value) for name, value in pairs if name in LOAD})


def outcome(fields: Fields) -> i.Outcome:
    """Translate the end of an attempt."""
    return i.Outcome(
        fields["op_id"],
        int(fields["shot"]),
        fields["host"],
        STATUS[fields["outcome"]],
        float(fields.get("cost_time_ms", 0)),
        flag(fields.get("over", "0")),
        int(float(fields.get("note", 0))),
        load(fields),
    )


def first_token(fields: Fields) -> i.FirstToken:
    """Translate the start of an answer."""
    latency_ms = float(fields.get("cost_time_ms", 0))
    return i.FirstToken(fields["op_id"], int(fields["shot"]), fields["host"], latency_ms)


def probed(fields: Fields) -> i.Probed:
    """Translate the result of a probe."""
    latency_ms = float(fields.get("cost_time_ms", 0))
    return i.Probed(fields["host"], STATUS[fields["outcome"]], latency_ms, load(fields))


EVENTS: dict[str, Callable[[Fields], i.Event]] = {
    "NEW_REQUEST": lambda fields: i.Request(**pick(fields, REQUEST_FIELDS)),
    "RESOLVED": outcome,
    "STARTED": first_token,
    "CLIENT_GONE": lambda fields: i.ClientGone(fields["op_id"]),
    "PING_RESULT": probed,
    "RING": lambda fields: i.Timer(fields["cookie"]),
}
UNUSED_EVENTS = ("MEMO", "SEAT_NEWS")  # answers to actions that no policy here takes


def action_line(action: i.Action) -> str:
    """Write one action in the wire's words."""
    match action:
        case i.Send(request, server, None):
            return f"DISPATCH op_id={request} host={server}"
        case i.Send(request, server, timeout_ms):
            return f"DISPATCH op_id={request} host={server} try_for_ms={timeout_ms:.3f}"
        case i.SetTimer(at_ms, token):
            return f"SET_TIMER fire_at_ms={at_ms:.3f} cookie={token}"
        case i.Refuse(request, None):
            return f"OVERLOAD_REPLY op_id={request}"
        case i.Refuse(request, come_back_ms):
            return f"OVERLOAD_REPLY op_id={request} come_back_ms={come_back_ms:.3f}"
        case i.Fail(request):
            return f"FAIL op_id={request}"
        case i.Cancel(request, attempt):
            return f"ABORT_ATTEMPT op_id={request} shot={attempt}"
        case i.Release(request):
            return f"UNHOLD op_id={request}"
        case i.Probe(server):
            return f"ASK_LOAD host={server}"
        case i.AskMembers():
            return "QUERY_ALL"
        case i.Subscribe(active):
            return f"WATCH active={int(active)}"
        case i.Log(text):
            return f"EMIT msg={text}"


class Host:
    """Reads batches line by line and gives each instance's events to its policy."""

    def __init__(self) -> None:
        self.policies: dict[int, Policy] = {}
        self.instance: int | None = None
        self.now_ms: float | None = None
        self.replies: dict[int, list[str]] = {}
        self.list_fields: Fields = {}
        self.list_left = 0
        self.entries: list[i.ServerEntry] = []

    def line(self, text: str) -> list[str] | None:
        """Take one line; give the reply's lines when it ends a batch."""
        if not text:
            return None
        name, *parts = text.split(" ")
        fields = dict(part.split("=", 1) for part in parts)
        if name == "ROUND":
            if self.now_ms is not None:
                raise MalformedError("ROUND inside a batch")
            self.now_ms, self.replies, self.instance = float(fields["wall_ms"]), {}, None
            return None
        if self.now_ms is None:
            raise MalformedError(f"{name} outside a batch")
        if (name == "M") != (self.list_left > 0):
            raise MalformedError(f"{name} where the server list holds {self.list_left} more entries")
        if name == "M":
            self.entries.append(i.ServerEntry(**pick(fields, ENTRY_FIELDS)))
            self.list_left -= 1
            self.members_when_whole()
        elif name == "EOB":
            self.now_ms = None
            return [*self.reply_lines(), "NEXT"]
        elif name == "AT":
            self.instance = int(fields["dispatcher"])
        elif name == "CONFIGURE":
            self.policies[self.here()] = Policy(settings(fields), int(fields["rng_seed"]))
        elif name == "RETIRE":
            self.policies.pop(self.here(), None)
            self.replies.pop(self.here(), None)
        elif name == "ROSTER_CHANGE":
            self.list_fields, self.entries = fields, []
            self.list_left = int(fields.get("rows", 0))
            self.members_when_whole()
        elif name in EVENTS:
            self.give(EVENTS[name](fields))
        elif name not in UNUSED_EVENTS:
            raise MalformedError(f"unknown message {name}")
        return None

    def here(self) -> int:
        """The instance that the last AT line named."""
        if self.instance is None:
            raise MalformedError("no AT line names the instance")
        return self.instance

    def members_when_whole(self) -> None:
        """Hand over the server list once all its entries have come."""
        if self.list_left == 0:
            form, version = FORMS[self.list_fields["form"]], int(self.list_fields.get("epoch", 0))
            self.give(i.Members(form, version, tuple(self.entries)))

    def give(self, event: i.Event) -> None:
        """Give an event to the instance's policy and keep its actions for the reply."""
        instance = self.here()
        if instance not in self.policies:
            raise MalformedError(f"instance {instance} has not been configured")
        assert self.now_ms is not None
        try:
            actions = self.policies[instance].handle(self.now_ms, event)
        except Exception as error:  # the wire wants a failed decision reported, not an exit
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self.replies.setdefault(instance, []).append(f"INTERNAL_ERROR msg={text}")
            return
        if actions:
            self.replies.setdefault(instance, []).extend(map(action_line, actions))

    def reply_lines(self) -> Iterator[str]:
        """The batch's reply, grouped by instance."""
        for instance, lines in self.replies.items():
            yield f"FROM dispatcher={instance}"
            yield from lines


def serve(lines: Iterable[bytes], out: TextIO, err: TextIO) -> int:
    """Answer batches until the input ends; give the process's exit code."""
    host = Host()
    for number, line in enumerate(lines, 1):
        try:
            reply = host.line(line.decode("utf-8").rstrip("\r\n"))
        except (MalformedError, KeyError, ValueError, TypeError) as error:
            reason = f"missing or unknown {error}" if isinstance(error, KeyError) else error
            print(f"line {number}: malformed: {reason}", file=err)
            return 1
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout, sys.stderr))
