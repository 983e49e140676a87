"""Plays a row against the decisions and says which of its wants failed."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    ServerEntry,
)
from tests.conformance.rows import At, Off, Row, Step
from tests.router_harness import DECODE_KIND, MIXED_KIND, RouterHarness

SEEDS = 12  # plays of a row, each at another router with a seed of its own
LISTED = {"leaves": Availability.REMOVED, "drains": Availability.DRAINING, "up": Availability.UP}


@dataclass
class Seen:
    """Where each request was read and written last, and how often it was sent."""

    reads: dict[str, str] = field(default_factory=dict)
    writes: dict[str, str] = field(default_factory=dict)
    sends: dict[str, int] = field(default_factory=dict)
    entries: int = 0


def key_for(what: str, told: Any, fleet: tuple[ServerEntry, ...], reads: Mapping[str, str]) -> Any:
    """A key that the hash puts where it is wanted, told by a router that knows nothing else."""
    if not isinstance(told, At | Off):
        return told
    for key in range(1, 200):
        world = RouterHarness(fleet)
        world.request("x", **{what: key})
        if (
            (world.server_of["x"] == told.server)
            if isinstance(told, At)
            else (world.server_of["x"] != reads[told.request])
        ):
            return key
    raise AssertionError(f"the hash puts no key there: {told}")


class Table:
    """One play: the row's steps against one router."""

    def __init__(self, row: Row, seed: int) -> None:
        self.row, self.seen = row, Seen()
        self.world = RouterHarness(row.fleet, seed=seed, router=seed, routers=SEEDS)
        self.entries = {each.server: each for each in row.fleet}
        for step in row.steps:
            self._take(step)
            self._look()
        self.seen.entries = len(self.world.policy.affinities.by_session)

    def _look(self) -> None:
        """Take down where each request is now."""
        for name, server in self.world.server_of.items():
            if (kind := self.entries[server].kind) != DECODE_KIND:
                self.seen.reads[name] = server
            if kind in (DECODE_KIND, MIXED_KIND):
                self.seen.writes[name] = server
            self.seen.sends[name] = self.world.attempts[name] + 1

    def _take(self, step: Step) -> None:
        world, name = self.world, step.name
        match step.what:
            case "ask":
                fleet, reads = self.row.fleet, self.seen.reads
                world.request(name, **{k: key_for(k, told, fleet, reads) for k, told in step.told.items()})
                self._look()
            case "read":
                world.outcome(name, AttemptStatus.PREFILLED)
            case "ends":
                world.first_token(name)
                world.outcome(name, AttemptStatus.OK, request_ended=True)
            case "serve":
                for what in ("ask", "read", "ends"):
                    self._take(replace(step, what=what))
            case "cancelled":
                world.outcome(name, AttemptStatus.CANCELLED)
            case "rest":
                world.advance(step.told["ms"])
            case _:
                server = self.seen.reads[name[1:]] if name.startswith("@") else name  # who read that
                entry = replace(self.entries[server], availability=LISTED[step.what])
                world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (entry,)))


def failed(row: Row, seen: Seen) -> list[str]:
    """The wants of a row that do not hold in a play."""
    reads, writes = seen.reads, seen.writes
    at_one = [{reads[one], reads[other]} for one, other in row.unless[1]]
    half = sum(each.kind != DECODE_KIND for each in row.fleet) / 2
    wants = {
        "same": all(len({reads[name] for name in names}) == 1 for names in row.same),
        "differ": all(reads[one] != reads[other] for one, other in row.differ),
        "unless": all(len(servers) == 1 or row.unless[0] in servers for servers in at_one),
        "few": len({reads[name] for name in row.few}) <= half,
        "reads": all(reads[name] in servers for name, servers in row.reads.items()),
        "writes": all(writes.get(name) in servers for name, servers in row.writes.items()),
        "sends": all(seen.sends[name] == often for name, often in row.sends.items()),
        "entries": row.entries in (None, seen.entries),
    }
    return [want for want, holds in wants.items() if not holds]


def play(row: Row) -> set[str]:
    """All wants of a row that fail, over some seeds and routers."""
    plays = [Table(row, seed).seen for seed in range(SEEDS)]
    found = {want for seen in plays for want in failed(row, seen)}
    found |= {"agree" for name in row.agree if len({seen.reads[name] for seen in plays}) > 1}
    drawn = {name: {seen.writes[name] for seen in plays} for name in row.all_of}
    return found | ({"all_of"} if drawn != row.all_of else set())
