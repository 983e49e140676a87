"""What goes into and comes out of the decision module: settings, events and actions.

Nothing is decided here. All times are milliseconds (``_ms``): clock readings where the name says so,
else lengths. A field that a deployment does not tell is ``None`` or empty.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """What a kind of server does: read prompts (prefill), write answers (decode), or both."""

    READER = "reader"
    WRITER = "writer"
    MIXED = "mixed"


class Effect(Enum):
    """Whether a request may be repeated: freely, where a key drops repeats, or only if it never ran."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Membership(Enum):
    """How the list of servers comes: by itself, or only when asked or subscribed to."""

    PUSH = "push"
    ASK = "ask"


class Reports(Enum):
    """How load reports come: with outcomes, with probes only, or never."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class ListForm(Enum):
    """What a membership event holds: changes, the whole list, the list kept over a restart, or a failure."""

    CHANGES = "changes"
    FULL = "full"
    KEPT = "kept"
    FAILED = "failed"


class Availability(Enum):
    """State of a server in the list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    """How an attempt or probe ended."""

    OK = "ok"
    READ = "read"  # the prompt is read; its state waits at the reader
    ERROR = "error"
    FULL = "full"  # turned away, or no state to fetch (then `note` is 1)
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request."""

    aim_ms: float
    deadline_ms: float
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window_ms: float = 0.0
    streamed: bool = True
    aim_per_1000_tokens_ms: float = 0.0
    token_aim_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and its share."""

    fraction: float = 1.0
    quota_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class ServerKind:
    """One kind of machine."""

    role: Role
    memory_tokens: float | None = None


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told once, at its start."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[ServerKind, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    router: int = 0
    routers: int = 1
    membership: Membership = Membership.PUSH
    reports: Reports = Reports.NONE
    may_probe: bool = False
    may_cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    tick_ms: float = 0.0
    answer_slack_ms: float = 0.0
    ask_every_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    warm_after_ms: float = 0.0
    fall_multiple: float = 1.0
    overload_for_ms: float = 0.0
    let_go_by_ms: float = 0.0
    writers_read: bool = False
    over_share_worth: float = 1.0


# Events


@dataclass(slots=True, frozen=True)
class Load:
    """A load report, late and noisy; a value that was not reported is None."""

    in_flight: float | None = None
    queued: float | None = None
    utilisation: float | None = None
    latency_ms: float | None = None
    memory_share: float | None = None
    pending_kilotokens: float | None = None


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server in the list."""

    server: str
    zone: int
    kind: int
    cell: int
    availability: Availability
    weight: float = 1.0
    started_ms: float = 0.0  # clock reading; 0: long ago


@dataclass(slots=True, frozen=True)
class Members:
    """News about the list of servers."""

    form: ListForm
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; exactly one final answer is owed."""

    request: str
    expires_in_ms: float
    class_index: int = 0
    tenant: int = 0
    session: int | None = None
    prefix: int | None = None
    prefix_tokens: float = 0.0
    prompt_tokens: float = 0.0
    max_output_tokens: float = 0.0
    hint_ms: float | None = None
    retry: bool = False
    reconnect: bool = False


@dataclass(slots=True, frozen=True)
class Outcome:
    """How one attempt ended; `over` says that the request has ended with it or before."""

    request: str
    attempt: int
    server: str
    status: Status
    latency_ms: float = 0.0
    over: bool = False
    note: int = 0  # read, ok: tokens found kept; full: 1 without a state; lost: 1 if a kept connection broke
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The answer has started: the attempt is the client's now."""

    request: str
    attempt: int
    server: str
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has left; nothing more is owed."""

    request: str


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a probe."""

    server: str
    status: Status
    latency_ms: float = 0.0
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer has fallen due."""

    token: str


@dataclass(slots=True, frozen=True)
class ByHand:
    """Operators have left a server out, or called it back; it may have restarted in between."""

    server: str
    out: bool


@dataclass(slots=True, frozen=True)
class LastCall:
    """The process is about to end: what has not begun by now has no time left."""


# What is thought of a server, for those who ask from outside


@dataclass(slots=True, frozen=True)
class View:
    """One server as the decisions see it at a moment."""

    server: str
    role: Role
    zone: int
    cell: int
    availability: Availability
    weight: float
    warmth: float  # 1: warm; less: the part of its capacity that it is trusted with
    doubt: float  # how likely it fails what it is sent
    avoided: bool  # it gets nothing new, or hardly


@dataclass(slots=True, frozen=True)
class Silent:
    """The servers that no connection reaches just now; it replaces what was said before."""

    servers: frozenset[str]


@dataclass(slots=True, frozen=True)
class Roles:
    """Servers of kinds that do both which get nothing new of one role; it replaces what was said before."""

    no_reads: frozenset[str] = frozenset()
    no_writes: frozenset[str] = frozenset()


Heard = Outcome | FirstToken | ClientGone | Probed
Event = Members | Request | Heard | Timer | ByHand | LastCall | Silent | Roles


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request to a server; a time-out of None lasts until the client's time is up."""

    request: str
    server: str
    timeout_ms: float | None = None


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `Timer` event at a clock reading."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: no, and a repeat does no harm. Tells when to come back, where a time is given."""

    request: str
    come_back_ms: float | None = None


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with nothing promised about the effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Release:
    """Let go of every state and place held for the request."""

    request: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True, frozen=True)
class AskMembers:
    """Ask for the whole list of servers once."""


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for changes of the list from now on."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | SetTimer | Refuse | Fail | Cancel | Release | Probe | AskMembers | Subscribe | Log
