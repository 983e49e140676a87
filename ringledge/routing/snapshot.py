"""A snapshot of what a policy has learned, as plain values in parts, for the process that succeeds its own.

The tables' names and rows are a format between versions of the program. Requests under way stay with the old
process, which finishes them.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Any

from ringledge.routing.endpoints import Availability, ServerEntry
from ringledge.routing.policy import Policy
from ringledge.routing.settings import Role
from ringledge.routing.state import Affinity, DecayingMean, Server

ROWS_PER_PART = 200
SERVER_TABLES = ("servers", "in_place", "blame", "prefixes")  # whose rows begin with a server's name


def _mean_fields(mean: DecayingMean) -> list[float]:
    return [mean.mean, mean.updated_ms]


def _tables(policy: Policy) -> Iterator[tuple[str, Iterator[list[Any]]]]:
    """Each table's name and rows; keys of 64 bits and more go as hex digits."""
    servers = policy.servers.items()
    yield "done", ([role.value, at_ms] for role, times in policy.completions.items() for at_ms in times)
    yield "work", ([role.value, tokens] for role, tokens in policy.mean_work.items())
    yield "usual", ([role.value, *_mean_fields(value)] for role, value in policy.usual_delay.items())
    yield "peak", ([role.value, most] for role, most in policy.peak_servers.items())
    yield "streams", ([index, lasts_ms] for index, lasts_ms in policy.class_stream_ms.items())
    yield "fetches", ([*key, *_mean_fields(value)] for key, value in policy.fetch_delays.items())
    yield "room", ([tenant, *room] for tenant, room in policy.quota_buckets.items())
    yield "recalled", ([name] for name in policy.readmitted)
    yield (
        "servers",
        (
            [
                name,
                server.entry.started_ms,
                *_mean_fields(server.delay),
                server.stream_ratio_sum,
                server.stream_count,
                server.start_credit,
                server.start_credit_ms,
                server.warming_since_ms,
            ]
            for name, server in servers
        ),
    )
    yield "in_place", ([name, *_mean_fields(server.in_place_delay)] for name, server in servers)
    yield (
        "blame",
        (
            [name, scope, *_mean_fields(mean)]
            for name, server in servers
            for scope, mean in server.failures.items()
        ),
    )
    yield (
        "prefixes",
        (
            [name, f"{prefix:x}", used_ms]
            for name, server in servers
            for prefix, used_ms in server.cached_prefixes.items()
        ),
    )
    yield (
        "homes",
        (
            [f"{session:x}", affinity.server.entry.server, affinity.cached_tokens, affinity.used_ms]
            for session, affinity in policy.affinities.items()
            if session is not None
        ),
    )


def dump(policy: Policy) -> Iterator[dict[str, Any]]:
    """All that it has learned, in parts: a table's name and some of its rows."""
    yield {"pace": [[policy.prefill_ms_per_token, *policy.recent_arrivals]]}
    for name, rows in _tables(policy):
        while part := list(islice(rows, ROWS_PER_PART)):
            yield {name: part}


def load(policy: Policy, part: dict[str, Any]) -> None:
    """Load a part; ValueError, TypeError or KeyError where it can't be read."""
    for name, rows in part.items():
        for row in rows:
            if name in SERVER_TABLES:
                _load_server_row(policy, name, row)
            else:
                _load_row(policy, name, row)


def _load_row(policy: Policy, table: str, row: list[Any]) -> None:
    match table, row:
        case "pace", [pace, arrived, at_ms]:
            policy.prefill_ms_per_token, policy.recent_arrivals = pace, (arrived, at_ms)
        case "work", [role, tokens]:
            policy.mean_work[Role(role)] = tokens
        case "done", [role, at_ms]:
            policy.completions[Role(role)].append(at_ms)
        case "usual", [role, mean, at_ms]:
            policy.usual_delay[Role(role)] = DecayingMean(mean, at_ms)
        case "peak", [role, most]:
            policy.peak_servers[Role(role)] = max(policy.peak_servers[Role(role)], most)
        case "streams", [index, lasts_ms]:
            policy.class_stream_ms[index] = lasts_ms
        case "fetches", [cell, remote, mean, at_ms]:
            policy.fetch_delays[cell, remote] = DecayingMean(mean, at_ms)
        case "room", [tenant, room, at_ms]:
            policy.quota_buckets[tenant] = (room, at_ms)
        case "recalled", [name]:
            policy.readmitted.add(name)
        case "homes", [key, name, cached, at_ms]:
            if name in policy.servers:
                policy.affinities[int(key, 16)] = Affinity(policy.servers[name], cached, at_ms)


def _load_server_row(policy: Policy, table: str, row: list[Any]) -> None:
    match table, row:
        case "servers", [name, started_ms, mean, at_ms, ratio_sum, count, credit, credit_ms, warming_ms]:
            server = policy.servers.get(name)
            if server is not None and server.entry.started_ms == started_ms:
                server.delay = DecayingMean(mean, at_ms)
                server.stream_ratio_sum, server.stream_count = ratio_sum, count
                server.start_credit, server.start_credit_ms = credit, credit_ms
                server.warming_since_ms = warming_ms
        case "in_place", [name, mean, at_ms]:
            _known_server(policy, name).in_place_delay = DecayingMean(mean, at_ms)
        case "blame", [name, scope, mean, at_ms]:
            failures = _known_server(policy, name).failures[scope]
            failures.mean, failures.updated_ms = mean, at_ms
        case "prefixes", [name, key, at_ms]:
            _known_server(policy, name).cached_prefixes[int(key, 16)] = at_ms


def _known_server(policy: Policy, name: str) -> Server:
    """The server of that name; what is told of one that isn't listed goes nowhere."""
    unlisted = ServerEntry(name, 0, 0, 0, Availability.REMOVED)
    return policy.servers.get(name) or Server(unlisted, Role.MIXED)
