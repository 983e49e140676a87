"""Drives the role planner and the role registry with scripted random reports from fixed seeds."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from ringledge.decide.interface import ClassDemand, RoleAssignment, ServerObservation
from ringledge.decide.ratio.planner import ListedServer, Observations, RolePlanner
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from tests.compatibility.rendering import render

SEEDS = range(6)
ROUNDS = 160
SITES = ("north", "south")
MEMBERS = dict.fromkeys(("c1", "c2", "c3"), "north") | dict.fromkeys(("c4", "c5", "c6"), "south")


def _servers(rng: Random) -> list[ListedServer]:
    return [
        ListedServer(
            f"s{number}",
            rng.choice(SITES),
            f"rack{number % 3}",
            rng.choice(["read", "write", "both", "both"]),
        )
        for number in range(14)
    ]


def _demand(rng: Random, mix: float) -> dict[tuple[str, str], ClassDemand]:
    """The demand of two request classes as reported by members; some reports are implausible or missing."""
    demand = {}
    for member in MEMBERS:
        for name in ("query", "booking"):
            arrivals = rng.uniform(5, 30)
            scale = 1e13 if rng.random() < 0.02 else 1.0
            demand[member, name] = ClassDemand(arrivals, arrivals * 900 * mix * scale, arrivals * 300 / mix)
    return {key: each for key, each in demand.items() if rng.random() < 0.9}


def _observations(rng: Random, listed: list[ListedServer]) -> dict[tuple[str, str], ServerObservation]:
    return {
        (member, each.name): ServerObservation(
            rng.uniform(6000, 9000),
            rng.choice([0.0, rng.uniform(1500, 2500)]),
            0.4 if rng.random() < 0.05 else 0.95,
            rng.randrange(3),
        )
        for member in MEMBERS
        for each in listed
        if rng.random() < 0.7
    }


def _steps(seed: int) -> Iterator[str]:
    rng, now_s = Random(seed), 100.0
    settings = RatioConfig(min_dwell_s=rng.choice([11.0, 30.0]), warm_up_s=rng.choice([2.0, 5.0]))
    registry = RoleRegistry(settings)
    planner, listed, mix, token = RolePlanner(settings, registry), _servers(rng), 1.0, 1
    registry.update_servers(now_s, {each.name: each.kind for each in listed})
    planner.begin(now_s, token)
    for number in range(ROUNDS):
        now_s += rng.uniform(0.8, 1.3)
        swings = seed % 2 and number // 12 % 2
        if seed % 2:
            mix = 2.5 if swings else 0.5
        elif rng.random() < 0.06:
            mix = rng.choice([0.3, 1.0, 3.0])
        if rng.random() < 0.03:
            token += rng.randrange(1, 5)
            planner.begin(now_s, token)
        if rng.random() < 0.05:
            listed = [each for each in listed if rng.random() < 0.95] or listed
            registry.update_servers(now_s, {each.name: each.kind for each in listed})
        for each in rng.sample(listed, min(3, len(listed))):
            registry.update_in_flight(each.name, rng.randrange(3), rng.randrange(3))
        observations = Observations(_demand(rng, mix), _observations(rng, listed), MEMBERS)
        result = planner.run_round(now_s, observations, listed)
        rows = {**planner.reissued_assignments(now_s), **result.assignments}
        accepted_now = [registry.receive(now_s, server, row) for server, row in sorted(rows.items())]
        if rng.random() < 0.1:  # an assignment of a replaced planner, or without a token
            late = RoleAssignment(
                rng.choice([0, 1, token]), rng.randrange(4), rng.choice(["read", "write", "both"])
            )
            accepted_now.append(registry.receive(now_s, rng.choice(listed).name, late))
        advanced = registry.tick(now_s)
        yield f"{now_s!r} {render(result)} {render(accepted_now)} {render(advanced)}"
        accepted = {name: sorted(work) for name, work in sorted(registry.accepted_work().items())}
        excluded, changing = render(registry.excluded_servers()), render(registry.changing_servers())
        yield f"{render(accepted)} {excluded} {changing} {registry.rejected}"


def ratio_steps() -> Iterator[str]:
    """The steps of the trace."""
    for seed in SEEDS:
        yield from _steps(seed)
