"""Duties that one member of the fleet holds at a time, by leases."""

from __future__ import annotations

import random
import time

import anyio

from ringledge.decide.leases.manager import MESSAGES, Leases
from ringledge.decide.leases.recovery import Learning
from ringledge.decide.membership.changes import LocalStartRaised, MembershipChange
from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.shared import Part, Shared
from ringledge.members.clock_adapter import ClockAdapter, now_s
from ringledge.members.duties import Duties
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
    leases = Leases(now_s(), me.name, me.start, told.terms(), random.Random(), told.spread())
    duties = Duties(fleet.duties, leases, shared.tasks, lambda duty: give_up(duty), now_s)

    def give_up(duty: str) -> None:
        if members.service is not None:
            members.service.act(leases.give_up(now_s(), duty))

    def changed(change: MembershipChange) -> None:
        leases.alive(each.name for each in members.membership.active_members())
        if isinstance(change, LocalStartRaised) and members.service is not None:
            # Our wall clock had stepped back: under so low a start no vote may be given and no duty held.
            members.service.act(leases.stop(now_s()))

    def bound() -> None:
        # A predecessor that hands over votes until it lets the address go; what it locked has to run out.
        if leases.voter is not None:
            leases.voter.learning.silent(now_s())

    def ready() -> None:
        for duty in fleet.duties:
            leases.want(now_s(), duty)
        if members.service is not None:
            members.service.wake()

    async def stop() -> None:
        if members.service is not None:
            members.service.act(leases.stop(now_s()))
        await duties.stopped()

    def start() -> None:
        if leases.voter is not None:
            shared.tasks.start_soon(_tell_voting, leases.voter.learning)

    fleet.release_duty = give_up
    members.add_decider("leases", ClockAdapter(leases, now_s, time.monotonic), MESSAGES)
    members.hooks.on_lease_event.append(duties.apply)
    members.hooks.on_membership_change.append(changed)
    members.hooks.on_bound.append(bound)
    return Part(start=start, ready=ready, stop=stop)


async def _tell_voting(learning: Learning) -> None:
    """Say once that this voter votes: until then no other one should be restarted."""
    began_s = time.monotonic()
    while not learning.active:
        await anyio.sleep(LOOK_S)
    log.info("voting", after_s=round(time.monotonic() - began_s, 2))
