"""The component of the conductor's tasks: timers, endpoint list, pooled connections, operator overrides."""

from __future__ import annotations

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext


def create(context: ProgramContext) -> Component:
    """Create the component; its tasks run until the program ends."""
    tasks, upstream, discovery = context.tasks, context.upstream, context.discovery

    def start() -> None:
        tasks.start_soon(context.conductor.run_timers)
        tasks.start_soon(discovery.watch)
        tasks.start_soon(discovery.fetch_on_request, upstream)
        tasks.start_soon(upstream.close_expired_connections)
        tasks.start_soon(upstream.detect_unresponsive_peers)
        tasks.start_soon(context.operator_overrides.watch)

    def on_process_count(processes: int) -> None:
        upstream.pool.set_limit(context.fronts.max_upstream_sockets // processes)

    return Component(start=start, on_process_count=on_process_count)
