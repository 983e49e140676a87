"""Simulates sites that replay into one fleet beside live traffic, using the program's own modules.

Prefill servers work first come first served at a fixed rate, the one with the least work is chosen; a decode
server has a limited number of streams, each at a fixed rate. A queued request is rejected where a live one
would be: no prefill server would finish it in time, or no stream is free. Records between sites arrive late
and some are lost. A seed reproduces a run.
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

PREFILL_SERVERS, PREFILL_RATE = 24, 8_000.0  # servers; tokens per s of each
DECODE_SERVERS, STREAMS_PER_SERVER, S_PER_TOKEN = 24, 16, 0.02  # servers; streams of each; s a token
RESERVE, REPLAY_FRACTION = 0.2, 0.5  # the values of deploy/queue.toml
MAX_PREFILL_WAIT_S = 2.0  # a request that would wait longer is rejected
TICK_S, RECORDS_INTERVAL_S = 0.1, 1.0
MAX_IN_FLIGHT = 32  # entries per site
DEMAND_WINDOW_S = 5.0  # over which live demand is averaged


@dataclass(slots=True)
class Site:
    """One site: its queue by tenant, and its replay scheduler."""

    name: str
    queue: dict[str, list[QueueHead]]
    scheduler: ReplayScheduler
    loans: CapacityLoans
    is_reachable: Callable[[float], bool]
    want: float = 0.0
    first_sent_s: float = -1.0  # -1: none yet
    ended_s: float = -1.0  # when its queue became empty; -1: not yet
    rejected: int = 0
    served_log: list[tuple[float, float, str]] = field(default_factory=list)  # time, work, tenant

    def waiting_entries(self) -> int:
        """The number of waiting entries."""
        return sum(len(each) for each in self.queue.values())


class World:
    """The fleet, its live traffic and its sites."""

    def __init__(self, seed: int, live: float, duration_s: float, burst_at_s: float = 0.0) -> None:
        """`live`: traffic as a fraction of the prefill capacity; `burst_at_s`: when it doubles, 0: never."""
        self.rng, self.duration_s, self.live, self.burst_at_s = (
            random.Random(seed),
            duration_s,
            live,
            burst_at_s,
        )
        # Separate, so that live traffic is the same with and without replay.
        self.records_rng = random.Random(seed + 1)
        self.now_s, self.prefill_free_at_s = 0.0, [0.0] * PREFILL_SERVERS
        self.active_streams, self.first_token_times_s = 0, list[float]()
        self.live_rejected = 0
        self.demand: list[tuple[float, float, float]] = []
        self.sites: dict[str, Site] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.sends: list[tuple[float, str]] = []
        self.records_delivered = True  # whether records between sites arrive at all

    def add(
        self,
        name: str,
        weights: dict[str, float],
        queue: dict[str, list[QueueHead]],
        is_reachable: Callable[[float], bool] = lambda now_s: True,
    ) -> None:
        """Add a site with its queue."""
        rng = random.Random(f"{name}{self.records_rng.random()}")
        loans = CapacityLoans(name, weights, 1, -100.0)
        self.sites[name] = Site(
            name, queue, ReplayScheduler(RateController(rng), MAX_IN_FLIGHT), loans, is_reachable
        )

    def schedule(self, at_s: float, call: Callable[[], None]) -> None:
        """Schedule a call in virtual time."""
        heapq.heappush(self.events, (at_s, next(self._numbers), call))

    def run(self) -> None:
        """Run the simulation for its duration."""
        self.schedule(0.0, self._arrive)
        self.schedule(0.0, self._tick)
        self.schedule(0.0, self._send_records)
        while self.events and self.events[0][0] < self.duration_s:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    # Live traffic.

    def _arrive(self) -> None:
        prompt, answer_tokens = min(12_000.0, self.rng.lognormvariate(7.0, 0.8)), self.rng.uniform(20, 300)
        load = self.live * (
            2 if self.burst_at_s and self.burst_at_s <= self.now_s < self.burst_at_s + 10 else 1
        )
        per_s = PREFILL_SERVERS * PREFILL_RATE * load / 1510.0  # the mean of those prompts is 1,510
        self.schedule(self.now_s + self.rng.expovariate(per_s), self._arrive)
        self.demand.append((self.now_s, prompt, answer_tokens))
        arrived_s = self.now_s

        def on_first_token(at_s: float) -> None:
            self.first_token_times_s.append(at_s - arrived_s)

        if not self._serve(prompt, answer_tokens, on_first_token):
            self.live_rejected += 1

    def _serve(self, prompt: float, answer_tokens: float, on_first_token: Callable[[float], None]) -> bool:
        """Prefill and decode a request; False if it is rejected. The callback runs at its first token."""
        prefill_server = min(range(PREFILL_SERVERS), key=self.prefill_free_at_s.__getitem__)
        begins_s = max(self.now_s, self.prefill_free_at_s[prefill_server])
        if (
            begins_s - self.now_s > MAX_PREFILL_WAIT_S
            or self.active_streams >= DECODE_SERVERS * STREAMS_PER_SERVER
        ):
            return False
        self.prefill_free_at_s[prefill_server] = prefilled_s = begins_s + prompt / PREFILL_RATE
        self.active_streams += 1

        def on_decoded() -> None:
            self.active_streams -= 1

        self.schedule(prefilled_s, lambda: on_first_token(self.now_s))
        self.schedule(prefilled_s + answer_tokens * S_PER_TOKEN, on_decoded)
        return True

    # Replay.

    def capacity(self) -> Capacity:
        """The capacity of the fleet, and the mean live demand over DEMAND_WINDOW_S."""
        since_s = max(0.1, min(DEMAND_WINDOW_S, self.now_s))
        self.demand = [each for each in self.demand if self.now_s - each[0] <= DEMAND_WINDOW_S]
        prefill_demand = sum(prompt for _, prompt, _ in self.demand) / since_s
        decode_demand = sum(answer_tokens for _, _, answer_tokens in self.demand) / since_s
        return Capacity(
            PREFILL_SERVERS * PREFILL_RATE,
            DECODE_SERVERS * STREAMS_PER_SERVER / S_PER_TOKEN,
            prefill_demand,
            decode_demand,
        )

    def _tick(self) -> None:
        capacity = self.capacity()
        for site in self.sites.values():
            controller = site.scheduler.rate_controller
            decode_fraction = site.scheduler.decode_fraction(capacity.decode_fraction())
            spare = spare_capacity(capacity, RESERVE, decode_fraction)
            if not site.is_reachable(self.now_s):
                controller.close()
                continue
            site.loans.update_demand(self.now_s, self._wanted_fraction(site, spare))
            controller.set_ceiling(
                self.now_s,
                None
                if spare is None
                else spare * REPLAY_FRACTION * site.loans.available_fraction(self.now_s),
            )
            controller.open(self.now_s)
            heads = [
                head
                for queued in site.queue.values()
                for head in queued[: 8 + site.scheduler.in_flight_count]
            ]
            while (head := site.scheduler.choose_next(self.now_s, heads)) is not None:
                self._send(site, head)
                heads.remove(head)
        self.schedule(self.now_s + TICK_S, self._tick)

    def _wanted_fraction(self, site: Site, spare: float | None) -> float:
        if not site.waiting_entries():
            return 0.0
        return (
            min(
                1.0,
                max(
                    site.loans.own_fraction,
                    2 * site.scheduler.rate_controller.rate / (spare * REPLAY_FRACTION),
                ),
            )
            if spare
            else 1.0
        )

    def _send(self, site: Site, head: QueueHead) -> None:
        self.sends.append((self.now_s, site.name))
        site.first_sent_s = self.now_s if site.first_sent_s < 0 else site.first_sent_s
        answer_tokens = head.work / 10

        def on_first_token(at_s: float) -> None:
            self.schedule(at_s + answer_tokens * S_PER_TOKEN, on_served)

        def on_served() -> None:
            site.queue[head.tenant].remove(head)
            site.scheduler.record_outcome(self.now_s, head.name, SendOutcome.SERVED, head.work, answer_tokens)
            site.served_log.append((self.now_s, head.work, head.tenant))
            if not site.waiting_entries():
                site.ended_s = self.now_s

        if not self._serve(head.work - answer_tokens, answer_tokens, on_first_token):
            site.rejected += 1
            site.scheduler.record_outcome(self.now_s, head.name, SendOutcome.REJECTED)

    def _send_records(self) -> None:
        """Send the sites' records to each other: up to 2 s late, and 5% are lost."""
        for site in self.sites.values():
            for key, row in site.loans.records().items():
                for other in self.sites.values():
                    if self.records_delivered and other is not site and self.records_rng.random() > 0.05:
                        late_s = self.records_rng.uniform(0.01, 2.0)
                        self.schedule(self.now_s + late_s, partial(self._receive, other, key, row))
        self.schedule(self.now_s + RECORDS_INTERVAL_S, self._send_records)

    def _receive(self, site: Site, key: str, row: LoanRequest | LoanGrant) -> None:
        if isinstance(row, LoanRequest):
            site.loans.receive(self.now_s, {key[5:]: row}, {})
        elif key.endswith(f"/{site.name}"):
            site.loans.receive(self.now_s, {}, {key.split("/")[1]: row})


def make_queue(rng: random.Random, site: str, entries: int, tenants: int = 3) -> dict[str, list[QueueHead]]:
    """A queue of that many entries by tenant; their work differs by a factor of up to 120."""
    queue = defaultdict[str, list[QueueHead]](list)
    for number in range(entries):
        tenant, work = f"t{number % tenants}", min(12_000.0, max(100.0, rng.lognormvariate(7.0, 1.0)))
        queue[tenant].append(QueueHead(f"{site}/{number}", tenant, work, float(number), number % 2 == 0))
    return dict(queue)
