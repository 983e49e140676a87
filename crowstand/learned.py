"""What a policy has learned, as plain values in parts, for the process that takes over from its own.

Nothing is decided here. What is under way stays with the old process, which finishes it.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Any

from crowstand import interface as i
from crowstand.evidence import Fading, Server
from crowstand.policy import Policy

AT_ONCE = 200  # lines of a table in one part


def _fading(value: Fading) -> list[float]:
    return [value.mean, value.at_ms]


def _tables(policy: Policy) -> Iterator[tuple[str, Iterator[list[Any]]]]:
    """Each table's name and lines; keys of 64 bits and more go as hex digits."""
    servers = policy.servers.items()
    yield "done", ([role.value, at_ms] for role, times in policy.done.items() for at_ms in times)
    yield "usual", ([role.value, *_fading(value)] for role, value in policy.usual.items())
    yield "work", ([role.value, mean] for role, mean in policy.mean_work.items())
    yield "peak", ([role.value, most] for role, most in policy.peak.items())
    yield "streams", ([index, lasts_ms] for index, lasts_ms in policy.stream_ms.items())
    yield "fetches", ([*key, *_fading(value)] for key, value in policy.fetch_delays.items())
    yield "room", ([tenant, *room] for tenant, room in policy.tenant_room.items())
    yield "recalled", ([name] for name in policy.recalled)
    yield "servers", (
        [name, s.entry.started_ms, *_fading(s.delay), s.streamed, s.streams, s.credit, s.credit_ms, s.cold_ms]
        for name, s in servers
    )
    yield "blame", ([name, scope, *_fading(value)] for name, s in servers for scope, value in s.blame.items())
    yield "prefixes", ([name, f"{key:x}", at_ms] for name, s in servers for key, at_ms in s.prefixes.items())
    yield "homes", (
        [f"{key:x}", server.entry.server, kept, at_ms]
        for key, (server, kept, at_ms) in policy.homes.items()
        if key is not None
    )


def tell(policy: Policy) -> Iterator[dict[str, Any]]:
    """All that it has learned."""
    yield {"pace": [[policy.read_pace, *policy.arrived]]}
    for name, lines in _tables(policy):
        while some := list(islice(lines, AT_ONCE)):
            yield {name: some}


def take(policy: Policy, part: dict[str, Any]) -> None:
    """Take a part over; ValueError, TypeError or KeyError where it can't be read."""
    for name, lines in part.items():
        for line in lines:
            _take(policy, name, line)


def _take(policy: Policy, table: str, line: list[Any]) -> None:
    match table, line:
        case "pace", [pace, arrived, at_ms]:
            policy.read_pace, policy.arrived = pace, (arrived, at_ms)
        case "done", [role, at_ms]:
            policy.done[i.Role(role)].append(at_ms)
        case "usual", [role, mean, at_ms]:
            policy.usual[i.Role(role)] = Fading(mean, at_ms)
        case "work", [role, mean]:
            policy.mean_work[i.Role(role)] = mean
        case "peak", [role, most]:
            policy.peak[i.Role(role)] = max(policy.peak[i.Role(role)], most)
        case "streams", [index, lasts_ms]:
            policy.stream_ms[index] = lasts_ms
        case "fetches", [cell, away, mean, at_ms]:
            policy.fetch_delays[cell, away] = Fading(mean, at_ms)
        case "room", [tenant, room, at_ms]:
            policy.tenant_room[tenant] = (room, at_ms)
        case "recalled", [name]:
            policy.recalled.add(name)
        case "servers", [name, started_ms, mean, at_ms, streamed, streams, credit, credit_ms, cold_ms]:
            server = policy.servers.get(name)
            if server is not None and server.entry.started_ms == started_ms:
                server.delay, server.streamed, server.streams = Fading(mean, at_ms), streamed, streams
                server.credit, server.credit_ms, server.cold_ms = credit, credit_ms, cold_ms
        case "blame", [name, scope, mean, at_ms]:
            blame = _known(policy, name).blame[scope]
            blame.mean, blame.at_ms = mean, at_ms
        case "prefixes", [name, key, at_ms]:
            _known(policy, name).prefixes[int(key, 16)] = at_ms
        case "homes", [key, name, kept, at_ms]:
            if name in policy.servers:
                policy.homes[int(key, 16)] = (policy.servers[name], kept, at_ms)


def _known(policy: Policy, name: str) -> Server:
    """The server of that name; what is told of one that isn't listed goes nowhere."""
    return policy.servers.get(name) or Server(i.ServerEntry(name, 0, 0, 0, i.Availability.GONE), i.Role.MIXED)
