"""What operators and the process itself tell the decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OperatorOverride:
    """Operators have excluded a server, or readmitted it; it may have restarted in between."""

    server: str
    excluded: bool


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The process is about to end: what has not begun by now has no time left."""


@dataclass(slots=True, frozen=True)
class UnreachableServers:
    """The servers that no connection reaches just now; it replaces what was said before."""

    servers: frozenset[str]


@dataclass(slots=True, frozen=True)
class RolePlan:
    """Servers of mixed kinds that get nothing new of one role; it replaces what was said before."""

    no_prefill: frozenset[str] = frozenset()
    no_decode: frozenset[str] = frozenset()
