"""The list of an agent that answers every request slowly is received in time."""

from __future__ import annotations

import json
import time

import anyio

from ringledge.routing.interface import (
    MembershipMode,
)
from tests.standins import Call, StandIn
from tests.wire.discovery.test_watcher import listing, watching_client

SLOW_S = 1.2  # delay of each response, independent of the number of requests in flight
STALENESS_LIMIT_S = 6.0  # time within which the router must know the list


def answer_late(call: Call) -> bool:
    time.sleep(SLOW_S)  # the slowness under test
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
