"""Admission of client connections by network; the rule with the longest matching prefix applies."""

from __future__ import annotations

import ipaddress
import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import radix

from ringledge.decide.connections.settings import AdmissionRule, AdmissionSettings
from ringledge.structures.space_saving import SpaceSaving
from ringledge.structures.token_bucket import TokenBucket

# Prefix length by IP version of the networks by which clients are counted: about one customer's addresses.
COUNTED_PREFIX_BITS = {4: 24, 6: 56}
DEFAULT_RULE = AdmissionRule(["0.0.0.0/0", "::/0"], "else")


class RejectionReason(Enum):
    """Why a connection is rejected; the values are used in logs and metrics."""

    DENIED = "denied"
    MAX_CONNECTIONS = "most"  # the limit of the rule's networks together is reached
    MAX_PER_ADDRESS = "most_each"  # the limit of the client's address is reached
    RATE = "rate"  # the rule's networks open too many connections per second


@dataclass(slots=True, frozen=True)
class AdmittedConnection:
    """An admitted connection, to be passed to `disconnected` when it ends."""

    address: str
    rule_index: int
    idle_timeout_s: float  # with jitter, so that connections opened together expire at different times


class ConnectionAdmission:
    """Admits connections by client network, and counts those without a request by network."""

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.advertise_keep_alive = settings.advertise_keep_alive
        self._rules = [*settings.rules, DEFAULT_RULE]
        self._rule_by_prefix = radix.Radix()
        for rule_index, rule in reversed(list(enumerate(self._rules))):  # the first of equal prefixes applies
            for network in rule.networks:
                self._rule_by_prefix.add(network).data["rule"] = rule_index
        self._open_by_rule = [0] * len(self._rules)
        self._open_by_address: Counter[str] = Counter()  # only where a rule limits them
        self._buckets = [TokenBucket(max(1.0, rule.max_rate_per_s or 0.0)) for rule in self._rules]
        self._networks_without_request: SpaceSaving[str] = SpaceSaving(settings.max_networks_counted)

    def admit(self, now_ms: float, address: str) -> AdmittedConnection | RejectionReason:
        """Admit or reject a new connection; an admitted one is counted until `disconnected` is called."""
        rule_index = self._rule_index(address)
        rule = self._rules[rule_index]
        reason = self._rejection_reason(now_ms, address, rule_index)
        if reason is not None:
            return reason
        self._open_by_rule[rule_index] += 1
        if rule.max_connections_per_address is not None:
            self._open_by_address[address] += 1
        idle_timeout_s = rule.idle_timeout_s or self._settings.idle_timeout_s
        jitter = self._settings.idle_timeout_jitter * self._rng.random()
        return AdmittedConnection(address, rule_index, idle_timeout_s * (1 - jitter))

    def disconnected(self, connection: AdmittedConnection, had_request: bool) -> None:
        """Record the end of an admitted connection; `had_request`: at least one request arrived on it."""
        self._open_by_rule[connection.rule_index] -= 1
        if self._rules[connection.rule_index].max_connections_per_address is not None:
            self._open_by_address[connection.address] -= 1
            if self._open_by_address[connection.address] <= 0:
                del self._open_by_address[connection.address]
        if not had_request:
            self._networks_without_request.add(counted_network(connection.address))

    def open_by_rule(self) -> dict[str, int]:
        """Number of open connections by the rule's name, or by its first network if it has no name."""
        names = [rule.name or rule.networks[0] for rule in self._rules]
        return dict(zip(names, self._open_by_rule, strict=True))

    def top_networks_without_request(self, limit: int) -> list[tuple[str, int, int]]:
        """The networks with the most connections without a request, each with its count and maximum error."""
        return self._networks_without_request.top(limit)

    def _rule_index(self, address: str) -> int:
        node = self._rule_by_prefix.search_best(address)
        return int(node.data["rule"]) if node is not None else len(self._rules) - 1

    def _rejection_reason(self, now_ms: float, address: str, rule_index: int) -> RejectionReason | None:
        """Why a connection is rejected; None if it is admitted, and a token of the rate limit consumed."""
        rule = self._rules[rule_index]
        if rule.deny:
            return RejectionReason.DENIED
        if rule.max_connections is not None and self._open_by_rule[rule_index] >= rule.max_connections:
            return RejectionReason.MAX_CONNECTIONS
        per_address = rule.max_connections_per_address
        if per_address is not None and self._open_by_address[address] >= per_address:
            return RejectionReason.MAX_PER_ADDRESS
        if rule.max_rate_per_s is not None:
            bucket = self._buckets[rule_index]
            if bucket.refill(now_ms, rule.max_rate_per_s / 1000, max(1.0, rule.max_rate_per_s)) < 1:
                return RejectionReason.RATE
            bucket.consume(1)
        return None


def counted_network(address: str) -> str:
    """The network by which a client with this address is counted."""
    bits = COUNTED_PREFIX_BITS[6 if ":" in address else 4]
    return str(ipaddress.ip_network(f"{address.partition('%')[0]}/{bits}", strict=False))
