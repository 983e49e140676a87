"""Which servers read and which write: the planner's look, from facts to rows; free of I/O and clocks.

One planner at a time decides for all sites, with the token of its duty. It holds nothing that the rows and
the measures don't give again: another that takes over tells the rows in force anew under its own token, lets
changes under way come to their end, measures for a while, and goes on.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from ringledge.decide.interface import ClassDemand, RoleAssignment, ServerObservation
from ringledge.decide.ratio.demand_estimate import Estimate, Need
from ringledge.decide.ratio.plan import Plan, plan
from ringledge.decide.ratio.role_registry import WARM, RoleBook, State
from ringledge.decide.ratio.service_rates import Pace, Paces
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import Box, bears


@dataclass(frozen=True, slots=True)
class Listed:
    """A server on the list."""

    name: str
    site: str
    rack: str
    kind: str  # read, write, both


@dataclass(frozen=True, slots=True)
class Heard:
    """What members tell, as one look finds it."""

    demand: Mapping[tuple[str, str], ClassDemand]  # by member and class
    seen: Mapping[tuple[str, str], ServerObservation]  # by member and server
    members: Mapping[str, str]  # the site of each member that is there


@dataclass(slots=True)
class Looked:
    """What a look has come to."""

    rows: dict[str, RoleAssignment] = field(default_factory=dict)  # to be told, by server
    plans: dict[str, Plan] = field(default_factory=dict)  # by site
    needs: dict[str, Need] = field(default_factory=dict)


class Ratio:
    """The planner's decisions while it holds its duty."""

    def __init__(self, settings: RatioConfig, book: RoleBook) -> None:
        """`book`: the roles as this member's conductor has them, which hears the rows told here as well."""
        self.settings, self.book = settings, book
        self.token, self.number = 0, 0
        self._since_s = inf
        self._estimate, self._paces = Estimate(settings), Paces(settings)

    def begin(self, now_s: float, token: int) -> None:
        """Take the duty up."""
        self.token, self.number, self._since_s = token, 1, now_s
        self._estimate, self._paces = Estimate(self.settings), Paces(self.settings)

    def again(self, now_s: float) -> dict[str, RoleAssignment]:
        """Rows in force that are still to be told under the present token.

        None at first: what the planner before told last may still be on its way here, and to tell what was
        in force before it would turn a change back that others have begun.
        """
        if now_s - self._since_s < 2 * self.settings.spread_s:
            return {}
        old = sorted((server, row) for server, row in self.book.rows.items() if row.token < self.token)
        return {server: RoleAssignment(self.token, 1, row.role) for server, row in old}

    def look(self, now_s: float, heard: Heard, listed: Sequence[Listed]) -> Looked:
        """Measure, and decide what changes now; rows are to be told and given to the book."""
        looked = Looked()
        paces = self._paces.look(now_s, heard.seen, {each.name for each in listed}, self.book.changing())
        for name, pace in paces.items():
            self.book.seen(name, pace.waiting, pace.warmth)
        boxes = [self._box(now_s, each, paces[each.name]) for each in listed if each.name in self.book.places]
        sites: dict[str, list[Box]] = {each.site: [] for each in listed}
        for box in boxes:
            sites[box.site].append(box)
        cold = {site: self._cold(now_s, its, paces) for site, its in sites.items()}
        looked.needs = self._estimate.look(now_s, heard.demand, heard.members, cold)
        if now_s - self._since_s < 2 * self.settings.fast_s:
            return looked  # one that is new measures first
        for site, need in looked.needs.items():
            if sites.get(site):
                looked.plans[site] = plan(sites[site], need, self.settings)
        moves = {server: role for each in looked.plans.values() for server, role in each.moves.items()}
        if moves:
            self.number += 1
            looked.rows = {
                server: RoleAssignment(self.token, self.number, role) for server, role in moves.items()
            }
        return looked

    def _box(self, now_s: float, listed: Listed, pace: Pace) -> Box:
        place, warmth = self.book.places[listed.name], pace.warmth
        changing = place.state is not State.BACK
        free = listed.kind == "both" and now_s - place.asked_s >= self.settings.least_stay_s
        role = place.role if listed.kind == "both" else listed.kind
        bearing = 1.0 if changing else warmth  # one on its way counts as what it will be
        read, write = pace.read * bearing, pace.write * bearing
        its = (listed.name, listed.site, listed.rack, listed.kind)
        return Box(*its, role, changing, free, warmth >= WARM, read, write)

    def _cold(self, now_s: float, boxes: Sequence[Box], paces: Mapping[str, Pace]) -> float:
        """The part of a site's reading that is cold since its server has come to it lately."""
        lately = [
            box for box in boxes if now_s - self.book.places[box.name].asked_s < 2 * self.settings.change_s
        ]
        cold = sum(bears([box], "read") * (1 - paces[box.name].warmth) for box in lately)
        return cold / max(bears(boxes, "read"), 1e-9)
