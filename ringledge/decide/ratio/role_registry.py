"""Which role each server has now, as one conductor sees it; free of I/O and clocks.

The planner's rows come late, out of order, twice or never. A server whose kind reads or writes does that,
whatever a row says; one that does both follows its row, and does both where there is none. A change passes
through: asked (nothing new of the old role from here), draining (told to all by now: waiting states are
fetched or let go, streams end), changed, warming, back. Nothing that is under way is ever cut off here: what
a conductor with an older row still sends is work that the server can do.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.role_records import newer
from ringledge.decide.ratio.settings import RatioConfig

MOST_ROWS = 4096  # kept, for servers that no list names yet too
DOES = {"read": frozenset({"read"}), "write": frozenset({"write"}), "both": frozenset({"read", "write"})}
WARM = 0.9  # of its capacity: so warm counts as back


class State(Enum):
    """How far a server is with the change to its role."""

    ASKED = "asked"
    DRAINING = "draining"
    CHANGED = "changed"
    WARMING = "warming"
    BACK = "back"


@dataclass(slots=True)
class Place:
    """One server's role and what is left of the one before."""

    kind: str  # by the list
    role: str = "both"  # that it has, or changes to
    before: frozenset[str] = DOES["both"]  # what may still be under way there from before
    state: State = State.BACK
    state_s: float = -inf  # since when
    asked_s: float = -inf  # when its role was changed last; -inf: never
    reads: int = 0  # of this conductor, under way
    streams: int = 0
    waiting: int = 0  # read states of all members
    warmth: float = 1.0

    def open(self) -> frozenset[str]:
        """What new work it gets from here."""
        if self.kind != "both":
            return DOES[self.kind]
        does = DOES[self.role]
        return does & self.before if self.state in (State.ASKED, State.DRAINING) else does

    def left(self) -> bool:
        """Whether work of a role that it gives up is known to be there."""
        dropped = self.before - DOES[self.role]
        reads, streams = "read" in dropped, "write" in dropped
        return (reads and self.reads + self.waiting > 0) or (streams and self.streams > 0)


class RoleBook:
    """The roles of all servers, from rows, the list, and what is under way."""

    def __init__(self, settings: RatioConfig) -> None:
        self.settings = settings
        self.rows = dict[str, RoleAssignment]()  # the newest of each server
        self.places = dict[str, Place]()  # servers on the list
        self.token = 0  # the highest that was seen: whatever is below comes from a planner that was followed
        self.refused = 0  # rows below it, or older than the one in force

    def receive(self, now_s: float, server: str, row: RoleAssignment) -> bool:
        """Take a row; False where it is refused."""
        if row.token < self.token or not newer(row, self.rows.get(server)):
            self.refused += row != self.rows.get(server)
            return False
        if server not in self.rows and len(self.rows) >= MOST_ROWS:
            self.refused += 1
            return False
        self.token = row.token
        self.rows[server] = row
        if server in self.places:
            self._ask(now_s, self.places[server], row.role)
        return True

    def listed(self, now_s: float, kinds: Mapping[str, str]) -> None:
        """Take the list: what each server can do by its kind (read, write, both); others are gone."""
        for server in self.places.keys() - kinds.keys():
            del self.places[server]
        for server, kind in kinds.items():
            place = self.places.get(server)
            if place is None:  # nothing of ours is under way there: its row holds at once
                row = self.rows.get(server)
                role = row.role if row is not None and kind == "both" else kind
                self.places[server] = Place(kind, role, DOES[role], asked_s=now_s if row else -inf)
            elif place.kind != kind:  # the list leads: at once, for a server takes no more than its kind does
                place.kind, place.state, place.state_s = kind, State.BACK, now_s
                row = self.rows.get(server)
                place.role = row.role if row is not None and kind == "both" else kind
                place.before, place.asked_s = DOES[place.role], now_s

    def work(self, server: str, reads: int, streams: int) -> None:
        """What this conductor has under way at a server."""
        if server in self.places:
            self.places[server].reads, self.places[server].streams = reads, streams

    def seen(self, server: str, waiting: int, warmth: float) -> None:
        """What all members tell of a server: read states that wait there, and how warm it is."""
        if server in self.places:
            self.places[server].waiting, self.places[server].warmth = waiting, warmth

    def tick(self, now_s: float) -> list[tuple[str, State]]:
        """Go on with what is due; gives the servers that went on, and to which state."""
        moved = []
        for server, place in self.places.items():
            state = self._next(now_s, place)
            if state is not place.state:
                place.state, place.state_s = state, now_s
                if state is State.CHANGED:
                    place.before = DOES[place.role]
                moved.append((server, state))
        return moved

    def roles(self) -> dict[str, frozenset[str]]:
        """What new work each server on the list gets from here.

        Where a role would be open nowhere, each server that can do it gets it again: a plan that came to
        pieces on its way may cost speed, but never leaves requests without a server.
        """
        roles = {server: place.open() for server, place in self.places.items()}
        for role in DOES["both"]:
            if not any(role in does for does in roles.values()):
                for server, place in self.places.items():
                    roles[server] |= DOES[place.kind] & {role}
        return roles

    def shut(self) -> tuple[frozenset[str], frozenset[str]]:
        """Servers that get no new reads, and those that get no new writes, as the policy wants to hear."""
        roles = self.roles()
        reads, writes = (
            frozenset(server for server, does in roles.items() if role not in does)
            for role in ("read", "write")
        )
        return reads, writes

    def changing(self) -> set[str]:
        """Servers whose change has not come to its end."""
        return {server for server, place in self.places.items() if place.state is not State.BACK}

    def told(self, servers: Iterable[str]) -> dict[str, str]:
        """The role that each of these servers has or changes to."""
        return {server: self.places[server].role for server in servers if server in self.places}

    def _ask(self, now_s: float, place: Place, role: str) -> None:
        if place.kind != "both" or role == place.role:
            return  # told anew by another planner: a change that runs goes on
        running = place.state in (State.ASKED, State.DRAINING)
        # Turned back while it drains, it may hold work of either role: only what both do stays open.
        place.before = (place.before | DOES[place.role]) if running else DOES[place.role]
        place.role, place.asked_s = role, now_s
        place.state, place.state_s = State.ASKED, now_s

    def _next(self, now_s: float, place: Place) -> State:
        settings, here_s = self.settings, now_s - place.state_s
        if place.state is State.ASKED:
            return State.DRAINING if here_s >= settings.spread_s else State.ASKED
        if place.state is State.DRAINING:
            done = not place.left() or here_s >= settings.drain_s
            return State.CHANGED if done else State.DRAINING
        if place.state is State.CHANGED:
            return State.WARMING
        if place.state is State.WARMING:
            return State.BACK if here_s >= settings.warm_s and place.warmth >= WARM else self._at_last(here_s)
        return State.BACK

    def _at_last(self, here_s: float) -> State:
        """Warmth that nobody tells right must not hold a rack's changes up for ever."""
        return State.BACK if here_s >= 2 * self.settings.warm_s else State.WARMING
