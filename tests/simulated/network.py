"""The simulated network between members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random


@dataclass
class Network:
    """Loses, duplicates, delays (and so reorders) and cuts off datagrams, and counts these events."""

    random: Random
    delay_s: tuple[float, float] = (0.0005, 0.02)
    loss: float = 0.0  # probability
    duplication: float = 0.0  # probability
    late_fraction: float = 0.0  # delayed by `late_delay_s` instead of `delay_s`
    late_delay_s: tuple[float, float] = (0.05, 6.0)
    member_loss: dict[str, float] = field(default_factory=dict)  # of all to and from one member
    extra_delay_s: dict[tuple[str, str], float] = field(default_factory=dict)  # by sender and recipient
    cuts: set[tuple[str, str]] = field(default_factory=set)  # sender, recipient
    counts: Counter[str] = field(default_factory=Counter)

    def cut(self, senders: Iterable[str], recipients: Iterable[str], one_way: bool = False) -> None:
        """Loses all datagrams from `senders` to `recipients`, and in the other direction unless `one_way`."""
        for sender in senders:
            for recipient in recipients:
                self.cuts.add((sender, recipient))
                if not one_way:
                    self.cuts.add((recipient, sender))

    def partition(self, *groups: Iterable[str]) -> None:
        """Loses all datagrams between members of different groups."""
        members = [*map(list, groups)]
        for group in members:
            for other in members:
                if group is not other:
                    self.cut(group, other)

    def heal(self) -> None:
        """Ends all cuts, losses, delays and duplications."""
        self.cuts.clear()
        self.member_loss.clear()
        self.loss = 0.0
        self.duplication = 0.0
        self.late_fraction = 0.0

    def delays(self, sender: str, recipient: str) -> list[float]:
        """The delays of the copies of a datagram that arrive, in s."""
        self.counts["sent"] += 1
        if (sender, recipient) in self.cuts:
            self.counts["cut"] += 1
            return []
        loss = max(self.loss, self.member_loss.get(sender, 0), self.member_loss.get(recipient, 0))
        copies = 1 + (self.random.random() < self.duplication)
        self.counts["duplicated"] += copies - 1
        delays_s = []
        for _ in range(copies):
            if self.random.random() < loss:
                self.counts["lost"] += 1
                continue
            late = self.random.random() < self.late_fraction
            self.counts["late"] += late
            delay_s = self.random.uniform(*(self.late_delay_s if late else self.delay_s))
            delays_s.append(delay_s + self.extra_delay_s.get((sender, recipient), 0.0))
        return delays_s
