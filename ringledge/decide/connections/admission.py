"""Which connections are let in, by client network: the longest prefix that fits a client counts."""

from __future__ import annotations

import ipaddress
import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import radix

from ringledge.decide.connections.settings import DoorRule, DoorsConfig
from ringledge.structures.space_saving import SpaceSaving
from ringledge.structures.token_bucket import TokenBucket

WATCHED_BITS = {4: 24, 6: 56}  # of an address, by which clients are counted


class Why(Enum):
    """Why a connection is not let in."""

    DENIED = "denied"
    MOST = "most"  # its networks hold as many as they may
    MOST_EACH = "most_each"  # its address does
    RATE = "rate"  # its networks open too many a second


@dataclass(slots=True, frozen=True)
class Entry:
    """A connection that was let in."""

    address: str
    rule: int
    keep_s: float  # that it may rest, shortened by chance so that those opened together don't fall due so


class Doors:
    """Connections by client network: who may come, and who opened most without asking for anything."""

    def __init__(self, config: DoorsConfig, rng: random.Random) -> None:
        self._config, self._rng = config, rng
        self.advertises = config.advertise
        self._rules = [*config.rules, DoorRule(["0.0.0.0/0", "::/0"], "else")]
        self._tree = radix.Radix()
        for number, rule in reversed(list(enumerate(self._rules))):  # the first that names a network counts
            for network in rule.networks:
                self._tree.add(network).data["rule"] = number
        self._open = [0] * len(self._rules)
        self._each: Counter[str] = Counter()  # by address, where a rule bounds that
        self._rates = [TokenBucket(max(1.0, rule.per_s or 0.0)) for rule in self._rules]
        self._silent: SpaceSaving[str] = SpaceSaving(config.networks_watched)

    def come(self, now_ms: float, address: str) -> Entry | Why:
        """Decide on a new connection from an address."""
        number = self._rule(address)
        rule = self._rules[number]
        if rule.deny:
            return Why.DENIED
        if rule.most is not None and self._open[number] >= rule.most:
            return Why.MOST
        if rule.most_each is not None and self._each[address] >= rule.most_each:
            return Why.MOST_EACH
        if rule.per_s is not None:
            bucket = self._rates[number]
            if bucket.refill(now_ms, rule.per_s / 1000, max(1.0, rule.per_s)) < 1:
                return Why.RATE
            bucket.consume(1)
        self._open[number] += 1
        if rule.most_each is not None:
            self._each[address] += 1
        keep_s = rule.keep_alive_s or self._config.keep_alive_s
        return Entry(address, number, keep_s * (1 - self._config.jitter * self._rng.random()))

    def gone(self, entry: Entry, asked: bool) -> None:
        """A connection that was let in has ended, with or without a request."""
        self._open[entry.rule] -= 1
        if self._rules[entry.rule].most_each is not None:
            self._each[entry.address] -= 1
            if self._each[entry.address] <= 0:
                del self._each[entry.address]
        if not asked:
            self._silent.add(network_of(entry.address))

    def _rule(self, address: str) -> int:
        node = self._tree.search_best(address)
        return int(node.data["rule"]) if node is not None else len(self._rules) - 1

    def open(self) -> dict[str, int]:
        """Connections open now by rule."""
        named = [rule.name or rule.networks[0] for rule in self._rules]
        return dict(zip(named, self._open, strict=True))

    def silent(self, most: int) -> list[tuple[str, int, int]]:
        """The networks that opened most without asking: how many, and by how much that may be too high."""
        return self._silent.top(most)


def network_of(address: str) -> str:
    """The network by which clients are counted: what one customer usually has of addresses."""
    bits = WATCHED_BITS[6 if ":" in address else 4]
    return str(ipaddress.ip_network(f"{address.partition('%')[0]}/{bits}", strict=False))
