"""Events from operators, the role planner and the process itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OperatorOverride:
    """An operator has excluded or readmitted a server, which may have restarted in between."""

    server: str
    excluded: bool


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The period for graceful shutdown is over: requests that have not started streaming must end."""


@dataclass(slots=True, frozen=True)
class UnreachableServers:
    """The servers that are unreachable at present. Replaces the previous set."""

    servers: frozenset[str]


@dataclass(slots=True, frozen=True)
class RolePlan:
    """Mixed servers that get no new work of one role. Replaces the previous plan."""

    no_prefill: frozenset[str] = frozenset()
    no_decode: frozenset[str] = frozenset()
