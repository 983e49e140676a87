"""Servers in doubt: one member probes each, and what it finds is a fact for all.

A conductor among many has few requests of its own by which to judge a hundred servers. Whoever doubts a
server says so; of the members alive, the first in the server's order (`rendezvous`) probes it, so the
probing is divided without a word and needs no lease: for a moment two may probe one server, which costs a
probe. A finding stands until its prober is gone or nobody doubts the server any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

import msgspec

from ringledge.decide.interface import RecordStore
from ringledge.decide.rendezvous import ranked

PREFIX = "doubt/"
ANSWERED, SILENT = 1, 2  # what the last probe found; 0: none was answered or given up yet


class Doubt(msgspec.Struct, array_like=True, frozen=True):
    """One member's word on a server (key doubt/SERVER)."""

    wanted: bool  # it doubts the server and asks for it to be probed
    found: int = 0  # by its own probes: 0, ANSWERED or SILENT
    took_ms: int = 0  # by the last that was answered
    row: int = 0  # findings alike, one after another


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times in s."""

    every_s: float = 0.5  # between two probes of a server
    limit_s: float = 1.0  # after which one is given up
    clears: int = 3  # answers in a row after which a member doubts no more
    doubt_s: float = 10.0  # after which a doubt that wasn't renewed is dropped


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask this server for a sign of life, and tell `answered`, whatever `number` it is by then."""

    server: str
    number: int


@dataclass(slots=True)
class _Watch:
    """A server that this member probes."""

    due_s: float
    number: int = 0
    asked_s: float = inf  # inf: none is out
    found: int = 0
    took_ms: int = 0
    row: int = 0


class Probing:
    """One member's part: its own doubts, the servers that fall to it, and what all have found."""

    def __init__(self, name: str, facts: RecordStore, settings: Settings | None = None) -> None:
        self._name, self._facts, self._settings = name, facts, settings or Settings()
        self._alive: tuple[str, ...] = (name,)
        self._doubts: dict[str, float] = {}  # until when, by server
        self._watches: dict[str, _Watch] = {}
        self._told: dict[str, Doubt] = {}

    def alive(self, names: Iterable[str]) -> None:
        """Who is there, this member too; all who know the same ones divide alike."""
        self._alive = tuple({*names, self._name})

    def doubt(self, now_s: float, server: str) -> None:
        """Here is reason to doubt the server: something of it fell silent, broke or was late."""
        self._doubts[server] = now_s + self._settings.doubt_s

    def trust(self, server: str) -> None:
        """It has answered this member well."""
        self._doubts.pop(server, None)

    def prober(self, server: str) -> str:
        """Whose it is."""
        return ranked(server, self._alive)[0]

    def finding(self, now_s: float, server: str) -> Doubt | None:
        """What its prober found; while that one has found nothing yet, what another has who probed before."""
        rows = self._rows(now_s, server)
        found = [name for name, row in rows.items() if row.found and name in self._alive]
        return rows[ranked(server, found)[0]] if found else None

    def tick(self, now_s: float) -> list[Probe]:
        """The probes that are due; drops doubts that are over and tells what changed."""
        for server, until_s in [*self._doubts.items()]:
            if now_s >= until_s or self._cleared(now_s, server):
                del self._doubts[server]
        mine = self._mine(now_s)
        self._watches = {server: self._watches.get(server) or _Watch(now_s) for server in mine}
        out = []
        for server, watch in self._watches.items():
            if watch.asked_s + self._settings.limit_s <= now_s:
                self._take(now_s, watch, SILENT, watch.took_ms)
            if watch.asked_s == inf and now_s >= watch.due_s:
                watch.number, watch.asked_s = watch.number + 1, now_s
                out.append(Probe(server, watch.number))
        self._tell(now_s)
        return out

    def answered(self, now_s: float, server: str, number: int) -> None:
        """A probe was answered; one that was given up or falls to another by now changes nothing."""
        watch = self._watches.get(server)
        if watch is not None and watch.asked_s != inf and watch.number == number:
            self._take(now_s, watch, ANSWERED, round((now_s - watch.asked_s) * 1000))
            self._tell(now_s)

    def next_s(self) -> float:
        """When the next call of `tick` is wanted; facts that come may want it sooner."""
        limit_s = self._settings.limit_s
        watches = (min(each.asked_s + limit_s, each.due_s) for each in self._watches.values())
        return min(min(watches, default=inf), min(self._doubts.values(), default=inf))

    def _take(self, now_s: float, watch: _Watch, found: int, took_ms: int) -> None:
        watch.row = watch.row + 1 if watch.found == found else 1
        watch.found, watch.took_ms, watch.asked_s = found, took_ms, inf
        watch.due_s = now_s + self._settings.every_s

    def _rows(self, now_s: float, server: str) -> dict[str, Doubt]:
        """Each member's word on it; one that can't be read is none."""
        rows = {}
        for (name, key), value in self._facts.values(now_s, PREFIX + server).items():
            row = _read(value)
            if key == PREFIX + server and row is not None:
                rows[name] = row
        return rows

    def _mine(self, now_s: float) -> list[str]:
        """Servers that somebody alive doubts and that fall to this member."""
        doubted = {*self._doubts}
        for (name, key), value in self._facts.values(now_s, PREFIX).items():
            row = _read(value)
            if row is not None and row.wanted and name in self._alive:
                doubted.add(key.removeprefix(PREFIX))
        return sorted(server for server in doubted if self.prober(server) == self._name)

    def _cleared(self, now_s: float, server: str) -> bool:
        found = self.finding(now_s, server)
        return found is not None and found.found == ANSWERED and found.row >= self._settings.clears

    def _tell(self, now_s: float) -> None:
        """Put what this member says, where it changed."""
        rows = {}
        for server in {*self._doubts, *self._watches}:
            watch = self._watches.get(server) or _Watch(0.0)
            row = min(watch.row, self._settings.clears)  # more tell nothing, and would be told each time
            rows[server] = Doubt(server in self._doubts, watch.found, watch.took_ms, row)
        for server, row_now in rows.items():
            if self._told.get(server) != row_now:
                self._facts.write(now_s, PREFIX + server, msgspec.msgpack.encode(row_now))
        for server in self._told.keys() - rows.keys():
            self._facts.delete(now_s, PREFIX + server)
        self._told = rows


def _read(value: bytes) -> Doubt | None:
    try:
        return msgspec.msgpack.decode(value, type=Doubt)
    except msgspec.DecodeError:
        return None
