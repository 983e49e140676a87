"""A router of a fleet of any size, with everything that may make its decisions visit many servers."""

from __future__ import annotations

from dataclasses import replace

from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    OperatorOverride,
    RolePlan,
    RoutingEvent,
    ServerEntry,
    ServerKind,
    UnreachableServers,
)
from ringledge.routing.settings import Role
from tests.router_harness import DECODE_KIND, MIXED_KIND, PREFILL_KIND, RouterHarness

CELL_SIZE, ZONES, ROUTERS = 5, 3, 200
KINDS = (PREFILL_KIND, DECODE_KIND, PREFILL_KIND, DECODE_KIND, MIXED_KIND)
KIND_SETTINGS = (
    ServerKind(Role.PREFILL),
    ServerKind(Role.DECODE, memory_tokens=150_000.0),
    ServerKind(Role.MIXED, memory_tokens=200_000.0),
)


def large_fleet(size: int, started_ms: float = 0.0) -> tuple[ServerEntry, ...]:
    """Entries of `size` servers, in cells of five with all kinds."""
    return tuple(
        ServerEntry(
            f"s{n}", n // CELL_SIZE % ZONES, KINDS[n % 5], n // CELL_SIZE, Availability.UP, 1.0, started_ms
        )
        for n in range(size)
    )


def large_router(size: int) -> RouterHarness:
    """A router that has the list of a fleet and has served some requests."""
    router = RouterHarness(large_fleet(size), routers=ROUTERS, kinds=KIND_SETTINGS)
    for number in range(20):
        router.serve(f"warm{number}", session=number, prefix=number % 4 + 1, prefix_tokens=500)
    return router


def serve_one(router: RouterHarness) -> None:
    """Serve a request of a new session and a new prefix."""
    router.serve("one", session=9_999, prefix=9_999, prefix_tokens=500)


def serve_beside_failures(router: RouterHarness) -> None:
    """Serve a request whose first prefill and first decode fail."""
    router.request("one", session=9_999)
    router.outcome("one", AttemptStatus.CONNECT_FAILED)
    router.outcome("one", AttemptStatus.PREFILLED)
    router.outcome("one", AttemptStatus.CONNECT_FAILED)
    router.first_token("one")
    router.outcome("one", AttemptStatus.OK, request_ended=True)


def _change(entry: ServerEntry) -> EndpointUpdate:
    return EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (entry,))


def changes_of_one_server(router: RouterHarness) -> dict[str, RoutingEvent]:
    """Events that change what is known of one server."""
    entry = large_fleet(CELL_SIZE)[3]
    draining, removed = (replace(entry, availability=each) for each in list(Availability)[1:])
    restarted, new = replace(entry, started_ms=router.now_ms), replace(entry, server="new")
    return {
        "draining": _change(draining),
        "up again": _change(entry),
        "removed": _change(removed),
        "listed again": _change(restarted),
        "new": _change(new),
        "excluded": OperatorOverride("s3", True),
        "readmitted": OperatorOverride("s3", False),
        "unreachable": UnreachableServers(frozenset({"s3"})),
        "planned": RolePlan(no_prefill=frozenset({"s4"})),
        "not planned": RolePlan(),
    }
