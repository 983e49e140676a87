"""Snapshot of a policy's estimates for the successor process, as plain values in several parts.

Table names and row layouts are a data format shared by different versions of the program. The snapshot holds
no requests: the old process finishes those in flight.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Any

from ringledge.routing.affinity import Affinity
from ringledge.routing.endpoints import Availability, ServerEntry
from ringledge.routing.policy import Policy
from ringledge.routing.quotas import ArrivalCount, TokenBucket
from ringledge.routing.settings import Role
from ringledge.routing.state import DecayingMean, FailureScope, Server

ROWS_PER_PART = 200
SERVER_TABLES = ("servers", "in_place", "blame", "prefixes")  # each row begins with a server name


Row = list[Any]


def _mean_fields(mean: DecayingMean) -> list[float]:
    return [mean.mean, mean.updated_ms]


def _tables(policy: Policy) -> Iterator[tuple[str, Iterator[Row]]]:
    """Yield the name and rows of each table. Keys of 64 bits and more are hex strings."""
    yield from _estimate_tables(policy)
    servers = list(policy.fleet.servers.values())
    yield "servers", map(_server_row, servers)
    yield "in_place", ([each.entry.server, *_mean_fields(each.in_place_delay)] for each in servers)
    yield "blame", (row for each in servers for row in _failure_rows(each))
    yield "prefixes", (row for each in servers for row in _prefix_rows(each))
    yield "homes", _affinity_rows(policy)


def _estimate_tables(policy: Policy) -> Iterator[tuple[str, Iterator[Row]]]:
    """Yield the tables that do not belong to single servers."""
    estimates, buckets = policy.estimates, policy.quotas.buckets.items()
    yield "done", ([role.value, at_ms] for role, times in estimates.completions.items() for at_ms in times)
    yield "work", ([role.value, tokens] for role, tokens in estimates.mean_work.items())
    yield "usual", ([role.value, *_mean_fields(value)] for role, value in estimates.usual_delay.items())
    yield "peak", ([role.value, peak] for role, peak in policy.fleet.peak_servers.items())
    yield "streams", ([index, stream_ms] for index, stream_ms in estimates.class_stream_ms.items())
    yield "fetches", ([*key, *_mean_fields(value)] for key, value in estimates.fetch_delays.items())
    yield "room", ([tenant, bucket.tokens, bucket.updated_ms] for tenant, bucket in buckets)
    yield "recalled", ([name] for name in policy.fleet.readmitted)


def _server_row(server: Server) -> Row:
    return [
        server.entry.server,
        server.entry.started_ms,
        *_mean_fields(server.delay),
        server.stream_ratio_sum,
        server.stream_count,
        server.start_credit,
        server.start_credit_ms,
        server.warming_since_ms,
    ]


def _failure_rows(server: Server) -> Iterator[Row]:
    name = server.entry.server
    return ([name, str(scope), *_mean_fields(mean)] for scope, mean in server.failures.items())


def _prefix_rows(server: Server) -> Iterator[Row]:
    name = server.entry.server
    return ([name, f"{prefix:x}", used_ms] for prefix, used_ms in server.cached_prefixes.items())


def _affinity_rows(policy: Policy) -> Iterator[Row]:
    for session, affinity in policy.affinities.by_session.items():
        if session is not None:
            name = affinity.server.entry.server
            yield [f"{session:x}", name, affinity.cached_tokens, affinity.used_ms]


def dump(policy: Policy) -> Iterator[dict[str, Any]]:
    """Yield all estimates in parts, each with a table name and at most `ROWS_PER_PART` of its rows."""
    arrivals = policy.quotas.recent_arrivals
    yield {"pace": [[policy.estimates.prefill_ms_per_token, arrivals.requests, arrivals.updated_ms]]}
    for name, rows in _tables(policy):
        while part := list(islice(rows, ROWS_PER_PART)):
            yield {name: part}


def load(policy: Policy, part: dict[str, Any]) -> None:
    """Load one part. Raises ValueError, TypeError or KeyError if it is malformed."""
    for name, rows in part.items():
        for row in rows:
            if name in SERVER_TABLES:
                _load_server_row(policy, name, row)
            else:
                _load_row(policy, name, row)


def _load_row(policy: Policy, table: str, row: Row) -> None:
    estimates = policy.estimates
    match table, row:
        case "pace", [ms_per_token, requests, updated_ms]:
            estimates.prefill_ms_per_token = ms_per_token
            policy.quotas.recent_arrivals = ArrivalCount(requests, updated_ms)
        case "work", [role, tokens]:
            estimates.mean_work[Role(role)] = tokens
        case "done", [role, updated_ms]:
            estimates.completions[Role(role)].append(updated_ms)
        case "usual", [role, mean, updated_ms]:
            estimates.usual_delay[Role(role)] = DecayingMean(mean, updated_ms)
        case "peak", [role, peak]:
            peaks = policy.fleet.peak_servers
            peaks[Role(role)] = max(peaks[Role(role)], peak)
        case "streams", [index, stream_ms]:
            estimates.class_stream_ms[index] = stream_ms
        case "fetches", [cell, remote, mean, updated_ms]:
            estimates.fetch_delays[cell, remote] = DecayingMean(mean, updated_ms)
        case "room", [tenant, tokens, updated_ms]:
            policy.quotas.buckets[tenant] = TokenBucket(tokens, updated_ms)
        case "recalled", [name]:
            policy.fleet.readmitted.add(name)
        case "homes", [key, name, cached, updated_ms]:
            servers = policy.fleet.servers
            if name in servers:
                policy.affinities.by_session[int(key, 16)] = Affinity(servers[name], cached, updated_ms)


def _load_server_row(policy: Policy, table: str, row: Row) -> None:
    match table, row:
        case "servers", [name, started_ms, mean, updated_ms, ratio_sum, count, credit, credit_ms, warming_ms]:
            server = policy.fleet.servers.get(name)
            if server is not None and server.entry.started_ms == started_ms:
                server.delay = DecayingMean(mean, updated_ms)
                server.stream_ratio_sum = ratio_sum
                server.stream_count = count
                server.start_credit = credit
                server.start_credit_ms = credit_ms
                server.warming_since_ms = warming_ms
                policy.fleet.place(server, policy.clock.now_ms)
        case "in_place", [name, mean, updated_ms]:
            _known_server(policy, name).in_place_delay = DecayingMean(mean, updated_ms)
        case "blame", [name, scope, mean, updated_ms]:
            failures = _known_server(policy, name).failures[FailureScope(scope)]
            failures.mean, failures.updated_ms = mean, updated_ms
        case "prefixes", [name, key, updated_ms]:
            policy.affinities.record_prefix(_known_server(policy, name), int(key, 16), updated_ms)


def _known_server(policy: Policy, name: str) -> Server:
    """Return the listed server of that name, or an unregistered one that discards the row."""
    unlisted = ServerEntry(name, 0, 0, 0, Availability.REMOVED)
    return policy.fleet.servers.get(name) or Server(unlisted, Role.MIXED)
