"""An agent that answers every request, but slowly: its list is received in time all the same."""

from __future__ import annotations

import json
import time

import anyio

from ringledge.routing.interface import (
    MembershipMode,
)
from tests.standins import Call, StandIn
from tests.wire.discovery.test_watcher import listing, watching_client

SLOW_S = 1.2  # until a response begins, however many requests are in flight
STALENESS_LIMIT_S = 6.0  # what discovery wait_for_version counts as conductor then


def answer_late(call: Call) -> bool:
    time.sleep(SLOW_S)  # it is slow: that is the test
    call.begin().chunk(json.dumps(listing(9)) + "\n")
    call.done.wait(STALENESS_LIMIT_S)
    return True


def test_list_of_a_slow_agent_is_received() -> None:
    agent = StandIn(answer_late)

    async def run() -> None:
        async with watching_client(agent, MembershipMode.PUSH) as conductor:
            with anyio.fail_after(STALENESS_LIMIT_S):
                await conductor.wait_for_version(9)

    try:
        anyio.run(run)
    finally:
        agent.close()
