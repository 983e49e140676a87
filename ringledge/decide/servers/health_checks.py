"""Health checks of suspected servers, divided among the members of the cluster; free of I/O and clocks.

Each of many router processes sends too few requests to judge a hundred servers by them, so a member that
suspects a server publishes its suspicion. The server is probed by the live member that ranks first for it by
rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998), which publishes the outcome for all
members. No lease is needed: members that disagree about which of them are alive may both probe a server, at
the cost of one extra probe. An outcome remains valid until its prober has left or failed, or until no member
suspects the server any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from math import inf

import msgspec

from ringledge.decide.interface import RecordStore
from ringledge.decide.rendezvous import ranked

KEY_PREFIX = "doubt/"  # a record's key is this prefix and the server's name


class ProbeOutcome(IntEnum):
    """Outcome of the latest probe; the values are part of the wire format."""

    NONE = 0  # no probe has been answered or timed out yet
    ANSWERED = 1
    TIMED_OUT = 2


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """The replicated record doubt/SERVER of one member; the field order is part of the wire format."""

    probe_wanted: bool  # whether the member suspects the server
    # Outcome of the member's own latest probe; an int because newer versions may send further values.
    outcome: int = ProbeOutcome.NONE
    duration_ms: int = 0  # duration of the member's latest probe that was answered
    consecutive: int = 0  # consecutive probes with this outcome, capped at the healthy threshold


class HealthCheckSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the health checks; times are in seconds."""

    interval_s: float = msgspec.field(name="every_s", default=0.5)  # from a probe's end to the next probe
    timeout_s: float = msgspec.field(name="limit_s", default=1.0)  # time limit of a probe
    # Consecutive answered probes after which a member drops its suspicion.
    healthy_threshold: int = msgspec.field(name="clears", default=3)
    suspicion_ttl_s: float = msgspec.field(name="doubt_s", default=10.0)  # restarts with each suspicion


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe to send; its answer is passed to `HealthChecker.record_answer` with the same number."""

    server: str
    number: int


@dataclass(slots=True)
class _ProbeState:
    """The state of this member's probes of one server."""

    due_s: float
    number: int = 0
    sent_s: float = inf  # inf while no probe is in flight
    outcome: int = ProbeOutcome.NONE
    duration_ms: int = 0
    consecutive: int = 0

    def record(self, outcome: ProbeOutcome, duration_ms: int, due_s: float) -> None:
        """Record the outcome of the probe in flight; the next probe is due at `due_s`."""
        self.consecutive = self.consecutive + 1 if self.outcome == outcome else 1
        self.outcome = outcome
        self.duration_ms = duration_ms
        self.sent_s = inf
        self.due_s = due_s


class HealthChecker:
    """Performs one member's part of the health checks.

    It maintains the member's own suspicions, probes the servers that are assigned to the member, and reads
    the outcomes that all members have published.
    """

    def __init__(self, name: str, records: RecordStore, settings: HealthCheckSettings | None = None) -> None:
        self._name = name
        self._records = records
        self._settings = settings or HealthCheckSettings()
        self._members: tuple[str, ...] = (name,)
        self._suspected_until_s: dict[str, float] = {}  # by server
        self._probes: dict[str, _ProbeState] = {}  # by server
        self._published: dict[str, Suspicion] = {}  # by server

    def set_members(self, names: Iterable[str]) -> None:
        """Set the live members, including this one; members with equal sets assign the servers equally."""
        self._members = tuple({*names, self._name})

    def suspect(self, now_s: float, server: str) -> None:
        """Suspect a server, for example because a connection to it broke, timed out or was slow."""
        self._suspected_until_s[server] = now_s + self._settings.suspicion_ttl_s

    def clear_suspicion(self, server: str) -> None:
        """End this member's suspicion: the server has answered one of its requests successfully."""
        self._suspected_until_s.pop(server, None)

    def prober(self, server: str) -> str:
        """The member to which a server is assigned for probing."""
        return ranked(server, self._members)[0]

    def latest_outcome(self, now_s: float, server: str) -> Suspicion | None:
        """The record of the highest-ranked live member that has an outcome for the server, or None."""
        suspicions = self._suspicions(now_s, server)
        probers = [
            name for name, suspicion in suspicions.items() if suspicion.outcome and name in self._members
        ]
        return suspicions[ranked(server, probers)[0]] if probers else None

    def tick(self, now_s: float) -> list[Probe]:
        """Drop obsolete suspicions, time out probes and publish changes; returns the probes to send."""
        for server, until_s in [*self._suspected_until_s.items()]:
            if now_s >= until_s or self._is_healthy(now_s, server):
                del self._suspected_until_s[server]
        assigned = self._assigned_servers(now_s)
        self._probes = {server: self._probes.get(server) or _ProbeState(now_s) for server in assigned}
        due = []
        for server, probe in self._probes.items():
            if probe.sent_s + self._settings.timeout_s <= now_s:
                probe.record(ProbeOutcome.TIMED_OUT, probe.duration_ms, now_s + self._settings.interval_s)
            if probe.sent_s == inf and now_s >= probe.due_s:
                probe.number += 1
                probe.sent_s = now_s
                due.append(Probe(server, probe.number))
        self._publish(now_s)
        return due

    def record_answer(self, now_s: float, server: str, number: int) -> None:
        """Record the answer to a probe, unless it has timed out or the server was reassigned."""
        probe = self._probes.get(server)
        if probe is not None and probe.sent_s != inf and probe.number == number:
            duration_ms = round((now_s - probe.sent_s) * 1000)
            probe.record(ProbeOutcome.ANSWERED, duration_ms, now_s + self._settings.interval_s)
            self._publish(now_s)

    def next_tick_s(self) -> float:
        """When to call `tick` next; new records may require an earlier call."""
        timeout_s = self._settings.timeout_s
        next_probe_s = (min(probe.sent_s + timeout_s, probe.due_s) for probe in self._probes.values())
        next_expiry_s = min(self._suspected_until_s.values(), default=inf)
        return min(min(next_probe_s, default=inf), next_expiry_s)

    def _suspicions(self, now_s: float, server: str) -> dict[str, Suspicion]:
        """Each member's record about a server; records that can't be decoded are ignored."""
        suspicions = {}
        for (name, key), value in self._records.values(now_s, KEY_PREFIX + server).items():
            suspicion = _decode_suspicion(value)
            if key == KEY_PREFIX + server and suspicion is not None:
                suspicions[name] = suspicion
        return suspicions

    def _assigned_servers(self, now_s: float) -> list[str]:
        """The servers that a live member suspects and that are assigned to this member."""
        suspected = {*self._suspected_until_s}
        for (name, key), value in self._records.values(now_s, KEY_PREFIX).items():
            suspicion = _decode_suspicion(value)
            if suspicion is not None and suspicion.probe_wanted and name in self._members:
                suspected.add(key.removeprefix(KEY_PREFIX))
        return sorted(server for server in suspected if self.prober(server) == self._name)

    def _is_healthy(self, now_s: float, server: str) -> bool:
        latest_outcome = self.latest_outcome(now_s, server)
        return (
            latest_outcome is not None
            and latest_outcome.outcome == ProbeOutcome.ANSWERED
            and latest_outcome.consecutive >= self._settings.healthy_threshold
        )

    def _publish(self, now_s: float) -> None:
        """Write the records of this member that have changed, and delete those that are obsolete."""
        current = {}
        for server in {*self._suspected_until_s, *self._probes}:
            probe = self._probes.get(server) or _ProbeState(0.0)
            # A count above the threshold carries no information, and each change costs a write.
            consecutive = min(probe.consecutive, self._settings.healthy_threshold)
            suspected = server in self._suspected_until_s
            current[server] = Suspicion(suspected, probe.outcome, probe.duration_ms, consecutive)
        for server, suspicion in current.items():
            if self._published.get(server) != suspicion:
                self._records.write(now_s, KEY_PREFIX + server, msgspec.msgpack.encode(suspicion))
        for server in self._published.keys() - current.keys():
            self._records.delete(now_s, KEY_PREFIX + server)
        self._published = current


def _decode_suspicion(value: bytes) -> Suspicion | None:
    try:
        return msgspec.msgpack.decode(value, type=Suspicion)
    except msgspec.DecodeError:
        return None
