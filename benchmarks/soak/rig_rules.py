"""A soak whose own processes failed has shown nothing: its run counts as failed."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from benchmarks.soak.plan import LOAD_S, Plan
from benchmarks.soak.process_rules import Violation

MIN_LOAD_FRACTION = 0.5  # of the clients that the plan has in the mean; each sends a request at least


@dataclass(frozen=True, slots=True)
class EndedProcess:
    """A process of the rig that ended by itself."""

    name: str
    code: int
    last_lines: str  # of the errors of all processes


def violations_of_rig(plan: Plan, requests: int, ended: Iterable[EndedProcess]) -> Iterator[Violation]:
    """What makes a run worthless: a process that failed, or far fewer requests than planned."""
    for process in ended:
        yield Violation("rig", process.name, f"ended with {process.code}: {process.last_lines}")
    planned = len(plan.conductors) * plan.rate / 2 * LOAD_S
    if requests < MIN_LOAD_FRACTION * planned:
        yield Violation("rig", "clients", f"{requests} requests of {planned:.0f} clients")
