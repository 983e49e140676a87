"""Who is there: SWIM (Das, Gupta, Motivala 2002) with suspicion that can be refuted, as events and actions.

Each interval a member probes the next of the others, in an order that it shuffles for each round. One that
does not answer is asked by way of some others, then suspected, then dead. News rides on probes and answers. A
member that hears itself suspected or called dead refutes it by a higher incarnation. Members whose sums over
who is there differ tell each other what they know, and one that is taken for dead is tried now and then: so a
fleet that was cut in two grows together again.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import replace

from ringledge.decide.datagram import START_MOST, checked_name
from ringledge.decide.interface import Action, Member
from ringledge.decide.membership.member_table import (
    Change,
    Died,
    Joined,
    Left,
    Restarted,
    Superseded,
    Suspected,
    Table,
)
from ringledge.decide.membership.messages import (
    MESSAGES,
    Ack,
    Ask,
    Join,
    Look,
    Message,
    News,
    Ping,
    Roster,
    Status,
    Views,
    news_of,
)
from ringledge.decide.membership.outbox import Outbox
from ringledge.decide.membership.probes import EVERYONE, Probes
from ringledge.decide.membership.settings import ProbeConfig

__all__ = ["EVERYONE", "MESSAGES", "Change", "Died", "Joined", "Left", "Membership", "Restarted", "Status",
           "Superseded", "Suspected"]  # fmt: skip

AGAIN = 5  # intervals between tries to reach one who is not there; one interval where nobody is
STALL = 0.5  # intervals that a tick may be late before the member blames itself rather than others
SYNC_PAGES, JOIN_PAGES = 8, 100  # Rosters sent at once: to one who believes otherwise, to one who joins
FAREWELLS = 8  # members that are told when this one leaves
TRIES = 3  # seeds asked at once while nobody is there
GRACE = 2.0  # times the suspicion after its begin that a member takes a higher start for its predecessor's


class Membership:
    """One member's side. Changes are taken from `changes()` after each call; times in s of its own clock.

    `seeds`: names that are asked to let it in. `rng`: draws the order of probes and who is asked.
    """

    def __init__(self, me: Member, seeds: Iterable[str], settings: ProbeConfig, rng: random.Random) -> None:
        checked_name(me.name)
        self._settings, self._rng = settings, rng
        self.silent = False  # it left, or has a successor
        self._seeds = [each for each in dict.fromkeys(seeds) if each != me.name]
        self._table = Table(settings)
        self._outbox = Outbox(me, settings, self._table)
        self._probes = Probes(settings, rng, self._table)
        self._known = False  # somebody addressed it by the start that it has
        self._begin_s = self._due_s = math.inf
        self._again_s = self._sync_s = -math.inf

    @property
    def me(self) -> Member:
        """The member itself; its start number may rise while it joins."""
        return self._outbox.me

    def moved(self, address: str) -> None:
        """Its own address, where it is known only once it listens; before anything is said."""
        self._outbox.me = replace(self.me, address=address)

    def alive(self) -> tuple[Member, ...]:
        """All who count as there, itself too, by name."""
        there = [each.member for each in self._table.peers.values() if each.there()]
        return tuple(sorted([self.me, *there]))

    def members(self) -> dict[str, Status]:
        """What is believed of each name that is known, itself too."""
        mine = Status.LEFT if self.silent else Status.ALIVE
        return {self.me.name: mine, **{name: each.status for name, each in self._table.peers.items()}}

    def last(self, name: str) -> Member | None:
        """The latest member of a name that is known, there or gone."""
        peer = self._table.peers.get(name)
        return self.me if name == self.me.name else peer.member if peer is not None else None

    def there(self, name: str) -> bool:
        """Whether the latest member of a name counts as there."""
        peer = self._table.peers.get(name)
        return name == self.me.name or (peer is not None and peer.there())

    def changes(self) -> list[Change]:
        """What changed since the last call."""
        changes, self._table.changes = self._table.changes, []
        return changes

    def next_s(self) -> float:
        """When the next tick is wanted."""
        if self.silent:
            return math.inf
        self._due_s = min(self._probes.next_s(), self._again_s, self._table.next_s())
        return self._due_s

    def tick(self, now_s: float) -> list[Action]:
        """Probe, ask, give up, and try those who are not there, as it is due."""
        if self.silent:
            return []
        self._begin_s = min(self._begin_s, now_s)
        self._stood_still(now_s)
        outbox, probes, peers = self._outbox, self._probes, self._table.peers
        for peer in self._table.expire(now_s):
            outbox.spread(peer.news())
        if (failed := probes.failed(now_s)) is not None:
            outbox.spread(peers[failed].news())
        actions: list[Action] = []
        if (begun := probes.begin(now_s)) is not None:
            actions.append(outbox.ping(*begun))
        if (late := probes.asks(now_s)) is not None:
            target, nonce, helpers = late
            actions += [outbox.ping(target, nonce), *(outbox.ask(each, nonce, target) for each in helpers)]
        actions += [outbox.ping(name, probes.nonce()) for name in probes.chase(now_s)]
        if now_s >= self._again_s:
            actions += self._try_again(now_s)
        return actions

    def receive(self, now_s: float, sender: str, message: Message) -> list[Action]:
        """Take a message; one under this member's own name is its successor's, or late."""
        if self.silent:
            return []
        if isinstance(message, Look):
            return self._outbox.rosters(sender, JOIN_PAGES)
        outbox, mine = self._outbox, self.me.start
        start, news = message.me.start if isinstance(message, Join) else message.start, news_of(message)
        if sender == self.me.name:
            return self._named(now_s, start, gone=False)
        actions = self._take(now_s, news, isinstance(message, Roster))
        if message.to_start > self.me.start:
            actions += self._named(now_s, message.to_start, gone=False)
        if self.silent:
            return actions
        self._known = self._known or message.to_start == self.me.start
        if start < outbox.start(sender):  # it has a successor, or has to take a higher start
            return [*actions, outbox.roster(sender, self._table.peers[sender].news())]
        self._table.heard(now_s, sender, start)
        match message:
            case Ping():
                actions.append(outbox.ack(sender, message.nonce))
            case Ack():
                if (asked := self._probes.answered(message.nonce)) is not None:
                    actions.append(outbox.ack(*asked))
            case Ask() if message.target in self._table.peers:
                nonce = self._probes.relay(sender, message.nonce)
                actions.append(outbox.ping(message.target, nonce))
            case Join():
                actions += outbox.rosters(sender, JOIN_PAGES)
            case Views():
                differ = outbox.differ(message.sums)
                self._rng.shuffle(differ)  # not all may have room
                actions += outbox.rosters(sender, SYNC_PAGES, differ)
        if message.to_start != mine and not isinstance(message, Join):
            actions.append(outbox.join(sender))
        if isinstance(message, Ping | Ack) and message.view != outbox.view():
            actions += self._sync(now_s, sender)
        return actions

    def leave(self, now_s: float) -> list[Action]:
        """Say goodbye; nothing is said after it."""
        if self.silent:
            return []
        self.silent = True
        told = self._probes.some(FAREWELLS, set())
        return [self._outbox.roster(name, self._outbox.own(Status.LEFT)) for name in told]

    def _stood_still(self, now_s: float) -> None:
        """Blame nobody where the tick is late: what others said meanwhile is unread."""
        late_s, self._due_s = now_s - self._due_s, math.inf
        if STALL * self._settings.interval_s < late_s < math.inf:
            self._probes.void()
            self._table.put_off(late_s)

    def _take(self, now_s: float, news: Iterable[News], listed: bool) -> list[Action]:
        actions: list[Action] = []
        for each in news:
            if each.name == self.me.name:
                actions += self._said(now_s, each)
            elif self._table.merge(now_s, each, listed):
                self._outbox.spread(self._table.peers[each.name].news(), once=listed)
        return actions

    def _said(self, now_s: float, news: News) -> list[Action]:
        """What is said of the member itself."""
        outbox, gone = self._outbox, news.status >= Status.DEAD
        if news.start > self.me.start or (news.start == self.me.start and news.status is Status.LEFT):
            return self._named(now_s, news.start, gone)
        if news.start == self.me.start and news.status:
            outbox.incarnation = max(outbox.incarnation, news.incarnation + 1)
            outbox.spread(outbox.own())  # also what was refuted before: whoever says it has not heard so
        return []

    def _named(self, now_s: float, start: int, gone: bool) -> list[Action]:
        """Its name was used with another start: a predecessor's (a clock stepped back), or a successor's."""
        if start < self.me.start or (start == self.me.start and not gone):
            return []
        grace_s = GRACE * self._settings.suspicion_s(self._table.there + 1)
        young = now_s - min(self._begin_s, now_s) < grace_s
        if self._known and not young and not gone:
            self.silent = True
            self._table.changes.append(Superseded(start))
            return []
        outbox = self._outbox
        outbox.me = replace(self.me, start=min(start + 1, START_MOST))
        outbox.incarnation, self._known = 0, False
        self._table.changes.append(Restarted(self.me))
        outbox.spread(outbox.own())
        return [outbox.join(name) for name in self._probes.some(FAREWELLS, set())]

    def _try_again(self, now_s: float) -> list[Action]:
        """Ask seeds, and those taken for dead, whether they are there."""
        alone, peers = not self._table.there, self._table.peers
        self._again_s = now_s + (1 if alone else AGAIN) * self._settings.interval_s
        away = self._probes.away(self._seeds)
        chosen = self._rng.sample(away, min(TRIES if alone else 1, len(away)))
        outbox, probes = self._outbox, self._probes
        return [outbox.ping(name, probes.nonce()) if name in peers else outbox.join(name) for name in chosen]

    def _sync(self, now_s: float, name: str) -> list[Action]:
        """Show one who believes otherwise in what; it answers with what is known there."""
        if now_s < self._sync_s:
            return []
        self._sync_s = now_s + self._settings.interval_s
        return [self._outbox.views(name)]
