"""How many of a site's servers should read; free of I/O and clocks.

What counts is the part of the demand that both roles can serve, each request needing both, in the mean over
the mixes that have to be served. While what is there comes near enough to the best, it is left as it is.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ringledge.decide.ratio.demand_estimate import FEW
from ringledge.decide.ratio.settings import RatioConfig

Spans = Sequence[tuple[float, float]]  # tokens per s to read and to write, a look each

SHARED = 0.5  # of what a server gets through in a role that counts while it does both


@dataclass(frozen=True, slots=True)
class Box:
    """One server as the planner sees it."""

    name: str
    site: str
    rack: str
    kind: str  # by the list: read, write, both
    role: str  # that it has, or changes to
    changing: bool  # on its way to it
    free: bool  # its kind does both, and it has had its role for the least stay
    warm: bool
    read: float  # tokens per s that it bears, reading alone, as warm as it is
    write: float  # and writing alone

    def bears(self, role: str) -> float:
        """What it adds to a role, were its change over."""
        pace = self.read if role == "read" else self.write
        return pace if self.role == role else SHARED * pace if self.role == "both" else 0.0


def bears(boxes: Iterable[Box], role: str) -> float:
    """Tokens per s that servers get through in a role."""
    return sum(box.bears(role) for box in boxes)


def served(read: float, write: float, spans: Spans, settings: RatioConfig) -> float:
    """The part of the demand that both roles can serve.

    Of a mix that stays: what the shorter role bears with headroom. Of one that swings, look by look: what
    waits in one leg is done in the next, up to the wait that requests bear; the rest is lost.
    """
    if len(spans) == 1:
        return min(1.0, room(read, write, spans[0], settings.headroom))
    bears, behind, sum_of_parts = (read, write), [0.0, 0.0], 0.0
    for needs in spans:
        part = 1.0
        for role, (bear, need) in enumerate(zip(bears, needs, strict=True)):
            most = bear * settings.wait_s
            behind[role] = max(0.0, behind[role] + (need - bear) * settings.look_s)
            if behind[role] > most:
                behind[role], part = most, min(part, bear / max(need, FEW))
        sum_of_parts += part
    return sum_of_parts / len(spans)


def room(read: float, write: float, need: tuple[float, float], headroom: float) -> float:
    """How many times the demand the role that is shorter can serve."""
    return headroom * min(read / max(need[0], FEW), write / max(need[1], FEW))


def split(boxes: Sequence[Box], spans: Spans, settings: RatioConfig) -> set[str]:
    """The servers of both kinds that should read for the most demand served, then for the most room.

    Those that read well against how they write come first, so one number tells the whole split.
    """
    mixed = sorted((box for box in boxes if box.kind == "both"), key=advantage)
    read = sum(box.read for box in boxes if box.kind == "read")
    write = sum(box.write for box in boxes if box.kind != "read")
    best, chosen = (-1.0, -1.0), 0
    for count in range(len(mixed) + 1):
        if count:
            read, write = read + mixed[count - 1].read, write - mixed[count - 1].write
        rooms = [min(2.0, room(read, write, need, settings.headroom)) for need in spans]
        found = (round(served(read, write, spans, settings), 6), round(sum(rooms) / len(rooms), 6))
        if found > best:
            best, chosen = found, count
    return {box.name for box in mixed[:chosen]}


def advantage(box: Box) -> tuple[float, str]:
    """Sorts by how much better a server reads than writes, against others."""
    return (-box.read / max(box.write, FEW), box.name)


def covered(boxes: Sequence[Box], role: str, need: float) -> float:
    """The part of a role's need that is left when the rack that adds most to it is lost."""
    racks = defaultdict[str, float](float)
    for box in boxes:
        racks[box.rack] += box.bears(role)
    return (sum(racks.values()) - max(racks.values(), default=0.0)) / max(need, FEW)
