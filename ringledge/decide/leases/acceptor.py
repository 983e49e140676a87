"""One voter: for whom each duty is locked and the highest token taken, all in memory.

What is safe rests on `_take` alone. A duty is locked for one member until the lock runs out; any two
majorities share a voter, so no two holders overlap. Who doesn't hold it yet needs a token above the highest
taken or learned, so each is above those begun before. An Ask only reads, and keeps the duty for the asker for
a moment, so that seekers don't split the votes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ringledge.decide.interface import Action, SendMessage
from ringledge.decide.leases.messages import (
    MOST_NAME,
    Ask,
    Freed,
    Known,
    Learn,
    LeaseTerms,
    Promise,
    Refused,
    Release,
    Take,
    Taken,
)
from ringledge.decide.leases.recovery import Learning

RESERVED_S = 0.25  # kept for who asked: an answer there and a Take back, with one of them sent again
MOST_WAITING = 8  # seekers told when a duty becomes free; others ask again by themselves
MOST_DUTIES = 256  # remembered one by one; more are remembered together, by their highest token

Who = tuple[str, int]  # a member's name and start
NOBODY: Who = ("", 0)


@dataclass(slots=True)
class Vote:
    """One duty as this voter knows it."""

    top: int = 0  # the highest token taken
    holder: Who = NOBODY  # for whom it is or was locked last; NOBODY once it was ended
    token: int = 0  # under which
    locked_until_s: float = float("-inf")
    ended: tuple[Who, int] = (NOBODY, 0)  # the last Release
    kept_for: Who = NOBODY
    kept_until_s: float = float("-inf")
    waiting: dict[str, None] = field(default_factory=dict)  # seekers refused, latest last


class LeaseAcceptor:
    """Hears seekers and other voters; a voter that started is silent, then learns, then votes."""

    def __init__(self, now_s: float, name: str, start: int, terms: LeaseTerms) -> None:
        self._terms = terms
        self.learning = Learning(now_s, name, start, terms)
        self._votes: dict[str, Vote] = {}
        self.misfits = 0  # messages of other terms: settings differ somewhere

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Take a message to voters."""
        if isinstance(message, Ask | Take | Learn | Known) and message.terms != self._terms.digest:
            self.misfits += 1
            return []
        if isinstance(message, Learn | Known):
            tops = (vote.top for vote in self._votes.values())
            return self.learning.receive(now_s, sender, message, max(tops, default=0))
        if not self.learning.active or len(message.duty.encode()) > MOST_NAME:
            return []
        if isinstance(message, Ask):
            return [SendMessage(sender, self._ask(now_s, sender, message))]
        if isinstance(message, Take):
            return [SendMessage(sender, self._take(now_s, sender, message))]
        return self._release(now_s, sender, message) if isinstance(message, Release) else []

    def tick(self, now_s: float) -> list[Action]:
        """Learn, where that is due."""
        return self.learning.tick(now_s)

    def next_s(self) -> float:
        """When the next call of `tick` is wanted."""
        return self.learning.next_s()

    def _vote(self, now_s: float, duty: str) -> Vote:
        """The duty's vote; for a new one beyond the most, what isn't locked is remembered as a whole."""
        vote = self._votes.get(duty)
        if vote is None:
            if len(self._votes) >= MOST_DUTIES:
                for name, old in [*self._votes.items()]:
                    if now_s >= max(old.locked_until_s, old.kept_until_s):
                        self.learning.base = max(self.learning.base, old.top)
                        del self._votes[name]
            vote = self._votes[duty] = Vote()
        return vote

    def _top(self, vote: Vote) -> int:
        return max(self.learning.base, vote.top)

    def _refuse(self, now_s: float, vote: Vote, who: Who, message: Ask | Take) -> Refused | None:
        """Why not, where the duty is locked or kept for another."""
        if now_s < vote.locked_until_s and vote.holder != who:
            holder, until_s = vote.holder[0], vote.locked_until_s
            vote.waiting.pop(who[0], None)
            vote.waiting[who[0]] = None
            if len(vote.waiting) > MOST_WAITING:
                del vote.waiting[next(iter(vote.waiting))]
        elif now_s < vote.kept_until_s and vote.kept_for != who and not _goes_first(message):
            holder, until_s = vote.kept_for[0], vote.kept_until_s
        else:
            return None
        left_ms = int((until_s - now_s) * 1000) + 1
        return self._refused(vote, message, holder, left_ms)

    def _refused(self, vote: Vote, message: Ask | Take, holder: str, left_ms: int) -> Refused:
        ask, token = (message.ask, 0) if isinstance(message, Ask) else (0, message.token)
        return Refused(message.duty, message.start, ask, token, self._top(vote), holder, left_ms)

    def _ask(self, now_s: float, sender: str, message: Ask) -> Promise | Refused:
        vote, who = self._vote(now_s, message.duty), (sender, message.start)
        if refused := self._refuse(now_s, vote, who, message):
            return refused
        vote.kept_for, vote.kept_until_s = who, now_s + RESERVED_S
        return Promise(message.duty, message.start, message.ask, self._top(vote))

    def _take(self, now_s: float, sender: str, message: Take) -> Taken | Refused:
        """Lock it, or go on locking it.

        A holder that is well as it sends goes on under its token wherever no other has the lock: at a voter
        that started since, or that took a higher token from one who gave up. Where it comes so late that
        another has begun since, the sender is no holder any more and counts no answer; it locks for a lease.
        """
        vote, who = self._vote(now_s, message.duty), (sender, message.start)
        if refused := self._refuse(now_s, vote, who, message):
            return refused
        again = vote.holder == who and vote.token == message.token
        too_low = not (message.held or again) and message.token <= self._top(vote)
        over = vote.ended[0] == who and message.token <= vote.ended[1]
        if too_low or over or not 0 < message.lease_ms <= self._terms.longest_s * 1000:
            return self._refused(vote, message, "", 0)
        vote.top, vote.token, vote.holder = max(vote.top, message.token), message.token, who
        vote.kept_for, vote.kept_until_s = NOBODY, float("-inf")
        vote.locked_until_s = max(vote.locked_until_s, now_s + self._terms.locked_s(message.lease_ms))
        return Taken(message.duty, message.start, message.token, message.round)

    def _release(self, now_s: float, sender: str, message: Release) -> list[Action]:
        """Unlock it, and remember the token as ended: a Take of it that comes late locks nothing."""
        vote, who = self._vote(now_s, message.duty), (sender, message.start)
        if vote.kept_for == who:
            vote.kept_for, vote.kept_until_s = NOBODY, float("-inf")
        if message.token >= max(vote.token, vote.ended[1]):
            vote.ended = (who, message.token)
        if vote.holder != who or message.token < vote.token:
            return []
        vote.holder, vote.locked_until_s = NOBODY, float("-inf")
        waiting, vote.waiting = [*vote.waiting], {}
        return [
            SendMessage(each, Freed(message.duty, message.token, False)) for each in waiting if each != sender
        ]


def _goes_first(message: Ask | Take) -> bool:
    """Whether it is the holder's or its follower's, for whom others' questions are no hindrance."""
    return message.follow if isinstance(message, Ask) else message.held
