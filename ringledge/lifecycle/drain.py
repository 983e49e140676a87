"""Graceful shutdown: every request that was accepted is answered before the process ends."""

from __future__ import annotations

import anyio

from ringledge.lifecycle.context import ProgramContext

# Period after SIGTERM in which clients may still open connections and send requests on open ones.
ACCEPT_AFTER_SHUTDOWN_S = 0.6
# SIGKILL follows SIGTERM after the longest deadline, capped at MAX_DEADLINE_S, plus this grace period.
KILL_GRACE_S = 0.7
MAX_DEADLINE_S = 3.0
# How long before SIGKILL requests that do not stream yet are ended: their clients get a response, and the
# state that servers hold for them is released.
ABANDON_BEFORE_KILL_S = 0.5
POLL_INTERVAL_S = 0.02  # between two checks whether everything is answered


async def drain(context: ProgramContext, accepts_new: bool) -> None:
    """Return once every accepted request is answered.

    With `accepts_new`, requests that arrive within ACCEPT_AFTER_SHUTDOWN_S are served as well. Times count
    from the shutdown request, which may have come long before this call, during the start.
    """
    fronts, conductor = context.fronts, context.conductor
    requested_s = context.shutdown.requested_s
    abandon_at_s = requested_s + _max_deadline_s(context) + KILL_GRACE_S - ABANDON_BEFORE_KILL_S
    if accepts_new:
        await anyio.sleep_until(requested_s + ACCEPT_AFTER_SHUTDOWN_S)
    else:
        fronts.drain()
        await anyio.sleep(POLL_INTERVAL_S)  # lets the fronts accept the connections in the backlog
    while (
        fronts.open_connection_count() or conductor.registry.records or context.upstream.unanswered_releases
    ):
        fronts.drain()
        if anyio.current_time() >= abandon_at_s:
            conductor.shut_down()
        await anyio.sleep(POLL_INTERVAL_S)


def _max_deadline_s(context: ProgramContext) -> float:
    """The longest deadline of any request class, but at most MAX_DEADLINE_S."""
    classes = context.config.settings.classes
    longest_s = max((each.deadline_ms / 1000 for each in classes), default=MAX_DEADLINE_S)
    return min(MAX_DEADLINE_S, longest_s)
