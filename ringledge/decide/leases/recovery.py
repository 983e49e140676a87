"""How a voter that started comes to vote again, without a disk.

First it is silent for the longest lease, so that what its predecessor locked has run out. Then it asks the
other voters, and votes once it knows a token that is not below any that was ever begun:

- a majority of voters answered that are active: one of them knows the highest, or
- every voter answered, active or not: then either one of the majority that took the highest token still
  runs, or all of that majority have started since, and the sum of all voters' starts, which heads the token,
  has grown.

Rests on: start numbers of a name grow; a name is one process at a time; fewer than 2**COUNT_BITS holdings of
a duty for each unit by which the sum of starts grows. Why it is enough: docs/design/coordination-leases.md.
"""

from __future__ import annotations

from ringledge.decide.interface import Action, SendMessage
from ringledge.decide.leases.messages import MOST_START, Known, Learn, LeaseTerms

ASK_AGAIN_S = 0.3  # a question or its answer is lost at times


class Learning:
    """Silent, then learning, then active; `base` is the least that any further token has to be above."""

    def __init__(self, now_s: float, name: str, start: int, terms: LeaseTerms) -> None:
        if not 0 <= start < MOST_START:
            raise ValueError(f"start: 0 to {MOST_START - 1}, such as milliseconds since 1970")
        self._name, self._start, self._terms = name, start, terms
        self._silent_until_s = now_s + terms.silence_s
        self._ask_s = self._silent_until_s
        self._heard: dict[str, Known] = {}
        self.active = False
        self.base = 0

    def silent(self, now_s: float) -> None:
        """Begin the silence now: only from here on nobody else can vote under this name."""
        self._silent_until_s = self._ask_s = now_s + self._terms.silence_s

    def receive(self, now_s: float, sender: str, message: Learn | Known, top: int) -> list[Action]:
        """Take a message between voters; `top`: the highest token that this voter took itself."""
        if now_s < self._silent_until_s or sender not in self._terms.voters:
            return []
        if isinstance(message, Learn):
            known = Known(message.start, self._start, self.active, max(self.base, top), message.terms)
            return [SendMessage(sender, known)]
        if not self.active and message.echo == self._start and sender != self._name:
            self._heard[sender] = message
            self._conclude()
        return []

    def _conclude(self) -> None:
        """Begin to vote, where enough is known."""
        heard = self._heard.values()
        top = max(each.top for each in heard)
        if sum(each.active for each in heard) >= self._terms.majority:
            self.base, self.active = max(self.base, top), True
        elif len(heard) == len(self._terms.voters) - 1:
            floor = self._terms.floor(self._start + sum(each.start for each in heard))
            self.base, self.active = max(self.base, top, floor), True

    def tick(self, now_s: float) -> list[Action]:
        """Ask those who haven't answered; who wasn't active may be by now."""
        if self.active or now_s < self._ask_s:
            return []
        self._ask_s = now_s + ASK_AGAIN_S
        others = (each for each in self._terms.voters if each != self._name)
        return [SendMessage(each, Learn(self._start, self._terms.digest)) for each in others]

    def next_s(self) -> float:
        """When the next call of `tick` is wanted."""
        return float("inf") if self.active else self._ask_s
