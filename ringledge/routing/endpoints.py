"""The server list and its updates. Times are in milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ringledge.routing.settings import Role


class EndpointUpdateKind(Enum):
    """Content of an update: changes, a complete list, the persisted list, or a failed fetch."""

    CHANGES = "changes"
    FULL = "full"
    PERSISTED = "kept"
    FAILED = "failed"


class Availability(Enum):
    """Availability of a server according to the list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of the server list."""

    server: str
    zone: int
    kind: int
    cell: int
    availability: Availability
    weight: float = 1.0
    started_ms: float = 0.0  # by the clock of the discovery service; 0 if long ago
    local_started_ms: float | None = None  # the same time by the router's clock, where that differs


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An update of the server list."""

    kind: EndpointUpdateKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()

    @property
    def is_whole(self) -> bool:
        """Whether the entries replace the list."""
        return self.kind != EndpointUpdateKind.CHANGES


@dataclass(slots=True, frozen=True)
class ServerView:
    """The policy's view of one server at a point in time."""

    server: str
    role: Role
    zone: int
    cell: int
    availability: Availability
    weight: float
    warmth: float  # fraction of its capacity that the router uses: 1 if warm, less while it warms up
    failure_probability: float  # estimated for one attempt on this server
    avoided: bool  # gets few or no new requests
