"""Health checks of suspected servers, divided among the members of the cluster; free of I/O and clocks.

A router process among many has few requests by which to judge a hundred servers, so any member that suspects
a server publishes that suspicion. Of the live members the first in the server's `rendezvous` order probes it
(highest-random-weight hashing, Thaler and Ravishankar 1998) and publishes the outcome for all. No lease is
needed: while members disagree about who is alive two of them may probe one server, which costs one probe.
An outcome stands until its prober is gone or no member suspects the server any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from math import inf

import msgspec

from ringledge.decide.interface import RecordStore
from ringledge.decide.rendezvous import ranked

KEY_PREFIX = "doubt/"  # of the records' keys; the server's name follows


class ProbeOutcome(IntEnum):
    """Outcome of the latest probe; the values are on the wire."""

    NONE = 0  # no probe has been answered or has timed out yet
    ANSWERED = 1
    TIMED_OUT = 2


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """What one member publishes about a server (record doubt/SERVER); the field order is on the wire."""

    probe_wanted: bool  # the member suspects the server
    outcome: int = (
        ProbeOutcome.NONE
    )  # of its own latest probe; an int, as newer members may know more outcomes
    duration_ms: int = 0  # of its latest probe that was answered
    consecutive: int = 0  # probes with this outcome in a row, at most the healthy threshold


class HealthCheckSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and thresholds; times in s."""

    interval_s: float = msgspec.field(name="every_s", default=0.5)  # between two probes of a server
    timeout_s: float = msgspec.field(name="limit_s", default=1.0)  # of a probe
    # Probes answered in a row after which a member drops its suspicion.
    healthy_threshold: int = msgspec.field(name="clears", default=3)
    suspicion_ttl_s: float = msgspec.field(name="doubt_s", default=10.0)  # of a suspicion that isn't renewed


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe to send; an answer is reported to `HealthChecker.answered` with the same number."""

    server: str
    number: int


@dataclass(slots=True)
class _ProbeState:
    """The probes of one server that this member probes."""

    due_s: float
    number: int = 0
    sent_s: float = inf  # inf while no probe is in flight
    outcome: int = ProbeOutcome.NONE
    duration_ms: int = 0
    consecutive: int = 0

    def record(self, outcome: ProbeOutcome, duration_ms: int, due_s: float) -> None:
        """The probe in flight has ended; the next one is due at `due_s`."""
        self.consecutive = self.consecutive + 1 if self.outcome == outcome else 1
        self.outcome = outcome
        self.duration_ms = duration_ms
        self.sent_s = inf
        self.due_s = due_s


class HealthChecker:
    """One member's share of the health checks.

    Holds the member's own suspicions and probes the servers that fall to it; reads all members' outcomes.
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
        """The live members, this one included; all who know the same ones divide the servers alike."""
        self._members = tuple({*names, self._name})

    def suspect(self, now_s: float, server: str) -> None:
        """Suspect a server, e.g. because a connection to it broke, timed out or was slow."""
        self._suspected_until_s[server] = now_s + self._settings.suspicion_ttl_s

    def clear_suspicion(self, server: str) -> None:
        """The server has answered a request of this member well."""
        self._suspected_until_s.pop(server, None)

    def prober(self, server: str) -> str:
        """The member that probes a server."""
        return ranked(server, self._members)[0]

    def latest_outcome(self, now_s: float, server: str) -> Suspicion | None:
        """The outcome of the first live member in the server's order that has one; None if there is none."""
        suspicions = self._suspicions(now_s, server)
        probers = [
            name for name, suspicion in suspicions.items() if suspicion.outcome and name in self._members
        ]
        return suspicions[ranked(server, probers)[0]] if probers else None

    def tick(self, now_s: float) -> list[Probe]:
        """Drop suspicions that are over, time out probes, publish changes; returns the probes to send."""
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
        """A probe was answered; ignored if it timed out or the server falls to another member by now."""
        probe = self._probes.get(server)
        if probe is not None and probe.sent_s != inf and probe.number == number:
            duration_ms = round((now_s - probe.sent_s) * 1000)
            probe.record(ProbeOutcome.ANSWERED, duration_ms, now_s + self._settings.interval_s)
            self._publish(now_s)

    def next_tick_s(self) -> float:
        """When to call `tick` next; new records may require it sooner."""
        timeout_s = self._settings.timeout_s
        next_probe_s = (min(probe.sent_s + timeout_s, probe.due_s) for probe in self._probes.values())
        next_expiry_s = min(self._suspected_until_s.values(), default=inf)
        return min(min(next_probe_s, default=inf), next_expiry_s)

    def _suspicions(self, now_s: float, server: str) -> dict[str, Suspicion]:
        """What each member published about a server; records that can't be decoded are ignored."""
        suspicions = {}
        for (name, key), value in self._records.values(now_s, KEY_PREFIX + server).items():
            suspicion = _decode_suspicion(value)
            if key == KEY_PREFIX + server and suspicion is not None:
                suspicions[name] = suspicion
        return suspicions

    def _assigned_servers(self, now_s: float) -> list[str]:
        """Servers that any live member suspects and that this member probes."""
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
        """Write and delete this member's records where they changed."""
        current = {}
        for server in {*self._suspected_until_s, *self._probes}:
            probe = self._probes.get(server) or _ProbeState(0.0)
            # Counts above the threshold mean nothing more, and each would be one more write.
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
