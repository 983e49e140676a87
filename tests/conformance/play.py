"""Runs a conformance row against the routing policy and reports the expectations that failed."""

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

SEED_COUNT = 12  # runs of a row, each with another router and seed
AVAILABILITIES = {"leaves": Availability.REMOVED, "drains": Availability.DRAINING, "up": Availability.UP}


@dataclass
class Placements:
    """The last prefill and decode server of each request, and its number of attempts."""

    reads: dict[str, str] = field(default_factory=dict)
    writes: dict[str, str] = field(default_factory=dict)
    sends: dict[str, int] = field(default_factory=dict)
    entries: int = 0


def key_for(field_name: str, value: Any, fleet: tuple[ServerEntry, ...], reads: Mapping[str, str]) -> Any:
    """Finds a key that rendezvous hashing maps to the wanted server, by trial with new routers."""
    if not isinstance(value, HashTo | OtherHash):
        return value
    for key in range(1, 200):
        harness = RouterHarness(fleet)
        harness.request("x", **{field_name: key})
        if (
            (harness.server_of["x"] == value.server)
            if isinstance(value, HashTo)
            else (harness.server_of["x"] != reads[value.request])
        ):
            return key
    raise AssertionError(f"no key from 1 to 199 hashes to the wanted server: {value}")


class RowRun:
    """One run of a row's steps against one router."""

    def __init__(self, row: Row, seed: int) -> None:
        self.row, self.placements = row, Placements()
        self.harness = RouterHarness(row.fleet, seed=seed, router=seed, routers=SEED_COUNT)
        self.entries = {each.server: each for each in row.fleet}
        for step in row.steps:
            self._perform(step)
            self._record_placements()
        self.placements.entries = len(self.harness.policy.affinities.by_session)

    def _record_placements(self) -> None:
        """Records the current server of each request."""
        for name, server in self.harness.server_of.items():
            if (kind := self.entries[server].kind) != DECODE_KIND:
                self.placements.reads[name] = server
            if kind in (DECODE_KIND, MIXED_KIND):
                self.placements.writes[name] = server
            self.placements.sends[name] = self.harness.attempts[name] + 1

    def _perform(self, step: Step) -> None:
        harness, name = self.harness, step.name
        match step.what:
            case "ask":
                fleet, reads = self.row.fleet, self.placements.reads
                harness.request(
                    name, **{k: key_for(k, value, fleet, reads) for k, value in step.fields.items()}
                )
                self._record_placements()
            case "read":
                harness.outcome(name, AttemptStatus.PREFILLED)
            case "ends":
                harness.first_token(name)
                harness.outcome(name, AttemptStatus.OK, request_ended=True)
            case "serve":
                for event in ("ask", "read", "ends"):
                    self._perform(replace(step, what=event))
            case "cancelled":
                harness.outcome(name, AttemptStatus.CANCELLED)
            case "rest":
                harness.advance(step.fields["ms"])
            case _:
                # "@a" is the server that prefilled request a.
                server = self.placements.reads[name[1:]] if name.startswith("@") else name
                entry = replace(self.entries[server], availability=AVAILABILITIES[step.what])
                harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (entry,)))


def failed_expectations(row: Row, seen: Placements) -> list[str]:
    """The expectations of a row that a run does not meet."""
    reads, writes = seen.reads, seen.writes
    pair_servers = [{reads[one], reads[other]} for one, other in row.unless[1]]
    half = sum(each.kind != DECODE_KIND for each in row.fleet) / 2
    met = {
        "same": all(len({reads[name] for name in names}) == 1 for names in row.same),
        "differ": all(reads[one] != reads[other] for one, other in row.differ),
        "unless": all(len(servers) == 1 or row.unless[0] in servers for servers in pair_servers),
        "few": len({reads[name] for name in row.few}) <= half,
        "reads": all(reads[name] in servers for name, servers in row.reads.items()),
        "writes": all(writes.get(name) in servers for name, servers in row.writes.items()),
        "sends": all(seen.sends[name] == count for name, count in row.sends.items()),
        "entries": row.entries in (None, seen.entries),
    }
    return [expectation for expectation, holds in met.items() if not holds]


def failed_over_seeds(row: Row) -> set[str]:
    """The expectations of a row that fail with some seed and router."""
    runs = [RowRun(row, seed).placements for seed in range(SEED_COUNT)]
    found = {expectation for seen in runs for expectation in failed_expectations(row, seen)}
    found |= {"agree" for name in row.agree if len({seen.reads[name] for seen in runs}) > 1}
    used = {name: {seen.writes[name] for seen in runs} for name in row.all_of}
    return found | ({"all_of"} if used != row.all_of else set())
