"""The lifecycle hooks of a component, which is one subsystem of the program."""

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
    """The lifecycle hooks of one subsystem; each defaults to doing nothing.

    Components start in the order of `composition.COMPONENTS` and stop in the reverse order.
    """

    # Called once at startup, before the endpoint list is known.
    start: Callable[[], object] = _do_nothing
    # Called once when the program begins to serve: the endpoint list is known, or its timeout has passed.
    on_ready: Callable[[], object] = _do_nothing
    # Stops the component gracefully. Components stop one at a time, either while requests drain in a
    # shutdown or as soon as a successor process serves.
    stop: Callable[[], Awaitable[None]] = _stop_immediately
    # Called when the number of processes of this router changes; the processes divide its limits equally.
    on_process_count: Callable[[int], None] = _ignore_process_count
