"""Five sites that replay into one fleet beside live traffic, in virtual time on the program's own deciders.

Readers serve first come first served at a pace, the one with the least to read is chosen; a writer has
places and a pace a stream. A queued request is refused where a live one would be: no reader would be
through with it in time, or no writer has a place. Facts between sites come late and some are lost. All from
a seed.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from ringledge.decide.replay.capacity_loans import CapacityLoans, LoanGrant, LoanRequest
from ringledge.decide.replay.rate_control import Capacity, RateController, spare_capacity
from ringledge.decide.replay.scheduler import QueueHead, ReplayScheduler, SendOutcome

READERS, READ_PACE = 24, 8_000.0  # servers; tokens per s of each
WRITERS, PLACES, TOKEN_S = 24, 16, 0.02  # servers; streams of each; s a token
RESERVE, PART = 0.2, 0.5  # of deploy/queue.toml
WAIT_S = 2.0  # of reading ahead of it with which a request is refused
TICK_S, FACTS_S = 0.1, 1.0
MOST = 32  # entries of a site under way
WINDOW_S = 5.0  # over which live demand is told


@dataclass(slots=True)
class Site:
    """One site: its queue by tenant, and its replay."""

    name: str
    queue: dict[str, list[QueueHead]]
    replay: ReplayScheduler
    lending: CapacityLoans
    open: Callable[[float], bool]
    want: float = 0.0
    first_s: float = -1.0  # when its first one was sent
    ended_s: float = -1.0  # when its queue was empty
    refused: int = 0
    log: list[tuple[float, float, str]] = field(default_factory=list)  # when, work served, tenant

    def left(self) -> int:
        """Entries that wait."""
        return sum(len(each) for each in self.queue.values())


class World:
    """The fleet, its live traffic and its sites."""

    def __init__(self, seed: int, live: float, for_s: float, swing: float = 0.0) -> None:
        """`live`: part of the readers' capacity that live traffic asks for; `swing`: doubled for a while."""
        self.rng, self.for_s, self.live, self.swing = random.Random(seed), for_s, live, swing
        self.facts = random.Random(seed + 1)  # of its own: live traffic is the same with and without replay
        self.now_s, self.free_s = 0.0, [0.0] * READERS
        self.busy, self.firsts = 0, list[float]()
        self.live_refused = 0
        self.demand: list[tuple[float, float, float]] = []
        self.sites: dict[str, Site] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.sends: list[tuple[float, str]] = []
        self.lends = True  # facts between sites come at all

    def add(
        self,
        name: str,
        weights: dict[str, float],
        queue: dict[str, list[QueueHead]],
        open_: Callable[[float], bool] = lambda now_s: True,
    ) -> None:
        """One more site with what it has queued."""
        rng = random.Random(f"{name}{self.facts.random()}")
        lending = CapacityLoans(name, weights, 1, -100.0)
        self.sites[name] = Site(name, queue, ReplayScheduler(RateController(rng), MOST), lending, open_)

    def at(self, at_s: float, call: Callable[[], None]) -> None:
        """Have something happen."""
        heapq.heappush(self.events, (at_s, next(self._numbers), call))

    def run(self) -> None:
        """Play it to its end."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._tick)
        self.at(0.0, self._tell)
        while self.events and self.events[0][0] < self.for_s:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    # Live traffic.

    def _arrive(self) -> None:
        prompt, out = min(12_000.0, self.rng.lognormvariate(7.0, 0.8)), self.rng.uniform(20, 300)
        load = self.live * (2 if self.swing and self.swing <= self.now_s < self.swing + 10 else 1)
        per_s = READERS * READ_PACE * load / 1510.0  # the mean of those prompts is 1,510
        self.at(self.now_s + self.rng.expovariate(per_s), self._arrive)
        self.demand.append((self.now_s, prompt, out))
        came_s = self.now_s

        def first(at_s: float) -> None:
            self.firsts.append(at_s - came_s)

        if not self._serve(prompt, out, first):
            self.live_refused += 1

    def _serve(self, prompt: float, out: float, first: Callable[[float], None]) -> bool:
        """Read and write one; False where it is refused. `first` is told when the first token comes."""
        reader = min(range(READERS), key=self.free_s.__getitem__)
        begins_s = max(self.now_s, self.free_s[reader])
        if begins_s - self.now_s > WAIT_S or self.busy >= WRITERS * PLACES:
            return False
        self.free_s[reader] = read_s = begins_s + prompt / READ_PACE
        self.busy += 1

        def written() -> None:
            self.busy -= 1

        self.at(read_s, lambda: first(self.now_s))
        self.at(read_s + out * TOKEN_S, written)
        return True

    # Replay.

    def room(self) -> Capacity:
        """What the facts say; live traffic as it was over the last seconds."""
        since_s = max(0.1, min(WINDOW_S, self.now_s))
        self.demand = [each for each in self.demand if self.now_s - each[0] <= WINDOW_S]
        reading = sum(prompt for _, prompt, _ in self.demand) / since_s
        writing = sum(out for _, _, out in self.demand) / since_s
        return Capacity(READERS * READ_PACE, WRITERS * PLACES / TOKEN_S, reading, writing)

    def _tick(self) -> None:
        room = self.room()
        for site in self.sites.values():
            pace, left = (
                site.replay.rate_controller,
                spare_capacity(room, RESERVE, site.replay.decode_fraction(room.decode_fraction())),
            )
            if not site.open(self.now_s):
                pace.close()
                continue
            site.lending.update_demand(self.now_s, self._wish(site, left))
            pace.set_ceiling(
                self.now_s,
                None if left is None else left * PART * site.lending.available_fraction(self.now_s),
            )
            pace.open(self.now_s)
            heads = [
                head for queued in site.queue.values() for head in queued[: 8 + site.replay.in_flight_count]
            ]
            while (head := site.replay.choose_next(self.now_s, heads)) is not None:
                self._send(site, head)
                heads.remove(head)
        self.at(self.now_s + TICK_S, self._tick)

    def _wish(self, site: Site, left: float | None) -> float:
        if not site.left():
            return 0.0
        return (
            min(1.0, max(site.lending.own_fraction, 2 * site.replay.rate_controller.rate / (left * PART)))
            if left
            else 1.0
        )

    def _send(self, site: Site, head: QueueHead) -> None:
        self.sends.append((self.now_s, site.name))
        site.first_s = self.now_s if site.first_s < 0 else site.first_s
        out = head.work / 10

        def first(at_s: float) -> None:
            self.at(at_s + out * TOKEN_S, served)

        def served() -> None:
            site.queue[head.tenant].remove(head)
            site.replay.record_outcome(self.now_s, head.name, SendOutcome.SERVED, head.work, out)
            site.log.append((self.now_s, head.work, head.tenant))
            if not site.left():
                site.ended_s = self.now_s

        if not self._serve(head.work - out, out, first):
            site.refused += 1
            site.replay.record_outcome(self.now_s, head.name, SendOutcome.REJECTED)

    def _tell(self) -> None:
        """Facts on their way: late by up to two seconds, one in twenty lost."""
        for site in self.sites.values():
            for key, row in site.lending.records().items():
                for other in self.sites.values():
                    if self.lends and other is not site and self.facts.random() > 0.05:
                        late_s = self.facts.uniform(0.01, 2.0)
                        self.at(self.now_s + late_s, partial(self._receive, other, key, row))
        self.at(self.now_s + FACTS_S, self._tell)

    def _receive(self, site: Site, key: str, row: LoanRequest | LoanGrant) -> None:
        if isinstance(row, LoanRequest):
            site.lending.receive(self.now_s, {key[5:]: row}, {})
        elif key.endswith(f"/{site.name}"):
            site.lending.receive(self.now_s, {}, {key.split("/")[1]: row})


def queue_of(rng: random.Random, site: str, entries: int, tenants: int = 3) -> dict[str, list[QueueHead]]:
    """So many entries; the work of each differs a hundredfold."""
    told = defaultdict[str, list[QueueHead]](list)
    for number in range(entries):
        tenant, work = f"t{number % tenants}", min(12_000.0, max(100.0, rng.lognormvariate(7.0, 1.0)))
        told[tenant].append(QueueHead(f"{site}/{number}", tenant, work, float(number), number % 2 == 0))
    return dict(told)
