"""Which servers of a site change their role now; free of I/O and clocks.

A change costs what the server would have done meanwhile. So few move: only where enough is gained, for as
long as it is expected to last, one at a time in a rack, and never so that the loss of a rack, a release, or
cold servers would leave a role short that was not.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ringledge.decide.ratio.demand_estimate import Need
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import Box, advantage, bears, covered, served, split

DOUBT = 0.5  # deviations of the estimate that a gain must exceed: at one, ten servers follow a shift too late
OTHER = {"read": "write", "write": "read"}


@dataclass(frozen=True, slots=True)
class Plan:
    """What a site's look has come to."""

    moves: dict[str, str]  # new roles by server
    wanted: int  # servers that should read
    why: str  # in a word, for the log


def plan(boxes: Sequence[Box], need: Need, settings: RatioConfig) -> Plan:
    """The changes that a site should begin now."""
    target = split(boxes, need.spans, settings)
    if why := held(boxes, need, settings):
        return Plan({}, len(target), why)
    steady = [box for box in boxes if not box.changing]
    now = served(bears(boxes, "read"), bears(boxes, "write"), need.spans, settings)
    roles = {box.name: "read" if box.name in target else "write" for box in boxes if box.kind == "both"}
    aim = moved(boxes, roles)
    gain = served(bears(aim, "read"), bears(aim, "write"), need.spans, settings) - now
    undecided = any(box.role == "both" and box.kind == "both" for box in boxes)
    if gain <= max(settings.least_gain, DOUBT * need.doubt) and not undecided:  # less may be chance
        return Plan({}, len(target), "near enough")
    moves = choose(boxes, target, need)
    if not moves:
        return Plan({}, len(target), "none may move")
    during = [box for box in steady if box.name not in moves]
    dip = served(bears(steady, "read"), bears(steady, "write"), need.spans, settings)
    dip -= served(bears(during, "read"), bears(during, "write"), need.spans, settings)
    if not undecided and gain * (need.lasts_s - settings.change_s) <= max(0.0, dip) * settings.change_s:
        return Plan({}, len(target), "would not pay")
    return Plan(moves, len(target), "moves")


def held(boxes: Sequence[Box], need: Need, settings: RatioConfig) -> str:
    """Why nothing may move in a site, if so."""
    cold = sum(not box.warm and not box.changing for box in boxes)
    if cold > settings.release_part * len(boxes):
        return "release"
    if need.absent > need.fresh:
        return "too few heard"
    if not bears(boxes, "read") or not bears(boxes, "write"):
        return "paces not known"
    return ""


def choose(boxes: Sequence[Box], target: set[str], need: Need) -> dict[str, str]:
    """Servers that may move toward a target's number, one a rack, racks with least of the role first.

    Servers that do both are decided first, so that none that has a role has to change it for their sake.
    """
    mixed = sorted((box for box in boxes if box.kind == "both"), key=advantage)
    short = len(target) - sum(box.role == "read" for box in mixed)
    role, left = ("read" if short > 0 else "write"), abs(short)
    wanted = {box.name: role for box in mixed if box.role == OTHER[role]}
    if undecided := [box.name for box in mixed if box.role == "both"]:
        left = len(undecided)
        wanted = {name: "read" if at < short else "write" for at, name in enumerate(undecided)}
    busy, moves = {box.rack for box in boxes if box.changing}, dict[str, str]()
    free = [box for box in mixed if box.name in wanted and box.free and not box.changing]
    for box in sorted(free, key=lambda box: (beside(box, boxes, wanted[box.name]), box.name)):
        others = moved(boxes, moves, changing=True)
        if len(moves) < left and box.rack not in busy and allowed(others, box, wanted[box.name], need):
            moves[box.name] = wanted[box.name]
            busy.add(box.rack)
    return moves


def beside(box: Box, boxes: Sequence[Box], role: str) -> float:
    """What a server's rack bears of a role."""
    return bears((each for each in boxes if each.rack == box.rack), role)


def allowed(boxes: Sequence[Box], mover: Box, new: str, need: Need) -> bool:
    """Whether a server may leave its old role, with all changes under way as they are."""
    after = moved(boxes, {mover.name: new}, changing=True)
    for old in {"read", "write"} - {new}:
        if not mover.bears(old):
            continue
        stay = [box for box in after if not box.changing and box.bears(old)]
        if not any(box.warm for box in stay):
            return False  # the last warm one
        needs = {"read": need.read * (1 + need.doubt), "write": need.write * (1 + need.doubt)}
        # What covers the loss of the largest rack stays, unless the role that gains is still worse off.
        gains = covered(boxes, new, needs[new])
        if covered(stay, old, needs[old]) < min(1.0, gains):
            return False
    return True


def moved(boxes: Sequence[Box], roles: dict[str, str], changing: bool | None = None) -> list[Box]:
    """The servers with some roles changed; where `changing` is told, those that do change carry it."""
    return [
        replace(box, role=roles[box.name], changing=box.changing if changing is None else changing)
        if box.name in roles and roles[box.name] != box.role
        else box
        for box in boxes
    ]
