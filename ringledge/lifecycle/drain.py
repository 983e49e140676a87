"""Graceful shutdown: every request that was accepted is answered before the process ends."""

from __future__ import annotations

import anyio

from ringledge.lifecycle.context import ProgramContext

# After SIGTERM clients may still open connections, and send on open ones, for so long.
ACCEPT_AFTER_SHUTDOWN_S = 0.6
# SIGKILL comes after the longest deadline, MAX_DEADLINE_S at most, and this grace period.
KILL_GRACE_S = 0.7
MAX_DEADLINE_S = 3.0
# So long before SIGKILL what has not begun is abandoned: its client is answered, and its state released.
ABANDON_BEFORE_KILL_S = 0.5
POLL_INTERVAL_S = 0.02  # how often it is checked whether everything is answered


async def drain(context: ProgramContext, accepts_new: bool) -> None:
    """Return once everything that was accepted is answered.

    `accepts_new`: what still arrives right after the request for shutdown is served, too.
    Times run from that request: a start that was still waiting for the endpoint list may have used up some.
    """
    fronts, conductor = context.fronts, context.conductor
    requested_s = context.shutdown.requested_s
    abandon_at_s = requested_s + _max_deadline_s(context) + KILL_GRACE_S - ABANDON_BEFORE_KILL_S
    if accepts_new:
        await anyio.sleep_until(requested_s + ACCEPT_AFTER_SHUTDOWN_S)
    else:
        fronts.drain()
        await anyio.sleep(POLL_INTERVAL_S)  # the fronts accept what waits in the backlog
    while (
        fronts.open_connection_count() or conductor.registry.records or context.upstream.unanswered_releases
    ):
        fronts.drain()
        if anyio.current_time() >= abandon_at_s:
            conductor.shut_down()
        await anyio.sleep(POLL_INTERVAL_S)


def _max_deadline_s(context: ProgramContext) -> float:
    """The longest deadline of any class that delays SIGKILL."""
    classes = context.config.settings.classes
    longest_s = max((each.deadline_ms / 1000 for each in classes), default=MAX_DEADLINE_S)
    return min(MAX_DEADLINE_S, longest_s)
