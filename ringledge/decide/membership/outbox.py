"""The messages that one member sends of itself and others, with the news piggybacked on them."""

from __future__ import annotations

import operator
from functools import reduce

from ringledge.decide.interface import Action, Member, SendMessage
from ringledge.decide.membership.gossip import Gossip
from ringledge.decide.membership.member_table import Table, mark
from ringledge.decide.membership.messages import (
    NEWS_BYTES,
    Ack,
    Ask,
    Join,
    News,
    Ping,
    Roster,
    Status,
    Views,
)
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.paging import bucket, pages

GONE_TOLD = 32  # of those who are gone, the latest, in Rosters


class Outbox:
    """The messages of the member `me`, by its table."""

    def __init__(self, me: Member, settings: ProbeConfig, table: Table) -> None:
        self.me, self._settings, self._table = me, settings, table
        self.incarnation = 0
        self._gossip = Gossip()

    def start(self, name: str) -> int:
        """The latest start that is known of a name; 0: none."""
        peer = self._table.peers.get(name)
        return 0 if peer is None else peer.member.start

    def view(self) -> int:
        """One sum over all who are there, itself too."""
        return reduce(operator.xor, self.sums())

    def sums(self) -> list[int]:
        """The same by bucket."""
        sums = self._table.sums.copy()
        sums[bucket(self.me.name)] ^= mark(self.me)
        return sums

    def differ(self, sums: tuple[int, ...]) -> list[int]:
        """The buckets in which another believes otherwise."""
        return [at for at, (mine, theirs) in enumerate(zip(self.sums(), sums, strict=True)) if mine != theirs]

    def own(self, status: Status = Status.ALIVE) -> News:
        """What it says of itself."""
        me = self.me
        return News(me.name, me.start, self.incarnation, status, me.address, me.site)

    def spread(self, news: News, once: bool = False) -> None:
        """Pass it on from now on."""
        self._gossip.add(news, 1 if once else self._settings.times(self._table.there + 1))

    def quiet(self) -> bool:
        """Whether there is nothing to pass on."""
        return self._gossip.quiet()

    def ping(self, name: str, nonce: int) -> SendMessage:
        """Ask a member whether it is there."""
        return SendMessage(name, Ping(self.me.start, self.start(name), nonce, self.view(), self._news(name)))

    def ack(self, name: str, nonce: int) -> SendMessage:
        """Answer a member's ping, or tell it that another one answered."""
        return SendMessage(name, Ack(self.me.start, self.start(name), nonce, self.view(), self._news(name)))

    def ask(self, name: str, nonce: int, target: str) -> SendMessage:
        """Have a member ping another."""
        return SendMessage(name, Ask(self.me.start, self.start(name), nonce, target))

    def join(self, name: str) -> SendMessage:
        """Say who this member is."""
        return SendMessage(name, Join(self.start(name), self.own()))

    def roster(self, name: str, *news: News) -> SendMessage:
        """Tell a member a few things at once."""
        return SendMessage(name, Roster(self.me.start, self.start(name), news))

    def views(self, name: str) -> SendMessage:
        """Show a member what is believed here of who is there."""
        return SendMessage(name, Views(self.me.start, self.start(name), tuple(self.sums())))

    def rosters(self, name: str, most: int, buckets: list[int] | None = None) -> list[Action]:
        """Tell a member what is known here, of all or in the order of some buckets: its own row first."""
        peers = self._table.peers
        there = [each.news() for each in peers.values() if each.there()]
        gone = [each.news() for each in peers.values() if not each.there()][-GONE_TOLD:]
        rows = [row for row in there + gone if row.name != name]
        if buckets is not None:
            rows = [row for at in buckets for row in rows if bucket(row.name) == at]
        first = [self.own()] + ([peers[name].news()] if name in peers else [])
        return [self.roster(name, *page) for page in pages(first + rows, NEWS_BYTES)[:most]]

    def _news(self, to: str) -> tuple[News, ...]:
        """What goes along to a member: first what it has to refute, if it is suspected or dead."""
        peer = self._table.peers.get(to)
        doubted = peer is not None and peer.status is not Status.ALIVE
        return self._gossip.take(NEWS_BYTES, to, peer.news() if peer is not None and doubted else None)
