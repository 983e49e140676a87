"""The end of a conductor's service: all that was taken is answered before the process goes."""

from __future__ import annotations

import anyio

from ringledge.lifecycle.shared import Shared

KEEP_TAKING_S = 0.6  # after SIGTERM new connections go on arriving so long, and on kept ones too
END_S, LONGEST_S = 0.7, 3.0  # SIGKILL comes after the longest deadline (at most so long) and END_S
LAST_CALL_S = 0.5  # before it, what has not begun is given up: its client is told, and its state let go
LOOK_S = 0.02  # how often it is looked whether all is done


async def drain(shared: Shared, takes: bool) -> None:
    """Return once all that was taken is answered; `takes`: what still comes at first is served.

    Times run from the signal: a start that still waited for the list may have passed some of it.
    """
    classes = shared.config.settings.classes
    longest_s = max((each.deadline_ms / 1000 for each in classes), default=LONGEST_S)
    asked_s = shared.stop_asked_s
    last_call = asked_s + min(LONGEST_S, longest_s) + END_S - LAST_CALL_S
    if takes:
        await anyio.sleep_until(asked_s + KEEP_TAKING_S)
    else:
        shared.fronts.drain()
        await anyio.sleep(LOOK_S)  # the fronts take who waits in the backlog
    while (
        shared.fronts.open_count() or shared.conductor.registry.records or shared.upstream.unanswered_releases
    ):
        shared.fronts.drain()
        if anyio.current_time() >= last_call:
            shared.conductor.shut_down()
        await anyio.sleep(LOOK_S)
