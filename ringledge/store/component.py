"""The queue of a site as one part of the program: the file, how the site stands, the duty of its replay.

    part = QueuePart(config, Sight(conductor, upstream.reach, metrics), metrics.registry, random, facts)
    queued = QueuedChat(part.queue, part.state, classes, settings, tenant, config.expire_s, part.figures)
    chats = Chat(..., queued=queued)
    part.sender = ReplaySender(chat_config, settings, names, conductor)
    part.start(tasks); part.ready(); await part.stop()

Under leases `part.replayer` is handed to them as the duty `part.duty` once it is made, and `leased` is true;
else a lock beside the file says which process replays.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from typing import Protocol

import anyio
import anyio.abc
import msgspec
from prometheus_client import CollectorRegistry

from ringledge.decide.interface import ClassDemand, QueueBacklog, RecordStore, ServerObservation
from ringledge.decide.replay.capacity_estimate import decode_records, estimate_capacity
from ringledge.decide.replay.capacity_loans import CapacityLoans, LoanGrant, LoanRequest
from ringledge.decide.replay.partition_detection import (
    PartitionDetector,
    ServerReachability,
    SiteReachability,
    SiteState,
)
from ringledge.decide.replay.rate_control import RateController, spare_capacity
from ringledge.decide.replay.scheduler import ReplayScheduler
from ringledge.members.replay_sender import EntrySender, SendHandle, SendResult
from ringledge.members.replayer import Replayer
from ringledge.observe.logging import log
from ringledge.store.entry import Entry, StoreError
from ringledge.store.holder import Holder
from ringledge.store.metrics import Figures
from ringledge.store.queries import Waiting
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig

STEP_S = 0.1  # between steps of the replay while anything waits, at most
IDLE_S = 0.5  # while nothing does
TELL_S = 1.0  # between looks at what waits, what expires, and what other sites say
DRAIN_S = 2.5  # at the stop, for bookings under way: SIGKILL comes 3.7 s after SIGTERM


class Looks(Protocol):
    """What this process sees of its servers and answers."""

    def servers(self, now_s: float) -> list[ServerReachability]:
        """Every server, with times on the clock that reads `now_s`."""
        ...

    def answers(self) -> tuple[float, float]:
        """Requests answered, and refused or failed, since the start."""
        ...


class QueuePart:
    """Start, ready and stop of a site's queue."""

    def __init__(
        self,
        config: QueueConfig,
        looks: Looks,
        registry: CollectorRegistry,
        random: Random,
        facts: RecordStore | None = None,
        leased: bool = False,
    ) -> None:
        """`leased`: leases begin and stop the replay; else the lock beside the file does."""
        self.config, self._looks, self._random, self._facts = config, looks, random, facts
        self.figures = Figures(registry)
        self.queue = Queue(config)
        self.cut_off = PartitionDetector()
        self.duty = f"replay/{config.site}"
        self.sender: EntrySender | None = None
        self.replayer = Replayer(
            self.queue, self._send, self._decider, self.state, time.monotonic, self.figures
        )
        self._leased, self._waiting, self._token = leased, list[Waiting](), 0
        self._holder: Holder | None = None
        self._answers, self._told_s, self._stopping = looks.answers(), 0.0, False
        self._state = SiteState.AVAILABLE
        self._said: SiteState | None = None  # what the other conductors were told of our own view
        self._lending: CapacityLoans | None = None
        self._told: set[str] = set()  # keys of loans and questions that stand as facts

    def state(self) -> SiteState:
        """How the site stands."""
        return self._state

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open the file; the sender has to be set by now."""
        assert self.sender is not None
        self.queue.start()
        self._tasks = self.replayer.tasks = tasks
        if not self._leased:
            self._holder = Holder(Path(self.config.path), self.queue, self.replayer)

    def ready(self) -> None:
        """The list is known: begin to look at it, and to replay."""
        self._tasks.start_soon(self._run)

    async def stop(self) -> None:
        """Give the duty up; wait for bookings under way and have their ends written.

        The file stays open: clients may still ask for their entries, and a kill does it no harm.
        """
        self._stopping = True
        if self._holder is not None:
            self._holder.end()
        with anyio.move_on_after(DRAIN_S):
            while self.replayer.in_flight_count or self.replayer.unsettled_count:
                await self.replayer.wait_for_completion(STEP_S)
                await self.replayer.settle()

    async def _run(self) -> None:
        while not self._stopping:
            now_s = time.monotonic()
            self._look(now_s)
            try:
                if now_s - self._told_s >= TELL_S:
                    self._told_s = now_s
                    await self._tidy(now_s)
                if self._holder is not None:
                    await self._holder.step()
            except StoreError as error:
                log.often("queue_step_failed", why=error.why.value, error=str(error))
            await self.replayer.wait_for_completion(STEP_S if self._waiting else IDLE_S)

    def _look(self, now_s: float) -> None:
        """How the site stands now."""
        answered, refused = self._looks.answers()
        if answered > self._answers[0]:
            self.cut_off.record_served(now_s)
        elif refused > self._answers[1]:
            for _ in range(int(refused - self._answers[1])):
                self.cut_off.record_rejected()
        self._answers = answered, refused
        site = f"reach/{self.config.site}"
        if self._facts is not None:
            said = decode_records(self._facts.values(now_s, site), SiteReachability)
            self.cut_off.receive(now_s, [(name, row) for (name, key), row in said.items() if key == site])
        before = self._state
        self._state = self.cut_off.update(now_s, self._looks.servers(now_s))
        if self._facts is not None and self._said is not self.cut_off.own_state:
            self._said = self.cut_off.own_state  # also at the start: who says nothing would not count as open
            self._facts.write(now_s, site, msgspec.msgpack.encode(self.cut_off.record()))
        if self._state is not before:
            log.info("site_state", site=self.config.site, state=self._state.label)
        self.figures.state.set(self._state.value)

    async def _tidy(self, now_s: float) -> None:
        """End what expired, remove old ends, tell the other sites."""
        for name in await self.queue.tidy():
            self.figures.ended.labels("expired").inc()
            log.info("queue_entry_ended", entry=name, how="expired", token=0)
        self._waiting = await self.queue.waiting()
        entries = sum(each.entries for each in self._waiting)
        oldest_s = max((time.time() - each.oldest_s for each in self._waiting), default=0.0)
        self.figures.waiting.set(entries)
        self.figures.oldest.set(oldest_s)
        replay = self.replayer.scheduler
        if replay is None or self._lending is None:
            self.figures.pace.set(0.0)
            return
        self._share(now_s, replay, self._lending, entries)
        self.figures.pace.set(replay.rate_controller.rate)
        if self._facts is not None:
            weight = self.config.sites.get(self.config.site, 1.0)
            row = QueueBacklog(self._token, entries, oldest_s, weight, replay.served_work)
            self._facts.write(now_s, f"backlog/{self.config.site}", msgspec.msgpack.encode(row))

    def _share(self, now_s: float, replay: ReplayScheduler, lending: CapacityLoans, entries: int) -> None:
        """The site's part of what live traffic leaves over."""
        left = None
        if self._facts is not None:
            seen = decode_records(self._facts.values(now_s, "server/"), ServerObservation)
            demand = decode_records(self._facts.values(now_s, "demand/"), ClassDemand)
            known = estimate_capacity(seen, demand)
            left = spare_capacity(known, self.config.reserve, replay.decode_fraction(known.decode_fraction()))
        if left is not None:
            left *= self.config.replay_part
        wished = 0.0
        if (
            entries and self._state is SiteState.AVAILABLE
        ):  # twice the pace: a loan is there before the pace needs it
            wished = (
                1.0
                if not left
                else min(1.0, max(lending.own_fraction, 2 * replay.rate_controller.rate / left))
            )
        lending.update_demand(now_s, wished)
        if self._facts is not None:
            wants = _by_site(decode_records(self._facts.values(now_s, "want/"), LoanRequest), "want/{}")
            mine = f"/{self.config.site}"
            lends = decode_records(self._facts.values(now_s, "lend/"), LoanGrant)
            ours = {key.split("/")[1]: row for (_, key), row in lends.items() if key.endswith(mine)}
            lending.receive(now_s, wants, ours)
            self._put(now_s, lending.records())
        replay.rate_controller.set_ceiling(
            now_s, None if left is None else left * lending.available_fraction(now_s)
        )

    def _put(self, now_s: float, told: Mapping[str, LoanRequest | LoanGrant]) -> None:
        assert self._facts is not None
        for key in self._told - told.keys():
            self._facts.delete(now_s, key)
        for key, row in told.items():
            self._facts.write(now_s, key, msgspec.msgpack.encode(row))
        self._told = set(told)

    def _send(self, entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
        assert self.sender is not None
        return self.sender(entry, ended)

    def _decider(self, now_s: float, token: int) -> ReplayScheduler:
        """A new holding begins."""
        self._token = token
        weights = self.config.sites or {self.config.site: 1.0}
        self._lending = CapacityLoans(self.config.site, weights, token, now_s)
        return ReplayScheduler(RateController(self._random), self.config.in_flight, self.config.tenants)


def _by_site(found: Mapping[tuple[str, str], LoanRequest], pattern: str) -> dict[str, LoanRequest]:
    """Of several that were heard for one site the newest token's counts."""
    newest: dict[str, LoanRequest] = {}
    for (_, key), row in found.items():
        site = key.removeprefix(pattern.format(""))
        known = newest.get(site)
        if known is None or (row.token, row.number) > (known.token, known.number):
            newest[site] = row
    return newest
