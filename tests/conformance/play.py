"""Runs a conformance row against the policy and reports which of its expectations failed."""

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
from tests.conformance.rows import HashTo, OtherHash, Row, Step
from tests.router_harness import DECODE_KIND, MIXED_KIND, RouterHarness

SEED_COUNT = 12  # plays of a row, each at another router with a seed of its own
AVAILABILITIES = {"leaves": Availability.REMOVED, "drains": Availability.DRAINING, "up": Availability.UP}


@dataclass
class Placements:
    """Where each request was prefilled and decoded last, and its number of attempts."""

    reads: dict[str, str] = field(default_factory=dict)
    writes: dict[str, str] = field(default_factory=dict)
    sends: dict[str, int] = field(default_factory=dict)
    entries: int = 0


def key_for(field_name: str, value: Any, fleet: tuple[ServerEntry, ...], reads: Mapping[str, str]) -> Any:
    """A key that the hash maps as wanted, found with a router that knows nothing else."""
    if not isinstance(value, HashTo | OtherHash):
        return value
    for key in range(1, 200):
        world = RouterHarness(fleet)
        world.request("x", **{field_name: key})
        if (
            (world.server_of["x"] == value.server)
            if isinstance(value, HashTo)
            else (world.server_of["x"] != reads[value.request])
        ):
            return key
    raise AssertionError(f"the hash puts no key there: {value}")


class RowRun:
    """One run of a row's steps against one router."""

    def __init__(self, row: Row, seed: int) -> None:
        self.row, self.placements = row, Placements()
        self.world = RouterHarness(row.fleet, seed=seed, router=seed, routers=SEED_COUNT)
        self.entries = {each.server: each for each in row.fleet}
        for step in row.steps:
            self._perform(step)
            self._record_placements()
        self.placements.entries = len(self.world.policy.affinities.by_session)

    def _record_placements(self) -> None:
        """Record where each request is now."""
        for name, server in self.world.server_of.items():
            if (kind := self.entries[server].kind) != DECODE_KIND:
                self.placements.reads[name] = server
            if kind in (DECODE_KIND, MIXED_KIND):
                self.placements.writes[name] = server
            self.placements.sends[name] = self.world.attempts[name] + 1

    def _perform(self, step: Step) -> None:
        world, name = self.world, step.name
        match step.what:
            case "ask":
                fleet, reads = self.row.fleet, self.placements.reads
                world.request(
                    name, **{k: key_for(k, value, fleet, reads) for k, value in step.fields.items()}
                )
                self._record_placements()
            case "read":
                world.outcome(name, AttemptStatus.PREFILLED)
            case "ends":
                world.first_token(name)
                world.outcome(name, AttemptStatus.OK, request_ended=True)
            case "serve":
                for event in ("ask", "read", "ends"):
                    self._perform(replace(step, what=event))
            case "cancelled":
                world.outcome(name, AttemptStatus.CANCELLED)
            case "rest":
                world.advance(step.fields["ms"])
            case _:
                server = self.placements.reads[name[1:]] if name.startswith("@") else name  # who read that
                entry = replace(self.entries[server], availability=AVAILABILITIES[step.what])
                world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (entry,)))


def failed_expectations(row: Row, seen: Placements) -> list[str]:
    """The expectations of a row that a run does not meet."""
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


def failed_over_seeds(row: Row) -> set[str]:
    """The expectations of a row that fail with some seed and router."""
    plays = [RowRun(row, seed).placements for seed in range(SEED_COUNT)]
    found = {want for seen in plays for want in failed_expectations(row, seen)}
    found |= {"agree" for name in row.agree if len({seen.reads[name] for seen in plays}) > 1}
    drawn = {name: {seen.writes[name] for seen in plays} for name in row.all_of}
    return found | ({"all_of"} if drawn != row.all_of else set())
