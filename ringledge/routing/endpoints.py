"""The list of servers and its updates; all times are milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ringledge.routing.settings import Role


class EndpointUpdateKind(Enum):
    """What an update holds: changes, the complete list, the persisted list, or a failure to read it."""

    CHANGES = "changes"
    FULL = "full"
    PERSISTED = "kept"
    FAILED = "failed"


class Availability(Enum):
    """State of a server in the list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server in the list."""

    server: str
    zone: int
    kind: int
    cell: int
    availability: Availability
    weight: float = 1.0
    started_ms: float = 0.0  # on the clock of the discovery service; 0: long ago
    started_here_ms: float | None = None  # the same on the router's own clock, where that differs


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An update of the list of servers."""

    kind: EndpointUpdateKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ServerView:
    """One server as the decisions see it at a moment."""

    server: str
    role: Role
    zone: int
    cell: int
    availability: Availability
    weight: float
    warmth: float  # 1: warm; less while it warms up: the part of its capacity that it is trusted with
    failure_probability: float  # of an attempt there
    avoided: bool  # it gets few new requests or none
