"""What goes into and comes out of the decision module: settings, events and actions.

Nothing is decided here. All times are milliseconds (``_ms``): clock readings where the name says so,
else lengths. A field that a deployment does not tell is ``None`` or empty.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from crowstand.actions import Action as Action
from crowstand.actions import AskMembers as AskMembers
from crowstand.actions import Cancel as Cancel
from crowstand.actions import Fail as Fail
from crowstand.actions import Log as Log
from crowstand.actions import Probe as Probe
from crowstand.actions import Refuse as Refuse
from crowstand.actions import Release as Release
from crowstand.actions import Send as Send
from crowstand.actions import SetTimer as SetTimer
from crowstand.actions import Subscribe as Subscribe
from crowstand.settings import Effect as Effect
from crowstand.settings import Group as Group
from crowstand.settings import Membership as Membership
from crowstand.settings import Reports as Reports
from crowstand.settings import RequestClass as RequestClass
from crowstand.settings import Role as Role
from crowstand.settings import ServerKind as ServerKind
from crowstand.settings import Settings as Settings
from crowstand.settings import Tenant as Tenant


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
