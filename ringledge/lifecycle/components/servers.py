"""What is always at work towards servers: timers, the list, connections kept, instances out by hand."""

from __future__ import annotations

from ringledge.lifecycle.shared import Part, Shared


def part(shared: Shared) -> Part:
    """The conductor's own tasks, which last to the end."""
    tasks, upstream, discovery = shared.tasks, shared.upstream, shared.discovery

    def start() -> None:
        tasks.start_soon(shared.conductor.run_timers)
        tasks.start_soon(discovery.watch)
        tasks.start_soon(discovery.fetch_on_request, upstream)
        tasks.start_soon(upstream.close_expired_connections)
        tasks.start_soon(upstream.detect_unresponsive_peers)
        tasks.start_soon(shared.by_hand.follow)

    def share(processes: int) -> None:
        upstream.pool.shrink(shared.fronts.sockets // processes)

    return Part(start=start, share=share)
