"""One duty as a member wants and holds it: rest, ask, take, hold, end.

A voter that answered a Take locks the duty for a lease at least, from when it heard that Take, so from when
this member sent it. The duty is held until that has run out at so many voters that no majority is left, by
this member's own clock, shortened by the bound on rates. An answer counts for the Take that it names.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from random import Random
from typing import Any

import msgspec

from ringledge.decide.interface import Action, LeaseAcquired, LeaseEnded, SendMessage
from ringledge.decide.leases.messages import (
    Ask,
    Freed,
    LeaseTerms,
    Promise,
    Refused,
    Release,
    Take,
    Taken,
)

RESEND_S = (0.1, 0.2)  # to voters that haven't answered: above a way there and back (2 times 27 ms)
GIVE_UP_S = 0.6  # a question or a try to take: four times sent; at half lost, nine voters of ten were heard
EXTEND = 0.25  # of the lease after which the holder goes on: several rounds may be lost whole
RETRY_S = (0.05, 0.3)  # after a try that failed: apart from others who failed at the same time
RETRY_TIMES = (1, 2, 4)  # longer after more that failed in a row: no majority is there
FREED_S = (
    0.05,
    0.08,
)  # after a duty became free: behind the one who was named to follow, apart from the rest
AGAIN_S = 0.2  # most beyond the end of what a voter refused for: apart from others who wait for the same
SAY_AGAIN = 3  # times that a Release is sent
SAY_AGAIN_S = 0.05
ROUNDS = 40  # of Takes remembered: more than fit into a lease


class Phase(Enum):
    """What the member does about the duty."""

    REST = auto()  # until `due_s`
    ASK = auto()
    TAKE = auto()
    HOLD = auto()


class LeaseProposer:
    """What it asks for, and until when it holds; `hear` and `tick` give the actions."""

    def __init__(self, duty: str, name: str, start: int, terms: LeaseTerms, random: Random) -> None:
        self.duty, self._name, self._start, self._terms, self._random = duty, name, start, terms, random
        self.phase = Phase.REST
        self.due_s = 0.0  # when it asks next, while it rests; what spreads duties comes on top
        self.freed = False  # the duty ended in good order, others heard it too
        self.hinted = False  # and this member was named to follow
        self.token = 0  # under which it holds, or held last
        self._top = 0  # the highest known
        self.until_s = float("-inf")
        self.holder = ""  # who held it last, as voters told; "": nobody
        self._ask = self._round = 0
        self._sent_s: dict[int, float] = {}  # by round
        self._taken_s: dict[str, float] = {}  # by voter: when the latest Take that it granted was sent
        self._full_s = 0.0  # when Takes were last sent to all
        self._promised: dict[str, int] = {}  # highest token, by voter
        self._refused: dict[str, float] = {}  # until when, by voter
        self._resend_s = self._give_up_s = self._extend_s = 0.0
        self._release: Release | None = None
        self._says, self._say_s = 0, 0.0
        self._misses = 0  # tries in a row

    def token_at(self, now_s: float) -> int | None:
        """The token, where it is held at this moment."""
        return self.token if self.phase is Phase.HOLD and now_s < self.until_s else None

    def next_s(self, extra_s: float) -> float:
        """When the next call of `tick` is wanted."""
        say_s = self._say_s if self._says else float("inf")
        if self.phase is Phase.REST:
            return min(say_s, self.due_s + extra_s)
        if self.phase is Phase.HOLD:
            return min(self.until_s, self._extend_s, self._resend_s)
        return min(say_s, self._resend_s, self._give_up_s)

    def tick(self, now_s: float, extra_s: float) -> list[Action]:
        """Do what is due; `extra_s` after `due_s` it seeks (endless: not at all)."""
        out = self._expire(now_s)
        if self._says and now_s >= self._say_s and self._release:
            out += self._to_voters(self._release)
            self._says, self._say_s = self._says - 1, now_s + SAY_AGAIN_S
        if self.phase is Phase.REST and now_s >= self.due_s + extra_s:
            return out + self._begin_ask(now_s)
        if self.phase in (Phase.ASK, Phase.TAKE) and now_s >= self._give_up_s:
            return out + self._retry(now_s)
        if self.phase is Phase.HOLD and now_s >= self._extend_s:
            return out + self._send_full(now_s)
        if self.phase is not Phase.REST and now_s >= self._resend_s:
            self._resend_s = now_s + self._random.uniform(*RESEND_S)
            if self.phase is Phase.ASK:
                return out + [SendMessage(each, self._question()) for each in self._unanswered(now_s)]
            missing = [each for each in self._terms.voters if self._taken_s.get(each, -1e9) < self._full_s]
            if len(missing) > len(self._terms.voters) - self._terms.majority:
                return out + self._send_round(now_s, missing)
            self._resend_s = self._extend_s
        return out

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Take a message to seekers; from voters, but for Freed."""
        out = self._expire(now_s)
        if isinstance(message, Freed):
            return out + self._freed(now_s, sender, message)
        if sender not in self._terms.voters or message.start != self._start:
            return out
        if isinstance(message, Promise):
            if self.phase is Phase.ASK and message.ask == self._ask:
                self._promised[sender] = message.top
                self._top = max(self._top, message.top)
                self._refused.pop(sender, None)
                if len(self._promised) >= self._terms.majority:
                    self.phase, self._top = Phase.TAKE, self._top + 1
                    self.token = self._top
                    self._refused.clear()
                    self._give_up_s = now_s + GIVE_UP_S
                    out += self._send_full(now_s)
        elif isinstance(message, Taken):
            out += self._taken(now_s, sender, message)
        elif isinstance(message, Refused):
            out += self._is_refused(now_s, sender, message)
        return out

    def end(self, now_s: float, why: str, rest_s: float) -> list[Action]:
        """Hold or try no longer, say so, and don't seek for a time."""
        ended: list[Action] = []
        if self.phase is Phase.HOLD:
            ended.append(LeaseEnded(self.duty, self.token, why))
        if self.phase in (Phase.TAKE, Phase.HOLD):
            self._release = Release(self.duty, self._start, self.token)
            self._says, self._say_s = SAY_AGAIN - 1, now_s + SAY_AGAIN_S
            ended += self._to_voters(self._release)
        self._rest(now_s + rest_s)
        return ended

    def _rest(self, due_s: float) -> None:
        self.phase, self.due_s, self.until_s = Phase.REST, due_s, float("-inf")
        self.freed = self.hinted = False
        self._sent_s.clear()
        self._taken_s.clear()

    def _expire(self, now_s: float) -> list[Action]:
        """End what ran out, before anything else is done: the process may have stood still."""
        if self.phase is not Phase.HOLD or now_s < self.until_s:
            return []
        return self.end(now_s, "expired", self._random.uniform(*RETRY_S))

    def _retry(self, now_s: float) -> list[Action]:
        times = RETRY_TIMES[min(self._misses, len(RETRY_TIMES) - 1)]
        self._misses += 1
        return self.end(now_s, "", times * self._random.uniform(*RETRY_S))

    def _to_voters(self, message: msgspec.Struct) -> list[Action]:
        return [SendMessage(each, message) for each in self._terms.voters]

    def _unanswered(self, now_s: float) -> list[str]:
        """Voters to ask again: silent ones, and those whose reason to refuse is over."""
        settled = {*self._promised, *(each for each, until_s in self._refused.items() if now_s < until_s)}
        return [each for each in self._terms.voters if each not in settled]

    def _question(self) -> Ask:
        return Ask(self.duty, self._start, self._ask, self.hinted, self._terms.digest)

    def _offer(self) -> Take:
        lease_ms = round(self._terms.lease_s * 1000)
        held = self.phase is Phase.HOLD
        return Take(self.duty, self._start, self.token, self._round, lease_ms, held, self._terms.digest)

    def _begin_ask(self, now_s: float) -> list[Action]:
        self.phase, self._ask = Phase.ASK, self._ask + 1
        self._promised.clear()
        self._refused.clear()
        self._resend_s = now_s + self._random.uniform(*RESEND_S)
        self._give_up_s = now_s + GIVE_UP_S
        return self._to_voters(self._question())

    def _send_full(self, now_s: float) -> list[Action]:
        self._full_s, self._extend_s = now_s, now_s + EXTEND * self._terms.lease_s
        return self._send_round(now_s, self._terms.voters)

    def _send_round(self, now_s: float, voters: Iterable[str]) -> list[Action]:
        self._round += 1
        self._sent_s[self._round] = now_s
        self._sent_s.pop(self._round - ROUNDS, None)
        self._resend_s = now_s + self._random.uniform(*RESEND_S)
        return [SendMessage(each, self._offer()) for each in voters]

    def _taken(self, now_s: float, sender: str, message: Taken) -> list[Action]:
        sent_s = self._sent_s.get(message.round)
        if sent_s is None or message.token != self.token:
            return []
        self._taken_s[sender] = max(sent_s, self._taken_s.get(sender, sent_s))
        if len(self._taken_s) < self._terms.majority:
            return []
        least_s = sorted(self._taken_s.values(), reverse=True)[self._terms.majority - 1]
        until_s = least_s + self._terms.held_s
        if now_s >= until_s:
            return []
        self.until_s = max(self.until_s, until_s)
        if self.phase is not Phase.TAKE:
            return []
        self.phase, self.holder, self._misses = Phase.HOLD, self._name, 0
        return [LeaseAcquired(self.duty, self.token, self.until_s)]

    def _is_refused(self, now_s: float, sender: str, message: Refused) -> list[Action]:
        mine = message.ask == self._ask if message.ask else message.token == self.token
        if not mine or self.phase is not (Phase.ASK if message.ask else Phase.TAKE):
            return []
        self._top = max(self._top, message.top)
        self._refused[sender] = now_s + message.left_ms / 1000
        self.holder = message.holder or self.holder
        if len(self._refused) <= len(self._terms.voters) - self._terms.majority:
            return []
        if self.phase is Phase.TAKE:
            return self._retry(now_s)
        self._misses = 0
        needed = self._terms.majority - len(self._promised)
        free_s = sorted(self._refused.values())[needed - 1]
        let_go = [SendMessage(each, Release(self.duty, self._start, self.token)) for each in self._promised]
        self._rest(free_s + self._random.uniform(0, AGAIN_S))
        return [*let_go]  # what they keep for this member would only be in others' way

    def _freed(self, now_s: float, sender: str, message: Freed) -> list[Action]:
        """Seek at once, or ask this voter again, where its refusal was of the holding that ended."""
        if message.token >= self._top:
            self.holder = ""
        if self.phase is Phase.REST:
            wait_s = 0.0 if message.follow else self._random.uniform(*FREED_S)
            self.due_s = min(self.due_s, now_s + wait_s)
            self.hinted, self.freed = self.hinted or message.follow, True
        elif self.phase is Phase.ASK and self._refused.pop(sender, None) is not None:
            return [SendMessage(sender, self._question())]
        return []
