"""A component of the program: one subsystem, described by its lifecycle hooks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


def _do_nothing() -> None:
    pass


def _ignore_process_count(processes: int) -> None:
    pass


async def _stop_immediately() -> None:
    pass


@dataclass(frozen=True, slots=True, eq=False)
class Component:
    """The lifecycle hooks of one subsystem; a hook that is not given does nothing.

    Components are started in the order of `composition.COMPONENTS` and stopped in the reverse order.
    """

    # Called once at the start, before the endpoint list is known.
    start: Callable[[], object] = _do_nothing
    # Called once when the endpoint list is known, or its timeout has passed: the program begins to serve.
    on_ready: Callable[[], object] = _do_nothing
    # Shuts down gracefully. Components are stopped one at a time while requests drain, and also when a
    # successor process serves.
    stop: Callable[[], Awaitable[None]] = _stop_immediately
    # Called with the number of processes of this conductor among which limits are divided, on each change.
    on_process_count: Callable[[int], None] = _ignore_process_count
