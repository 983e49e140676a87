"""Leased duties of one member of the fleet: the leases beside its membership, and what it holds, run."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from random import Random

import anyio.abc

from ringledge.decide.fleet import Begin, End
from ringledge.decide.leases import MESSAGES, Leases
from ringledge.decide.membership_table import Change, Restarted
from ringledge.members.duties import Duties
from ringledge.members.duty import Duty
from ringledge.members.duty_settings import DutiesConfig
from ringledge.members.part import MembersPart

KIND = "leases"  # in the codec's table


class Holding:
    """Made before the members' part starts; seeks its duties from `start` on, hands them on by `stop`."""

    def __init__(
        self,
        part: MembersPart,
        settings: DutiesConfig,
        duties: Mapping[str, Duty],
        random: Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock`: the one by which the part ticks its deciders."""
        self._part, self._named, self._clock = part, dict(duties), clock
        me = part.membership.me
        self.leases = Leases(clock(), me.name, me.start, settings.terms(), random, settings.spread())
        self._duties: Duties | None = None
        part.add(KIND, self.leases, MESSAGES)
        part.hooks.duties.append(self._apply)
        part.hooks.changes.append(self._changed)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Seek; returns at once."""
        self._duties = Duties(self._named, self.leases, tasks, self.give_up, self._clock)
        self.leases.alive([self._part.membership.me.name])
        for duty in self._named:
            self.leases.want(self._clock(), duty)
        if self._part.service is not None:
            self._part.service.wake()

    def held(self) -> dict[str, int]:
        """Duties that run here, with their tokens."""
        return self._duties.held() if self._duties is not None else {}

    def give_up(self, duty: str) -> None:
        """Hand it on at once, as when this member is overloaded."""
        if self._part.service is not None:
            self._part.service.act(self.leases.give_up(self._clock(), duty))

    def able(self, able: bool) -> None:
        """Whether this member may take duties on; one that is overloaded follows where nobody else does."""
        self.leases.able(able)

    async def stop(self) -> None:
        """Hand all on, and wait until the last step has let go; before the members' part stops."""
        if self._part.service is not None:
            self._part.service.act(self.leases.stop(self._clock()))
        if self._duties is not None:
            await self._duties.stopped()

    def _apply(self, action: Begin | End) -> None:
        if self._duties is not None:
            self._duties.apply(action)

    def _changed(self, change: Change) -> None:
        if isinstance(change, Restarted):
            self.leases.rise(change.member.start)
        self.leases.alive(each.name for each in self._part.membership.alive())
