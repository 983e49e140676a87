"""An agent that answers every call, but slowly: its list is had in time all the same."""

from __future__ import annotations

import json
import time

import anyio

from ringledge.routing.interface import (
    MembershipMode,
)
from tests.standins import Call, StandIn
from tests.wire.discovery.test_watcher import listing, watched

SLOW_S = 1.2  # until it begins an answer, however many are asked for beside each other
TOLD_S = 6.0  # what discovery has counts as told then


def answer_late(call: Call) -> bool:
    time.sleep(SLOW_S)  # it is slow: that is the test
    call.begin().chunk(json.dumps(listing(9)) + "\n")
    call.done.wait(TOLD_S)
    return True


def test_a_slow_agent_is_waited_for() -> None:
    agent = StandIn(answer_late)

    async def run() -> None:
        async with watched(agent, MembershipMode.PUSH) as told:
            with anyio.fail_after(TOLD_S):
                await told.has(9)

    try:
        anyio.run(run)
    finally:
        agent.close()
