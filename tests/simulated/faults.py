"""A stormy day from a seed: faults in bursts, a calm after each in which every duty must be covered again."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from random import Random

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated.held import BrokenError, Held

BURSTS = 3
BURST_S = 8.0  # longer than two leases
COVERED_S = (
    9.0  # after a burst: silence (3.3 s) and lock (3.3 s) on a clock that is 10% slow, and asking again
)
MOST_MEMBERS = 9  # of most seeds; every 25th has up to 200


@dataclass
class Report:
    """What happened on one seed."""

    seed: int
    members: int
    broken: str = ""
    steps: int = 0
    begins: int = 0
    applied: int = 0
    refused: int = 0  # stale effects
    longest_s: float = 0.0  # to cover all duties after a burst
    faults: Counter[str] = field(default_factory=Counter)


def _members(random: Random, seed: int) -> int:
    return random.randrange(50, 201) if seed % 25 == 24 else random.randrange(3, MOST_MEMBERS + 1)


def _storm(held: Held, random: Random, faults: Counter[str]) -> None:
    """Plan one burst of faults; whatever it leaves is mended at its end."""
    world, network, names = held.world, held.world.network, held.names
    network.loss, network.double = random.choice((0, 0, 0.1, 0.4)), random.choice((0, 0.2))
    network.late = random.choice((0, 0, 0.1))
    for _ in range(random.randrange(1, 6)):
        at_s = world.true_s + random.uniform(0, BURST_S)
        name = random.choice([*names, *held.terms.acceptors, *held.terms.acceptors])
        some = random.sample(names, random.randrange(1, len(names)))
        rest = [each for each in names if each not in some]
        kind = random.choice(
            ("kill", "restart", "stop", "cut", "one_way", "restart_all", "give_up", "holder")
        )
        faults[kind] += 1
        if kind == "kill":
            world.at(at_s, partial(world.kill, name))
        elif kind == "restart":
            world.at(at_s, partial(world.start, name))
        elif kind == "restart_all":
            for each in held.terms.acceptors:
                again_s = at_s + random.uniform(0, 2)
                world.at(again_s, partial(world.start, each))
        elif kind == "give_up":
            world.at(at_s, partial(_give_up, held))
        elif kind in ("stop", "holder"):
            length_s = random.choice((0.5, 3.0, 4.0, 7.0))
            whom = "" if kind == "holder" else name
            world.at(at_s, partial(_stop, held, whom, length_s))
        else:
            world.at(at_s, partial(network.cut, some, rest, kind == "one_way"))


def _stop(held: Held, name: str, length_s: float) -> None:
    """Stop a member, or a holder, for so long."""
    process = held.world.processes.get(name or held.holder(held.duties[0]))
    if process is not None and process.alive and not process.stopped:
        process.stop()
        held.world.at(held.world.true_s + length_s, process.go_on)


def _give_up(held: Held) -> None:
    """A holder ends in good order."""
    process = held.world.processes.get(held.holder(held.duties[0]))
    if process is not None and not process.stopped:
        leases = held.leases[process.name]
        process.run(lambda: process.act(leases.release(process.clock_s(), held.duties[0])))


def play(seed: int, terms: LeaseTerms | None = None) -> Report:
    """One seed; a breach is in `broken`, with the moment."""
    random = Random(seed)
    count = _members(random, seed)
    names = [f"n{each}" for each in range(count)]
    voters = tuple(names[: 5 if count >= 5 and random.random() < 0.5 else 3])
    duties = ["planner", "prober", "replay/north"][: random.randrange(1, 4)]
    held = Held(seed, names, terms or LeaseTerms(voters), duties)
    report = Report(seed, count)
    try:
        held.start_all()
        for _ in range(BURSTS):
            report.longest_s = max(report.longest_s, held.covered_within(COVERED_S))
            _storm(held, random, report.faults)
            held.world.run_for(BURST_S + 2)  # the last restart of a burst may be 2 s late
            held.world.network.heal()
            for each in names:
                process = held.world.processes[each]
                if process.stopped:
                    process.go_on()
                if not process.alive:
                    held.world.start(each)
        report.longest_s = max(report.longest_s, held.covered_within(COVERED_S))
    except BrokenError as error:
        report.broken = str(error)
    report.steps, report.begins = held.world.steps, sum(held.begins.values())
    report.applied, report.refused = held.receiver.applied, held.receiver.fence.rejected
    return report
