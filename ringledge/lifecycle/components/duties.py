"""Duties that one member of the fleet holds at a time, by leases."""

from __future__ import annotations

import random
import time

import anyio

from ringledge.decide.leases.manager import MESSAGES, LeaseManager
from ringledge.decide.leases.recovery import AcceptorRecovery
from ringledge.decide.membership.swim import Change, Restarted
from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.shared import Part, Shared
from ringledge.members.clock_adapter import ClockAdapter, boottime_s
from ringledge.members.duty_runner import DutyRunner
from ringledge.members.duty_settings import DutiesConfig
from ringledge.observe.logging import log

LOOK_S = 0.05  # how often it is looked whether a voter that started votes


def part(shared: Shared) -> Part:
    """Vote, and seek all duties that the parts before this one offer, once the list is known."""
    fleet, told = shared.fleet, shared.config.extra(DutiesConfig)
    if fleet is None:
        raise ConfigError("duties.toml: members.toml has to be enabled, too")
    members = fleet.members
    me = members.membership.me
    leases = LeaseManager(
        boottime_s(), me.name, me.start, told.terms(), random.Random(), told.acquisition_delays()
    )
    duties = DutyRunner(fleet.duties, leases, shared.tasks, lambda duty: give_up(duty), boottime_s)

    def give_up(duty: str) -> None:
        if members.service is not None:
            members.service.act(leases.release(boottime_s(), duty))

    def changed(change: Change) -> None:
        leases.set_live_members(each.name for each in members.membership.alive())
        if isinstance(change, Restarted) and members.service is not None:
            # Our wall clock had stepped back: under so low a start no vote may be given and no duty held.
            members.service.act(leases.stop(boottime_s()))

    def bound() -> None:
        # A predecessor that hands over votes until it lets the address go; what it locked has to run out.
        if leases.acceptor is not None:
            leases.acceptor.recovery.restart_silence(boottime_s())

    def ready() -> None:
        for duty in fleet.duties:
            leases.start_seeking(boottime_s(), duty)
        if members.service is not None:
            members.service.wake()

    async def stop() -> None:
        if members.service is not None:
            members.service.act(leases.stop(boottime_s()))
        await duties.stop_all()

    def start() -> None:
        if leases.acceptor is not None:
            shared.tasks.start_soon(_tell_voting, leases.acceptor.recovery)

    fleet.give_up = give_up
    members.add("leases", ClockAdapter(leases, boottime_s, time.monotonic), MESSAGES)
    members.hooks.duties.append(duties.apply)
    members.hooks.changes.append(changed)
    members.hooks.bound.append(bound)
    return Part(start=start, ready=ready, stop=stop)


async def _tell_voting(recovery: AcceptorRecovery) -> None:
    """Say once that this voter votes: until then no other one should be restarted."""
    began_s = time.monotonic()
    while not recovery.active:
        await anyio.sleep(LOOK_S)
    log.info("voting", after_s=round(time.monotonic() - began_s, 2))
