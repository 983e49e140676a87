"""Events from operators, from the role planner and from the process itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OperatorOverride:
    """Operators have excluded a server, or readmitted it; it may have restarted in between."""

    server: str
    excluded: bool


@dataclass(slots=True, frozen=True)
class Shutdown:
    """Graceful shutdown ends: what has not begun by now has no time left."""


@dataclass(slots=True, frozen=True)
class UnreachableServers:
    """The servers that no connection reaches now; it replaces the previous set."""

    servers: frozenset[str]


@dataclass(slots=True, frozen=True)
class RolePlan:
    """Servers of mixed kinds that get nothing new of one role; it replaces the previous plan."""

    no_prefill: frozenset[str] = frozenset()
    no_decode: frozenset[str] = frozenset()
