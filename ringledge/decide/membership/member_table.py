"""What one member believes of the others, and how news changes it.

A newer start of a name takes the place of an older one at once, and an older one never comes back. Within a
start the higher incarnation counts, then the graver status. What one's own ears heard lately weighs more than
a death told by others: that makes a suspect, which has its time to refute.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

from ringledge.decide.interface import Member
from ringledge.decide.membership.messages import News, Status
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.paging import BUCKETS, bucket

GONE_MOST = 1024  # names of dead and departed members that are remembered, so that none is revived


@dataclass(frozen=True, slots=True)
class Joined:
    """A member is there, for the first time or again."""

    member: Member


@dataclass(frozen=True, slots=True)
class Left:
    """A member said that it goes."""

    member: Member


@dataclass(frozen=True, slots=True)
class Died:
    """A member is taken for dead."""

    member: Member
    why: str  # "silent", "superseded"


@dataclass(frozen=True, slots=True)
class Suspected:
    """A member did not answer and has some time to refute it; it still counts as there."""

    member: Member


@dataclass(frozen=True, slots=True)
class Restarted:
    """The member itself goes on under a higher start, since a predecessor of its name had a higher one."""

    member: Member


@dataclass(frozen=True, slots=True)
class Superseded:
    """A successor has begun under this member's name; this one says nothing more."""

    start: int


Change = Joined | Left | Died | Suspected | Restarted | Superseded


@dataclass(slots=True)
class Peer:
    """One other member."""

    member: Member
    incarnation: int
    status: Status
    until_s: float = math.inf  # when a suspect is dead
    heard_s: float = -math.inf  # when it was heard by this member's own ears

    def there(self) -> bool:
        """Whether it counts as there."""
        return self.status <= Status.SUSPECT

    def news(self) -> News:
        """What is told of it; who is gone needs no address."""
        member = self.member
        if self.there():
            return News(member.name, member.start, self.incarnation, self.status, member.address, member.site)
        return News(member.name, member.start, self.incarnation, self.status)


def mark(member: Member) -> int:
    """A member's part in the sum over who is there, 32 bits."""
    return zlib.crc32(f"{member.name}/{member.start}".encode())


class Table:
    """All others by name, who is there, and what changed."""

    def __init__(self, settings: ProbeConfig) -> None:
        self.peers: dict[str, Peer] = {}
        self.changes: list[Change] = []
        self.sums = [0] * BUCKETS  # over the others who are there
        self.there = 0  # how many they are
        self._settings = settings
        self._suspects: set[str] = set()

    def merge(self, now_s: float, news: News, listed: bool) -> bool:
        """Take one piece of news of another member; whether it was new.

        `listed`: it is from a list of all that somebody knows; a death in it may be old and makes a suspect.
        """
        peer = self.peers.get(news.name)
        if peer is None or news.start > peer.member.start:
            return self._first(now_s, peer, news)
        if news.start < peer.member.start:
            return False
        status = news.status
        if status is Status.DEAD and peer.there() and (listed or self._heard_lately(now_s, peer)):
            status = Status.SUSPECT
        if (news.incarnation, status) <= (peer.incarnation, peer.status) or peer.status is Status.LEFT:
            return False
        if status <= Status.SUSPECT and news.address:  # a list may have told of its death alone
            peer.member = Member(news.name, news.start, news.address, news.site)
        if status <= Status.SUSPECT and not peer.member.address:
            return False
        peer.incarnation = news.incarnation
        self._turn(now_s, peer, status)
        return True

    def suspect(self, now_s: float, name: str) -> bool:
        """Its answer is missing; whether it is a suspect by that."""
        peer = self.peers.get(name)
        if peer is None or peer.status is not Status.ALIVE:
            return False
        self._turn(now_s, peer, Status.SUSPECT)
        return True

    def expire(self, now_s: float) -> list[Peer]:
        """Suspects whose time is up are dead from now on."""
        dead = [each for each in self.suspects() if each.until_s <= now_s]
        for peer in dead:
            self._turn(now_s, peer, Status.DEAD)
        return dead

    def next_s(self) -> float:
        """When the next suspect's time is up."""
        return min((each.until_s for each in self.suspects()), default=math.inf)

    def doubts(self) -> bool:
        """Whether there is any suspect."""
        return bool(self._suspects)

    def suspects(self) -> list[Peer]:
        """Those whose answer is missing, by name."""
        return [self.peers[name] for name in sorted(self._suspects)]

    def put_off(self, by_s: float) -> None:
        """Give suspects more time: this member stood still and could not hear them."""
        for peer in self.suspects():
            peer.until_s += by_s

    def heard(self, now_s: float, name: str, start: int) -> None:
        """It was heard by this member's own ears."""
        peer = self.peers.get(name)
        if peer is not None and peer.member.start == start:
            peer.heard_s = now_s

    def _heard_lately(self, now_s: float, peer: Peer) -> bool:
        return now_s - peer.heard_s < self._settings.suspicion_s(self.there + 1)

    def _first(self, now_s: float, older: Peer | None, news: News) -> bool:
        """News of a start that was not known."""
        if news.status <= Status.SUSPECT and not news.address:
            return False
        if older is not None and older.there():
            self._away(older)
            self.changes.append(Died(older.member, "superseded"))
        member = Member(news.name, news.start, news.address, news.site)
        self.peers.pop(news.name, None)  # so that the order is by age
        self._suspects.discard(news.name)
        peer = self.peers[news.name] = Peer(member, news.incarnation, news.status)
        if peer.there():
            self._come(peer)
            if peer.status is Status.SUSPECT:
                self._doubt(now_s, peer)
        else:
            self._forget()
        return True

    def _turn(self, now_s: float, peer: Peer, status: Status) -> None:
        """Change what is believed of a peer of the same start."""
        was_there, peer.status = peer.there(), status
        self._suspects.discard(peer.member.name)
        if not was_there and peer.there():
            self._come(peer)
        if status is Status.SUSPECT:
            self._doubt(now_s, peer)
        if was_there and not peer.there():
            self._away(peer)
            gone = Left(peer.member) if status is Status.LEFT else Died(peer.member, "silent")
            self.changes.append(gone)
            self._forget()

    def _doubt(self, now_s: float, peer: Peer) -> None:
        peer.until_s = now_s + self._settings.suspicion_s(self.there + 1)
        self._suspects.add(peer.member.name)
        self.changes.append(Suspected(peer.member))

    def _come(self, peer: Peer) -> None:
        self.sums[bucket(peer.member.name)] ^= mark(peer.member)
        self.there += 1
        self.changes.append(Joined(peer.member))

    def _away(self, peer: Peer) -> None:
        self.sums[bucket(peer.member.name)] ^= mark(peer.member)
        self.there -= 1

    def _forget(self) -> None:
        """Let go of the names that have been known longest among too many that are gone."""
        gone = [name for name, peer in self.peers.items() if not peer.there()]
        for name in gone[: max(0, len(gone) - GONE_MOST)]:
            del self.peers[name]
