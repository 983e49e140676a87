"""What happens to datagrams between members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random


@dataclass
class Network:
    """Drops, doubles, delays (so that later ones overtake) and cuts, one way or both; counts what it did."""

    random: Random
    delay_s: tuple[float, float] = (0.0005, 0.02)
    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0  # part that comes `late_s` late
    late_s: tuple[float, float] = (0.05, 6.0)
    loss_at: dict[str, float] = field(default_factory=dict)  # more for all to and from one member
    slow_s: dict[tuple[str, str], float] = field(default_factory=dict)  # more, from, to
    cuts: set[tuple[str, str]] = field(default_factory=set)  # from, to
    counts: Counter[str] = field(default_factory=Counter)

    def cut(self, here: Iterable[str], there: Iterable[str], one_way: bool = False) -> None:
        """Nothing goes from `here` to `there`; nor back, unless one way."""
        for one in here:
            for other in there:
                self.cuts.add((one, other))
                if not one_way:
                    self.cuts.add((other, one))

    def split(self, *groups: Iterable[str]) -> None:
        """Only inside each group is anything heard."""
        parts = [*map(list, groups)]
        for part in parts:
            for other in parts:
                if part is not other:
                    self.cut(part, other)

    def heal(self) -> None:
        """No cut, no loss, nothing late or twice."""
        self.cuts.clear()
        self.loss_at.clear()
        self.loss = self.double = self.late = 0.0

    def delays(self, sender: str, to: str) -> list[float]:
        """After how long a datagram arrives, each time that it does."""
        self.counts["sent"] += 1
        if (sender, to) in self.cuts:
            self.counts["cut"] += 1
            return []
        lost = max(self.loss, self.loss_at.get(sender, 0), self.loss_at.get(to, 0))
        copies = 1 + (self.random.random() < self.double)
        self.counts["doubled"] += copies - 1
        out = []
        for _ in range(copies):
            if self.random.random() < lost:
                self.counts["lost"] += 1
                continue
            is_late = self.random.random() < self.late
            self.counts["late"] += is_late
            delay_s = self.random.uniform(*(self.late_s if is_late else self.delay_s))
            out.append(delay_s + self.slow_s.get((sender, to), 0.0))
        return out
