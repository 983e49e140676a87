"""Admission of connections by client network; the rule with the longest matching prefix applies."""

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

# Prefix length by IP version by which clients are counted: about what one customer has of addresses.
COUNTED_PREFIX_BITS = {4: 24, 6: 56}
DEFAULT_RULE = AdmissionRule(["0.0.0.0/0", "::/0"], "else")


class RejectionReason(Enum):
    """Why a connection is rejected; the values stand in logs and metrics."""

    DENIED = "denied"
    MAX_CONNECTIONS = "most"  # the rule's networks together have as many as they may
    MAX_PER_ADDRESS = "most_each"  # the client's address has as many as it may
    RATE = "rate"  # the rule's networks open too many per second


@dataclass(slots=True, frozen=True)
class AdmittedConnection:
    """An admitted connection."""

    address: str
    rule: int  # its number
    idle_timeout_s: float  # with jitter, so that connections opened together don't expire together


class ConnectionAdmission:
    """Admits and counts connections by client network; counts the networks that send no requests."""

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.advertise_keep_alive = settings.advertise_keep_alive
        self._rules = [*settings.rules, DEFAULT_RULE]
        self._rule_by_prefix = radix.Radix()
        for number, rule in reversed(list(enumerate(self._rules))):  # of equal prefixes the first one applies
            for network in rule.networks:
                self._rule_by_prefix.add(network).data["rule"] = number
        self._open = [0] * len(self._rules)
        self._open_by_address: Counter[str] = Counter()  # where a rule limits them
        self._buckets = [TokenBucket(max(1.0, rule.max_rate_per_s or 0.0)) for rule in self._rules]
        self._without_request: SpaceSaving[str] = SpaceSaving(settings.max_networks_counted)

    def admit(self, now_ms: float, address: str) -> AdmittedConnection | RejectionReason:
        """Admit or reject a new connection; an admitted one is counted until `disconnected`."""
        number = self._rule_number(address)
        rule = self._rules[number]
        reason = self._rejection(now_ms, address, number)
        if reason is not None:
            return reason
        self._open[number] += 1
        if rule.max_connections_per_address is not None:
            self._open_by_address[address] += 1
        idle_timeout_s = rule.idle_timeout_s or self._settings.idle_timeout_s
        jitter = self._settings.idle_timeout_jitter * self._rng.random()
        return AdmittedConnection(address, number, idle_timeout_s * (1 - jitter))

    def disconnected(self, connection: AdmittedConnection, had_request: bool) -> None:
        """An admitted connection has ended; `had_request`: it brought at least one request."""
        self._open[connection.rule] -= 1
        if self._rules[connection.rule].max_connections_per_address is not None:
            self._open_by_address[connection.address] -= 1
            if self._open_by_address[connection.address] <= 0:
                del self._open_by_address[connection.address]
        if not had_request:
            self._without_request.add(counted_network(connection.address))

    def open_by_rule(self) -> dict[str, int]:
        """Open connections by the rule's name, or its first network if it has none."""
        names = [rule.name or rule.networks[0] for rule in self._rules]
        return dict(zip(names, self._open, strict=True))

    def top_networks_without_request(self, limit: int) -> list[tuple[str, int, int]]:
        """The networks with most connections that ended without a request: network, count, maximum error."""
        return self._without_request.top(limit)

    def _rule_number(self, address: str) -> int:
        node = self._rule_by_prefix.search_best(address)
        return int(node.data["rule"]) if node is not None else len(self._rules) - 1

    def _rejection(self, now_ms: float, address: str, number: int) -> RejectionReason | None:
        """Why a connection is rejected, or None; only then a token of the rule's bucket is consumed."""
        rule = self._rules[number]
        if rule.deny:
            return RejectionReason.DENIED
        if rule.max_connections is not None and self._open[number] >= rule.max_connections:
            return RejectionReason.MAX_CONNECTIONS
        per_address = rule.max_connections_per_address
        if per_address is not None and self._open_by_address[address] >= per_address:
            return RejectionReason.MAX_PER_ADDRESS
        if rule.max_rate_per_s is not None:
            bucket = self._buckets[number]
            if bucket.refill(now_ms, rule.max_rate_per_s / 1000, max(1.0, rule.max_rate_per_s)) < 1:
                return RejectionReason.RATE
            bucket.consume(1)
        return None


def counted_network(address: str) -> str:
    """The network by which a client is counted."""
    bits = COUNTED_PREFIX_BITS[6 if ":" in address else 4]
    return str(ipaddress.ip_network(f"{address.partition('%')[0]}/{bits}", strict=False))
