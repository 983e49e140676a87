"""The fleet of the lab of the collapse: routers, readers that are replaced, clients that come again."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Any

from benchmarks.collapse_servers import CLASSES, QUEUE, READERS, ROUTERS, SETTINGS, WRITERS, Read, Reader
from benchmarks.collapse_servers import first_token_ms as first_ms
from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    Availability,
    CancelAttempt,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    FailRequest,
    FirstToken,
    RejectRequest,
    Request,
    RouterSettings,
    RoutingAction,
    RoutingEvent,
    SendAttempt,
    ServerEntry,
    SetTimer,
    TimerFired,
)
from ringledge.routing.policy import Policy

REPLACED, REPLACE_MS = 6, 7_000.0
START_MS, TROUBLE_MS, BURST_MS, END_MS = 1_000_000.0, 15_000.0, 10_000.0, 45_000.0
PER_S, BURST = 78.0, 1.5  # first tries a second, and times as many in the burst
TELL_MS = (100.0, 1_500.0)  # until a router hears of a change of the list
GRACE_MS = 300.0  # that a reader which leaves still reads
TRIES, BACK_MS, TRY_SHARE = 4, 200.0, 0.7  # of a client: sends, first wait, a try's part of its time
TOKEN_MS, LINK_MS = 40.0, 1.0


@dataclass(slots=True, eq=False)
class Client:
    """One request of a client over all its tries."""

    name: str
    kind: int
    session: int
    prefix: int
    prefix_tokens: float
    tokens: float
    since_ms: float
    tries: int = 0
    ended: bool = False


class FleetSimulation:
    """The fleet in virtual time, from a seed."""

    def __init__(self, seed: int, make: Callable[[RouterSettings, int], Policy] = Policy) -> None:
        self.rng, self.now_ms, self.order = random.Random(seed), START_MS, count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.readers = {f"r{n}": Reader(f"r{n}") for n in range(READERS)}
        self.policies = [make(SETTINGS, 1000 * seed + n) for n in range(ROUTERS)]
        self.clients, self.reads = dict[str, Client](), dict[tuple[str, int], Read]()
        self.at, self.attempts = dict[str, str](), defaultdict[str, int](int)
        self.seconds: list[defaultdict[str, float]] = []
        entries = [self._entry(f"r{n}", 0) for n in range(READERS)] + [
            ServerEntry(f"w{n}", 0, 1, 0, Availability.UP) for n in range(WRITERS)
        ]
        for router in range(ROUTERS):
            self.give(router, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(entries)))
        self.prefixes = [self.rng.uniform(2700, 4900) for _ in range(20)]
        self.at_ms(START_MS, self._arrive)
        self.at_ms(START_MS + 1000, self._second)
        for n in range(REPLACED):
            at_ms = START_MS + TROUBLE_MS + REPLACE_MS * n / REPLACED
            self.at_ms(at_ms, partial(self._replace, n))

    def at_ms(self, at_ms: float, what: Callable[[], None]) -> None:
        """Ask for a call at a time."""
        heapq.heappush(self.due, (max(at_ms, self.now_ms), next(self.order), what))

    def run(self) -> list[defaultdict[str, float]]:
        """Play the day; what was counted in each second."""
        self.seconds.append(defaultdict(float))
        while self.due and self.now_ms < START_MS + END_MS:
            self.now_ms, _, what = heapq.heappop(self.due)
            what()
        return self.seconds

    def _entry(self, name: str, started_ms: float, up: bool = True) -> ServerEntry:
        state = Availability.UP if up else Availability.DRAINING
        return ServerEntry(name, 0, 0, 0, state, 1.0, started_ms)

    def _second(self) -> None:
        tally = self.seconds[-1]
        tally["queued"] = sum(reader.queued() for reader in self.readers.values())
        spent = sum(reader.spent for reader in self.readers.values())
        tally["spent"] = spent - sum(each["spent"] for each in self.seconds[:-1])
        self.seconds.append(defaultdict(float))
        self.at_ms(self.now_ms + 1000, self._second)

    def _replace(self, n: int) -> None:
        old, new = f"r{n}", f"n{n}"
        self.readers[new] = Reader(new, self.now_ms)
        told = (self._entry(old, 0, False), self._entry(new, self.now_ms))
        gone = (ServerEntry(old, 0, 0, 0, Availability.REMOVED),)
        for router in range(ROUTERS):
            late_ms = self.rng.uniform(*TELL_MS)
            for after_ms, entries in ((0.0, told), (2000.0, gone)):
                news = EndpointUpdate(EndpointUpdateKind.CHANGES, 2 + n, entries)
                self.at_ms(self.now_ms + late_ms + after_ms, partial(self.give, router, news))

    def _arrive(self) -> None:
        burst = TROUBLE_MS <= self.now_ms - START_MS < TROUBLE_MS + BURST_MS
        self.at_ms(self.now_ms + self.rng.expovariate(PER_S * (BURST if burst else 1.0)) * 1000, self._arrive)
        kind, rng = int(self.rng.random() < 0.2), self.rng
        prefix = rng.randrange(1, 21) if rng.random() < (0.15 if kind else 0.9) else 0
        kept = self.prefixes[prefix - 1] if prefix else 0.0
        fresh = 3000 * rng.lognormvariate(0, 0.6) if kind else rng.uniform(68, 230)
        name = f"q{next(self.order)}"
        self._try(Client(name, kind, next(self.order), prefix, kept, kept + fresh, self.now_ms))

    def _try(self, client: Client) -> None:
        kind = CLASSES[client.kind]
        left_ms = client.since_ms + kind.deadline_ms - self.now_ms
        if left_ms <= 50 or client.tries == TRIES:
            self.seconds[-1]["unserved"] += 1
            return
        client.tries += 1
        name, router = f"{client.name}.{client.tries}", self.rng.randrange(ROUTERS)
        self.clients[name], left_ms = client, min(left_ms, TRY_SHARE * kind.deadline_ms)
        self.give(
            router,
            Request(
                name,
                left_ms,
                client.kind,
                0,
                client.session,
                client.prefix or None,
                client.prefix_tokens,
                client.tokens,
                300,
                retry=client.tries > 1,
            ),
        )
        self.at_ms(self.now_ms + left_ms, lambda: self._gone(router, name))

    def _gone(self, router: int, name: str) -> None:
        if name in self.clients:
            self.give(router, ClientDisconnected(name))
            self._again(name)

    def _again(self, name: str) -> None:
        client = self.clients.pop(name, None)
        if client is not None:
            wait_ms = BACK_MS * 2 ** (client.tries - 1) * self.rng.uniform(0.5, 1.5)
            self.at_ms(self.now_ms + wait_ms, lambda: self._try(client))

    def give(self, router: int, event: RoutingEvent) -> None:
        """Give a router an event and do what it says."""
        for action in self.policies[router].handle(self.now_ms, event):
            self._do(router, action)

    def _do(self, router: int, action: RoutingAction) -> None:
        if isinstance(action, SendAttempt):
            self.attempts[action.request] += 1
            self.at[action.request] = action.server
            attempt = self.attempts[action.request] - 1
            self.at_ms(self.now_ms + LINK_MS, partial(self._come, router, action, attempt))
        elif isinstance(action, SetTimer):
            self.at_ms(action.at_ms, lambda: self.give(router, TimerFired(action.token)))
        elif isinstance(action, RejectRequest | FailRequest):
            self.seconds[-1]["refused"] += 1
            self._again(action.request)
        elif isinstance(action, CancelAttempt):
            read = self.reads.pop((action.request, action.attempt), None)
            if read is not None:
                self.seconds[-1]["given up"] += 1
                read.gone = True
            self._tell(router, action.request, action.attempt, AttemptStatus.CANCELLED)

    def _tell(self, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any) -> None:
        outcome = AttemptOutcome(
            name, attempt, self.at[name], status, request_ended=name not in self.clients, **more
        )
        self.at_ms(self.now_ms, lambda: self.give(router, outcome))

    def _come(self, router: int, send: SendAttempt, attempt: int) -> None:
        name, client = send.request, self.clients.get(send.request)
        if client is None:
            self._tell(router, name, attempt, AttemptStatus.NOT_SENT)
            return
        if send.server[0] == "w":
            since_ms = self.now_ms - LINK_MS
            done_ms = self.now_ms + first_ms(self.rng)
            self.at_ms(done_ms, partial(self._start, router, send, attempt, since_ms))
            return
        reader = self.readers[send.server]
        old = send.server[0] == "r" and f"n{send.server[1:]}" in self.readers
        if old and self.now_ms > self.readers[f"n{send.server[1:]}"].started_ms + GRACE_MS:
            self._tell(router, name, attempt, AttemptStatus.CONNECT_FAILED)
            return
        if len(reader.waiting) >= QUEUE:
            self._tell(router, name, attempt, AttemptStatus.FULL)
            return
        again = attempt > 0 or client.tries > 1
        read = Read(
            router,
            name,
            attempt,
            client.session,
            client.prefix,
            client.prefix_tokens,
            client.tokens,
            CLASSES[client.kind].priority_weight,
            self.now_ms,
            again,
        )
        self.reads[name, attempt] = read
        self.seconds[-1]["reads"] += 1
        self.seconds[-1]["repeats"] += again
        reader.waiting.append(read)
        self._work(reader)

    def _work(self, reader: Reader) -> None:
        done_ms = reader.begin(self.now_ms)
        if done_ms is not None:
            self.at_ms(done_ms, lambda: self._read(reader))

    def _read(self, reader: Reader) -> None:
        read = reader.end()
        self._work(reader)
        if read is not None and not read.gone:
            self.reads.pop((read.request, read.attempt), None)
            took_ms, kept = self.now_ms - read.sent_ms + 2 * LINK_MS, int(read.tokens - read.unread)
            done = AttemptStatus.PREFILLED
            self._tell(read.router, read.request, read.attempt, done, latency_ms=took_ms, note=kept)

    def _start(self, router: int, send: SendAttempt, attempt: int, since_ms: float) -> None:
        client = self.clients.get(send.request)
        if client is None or client.ended:
            self._tell(router, send.request, attempt, AttemptStatus.CANCELLED)
            return
        client.ended, kind = True, CLASSES[client.kind]
        self.give(router, FirstToken(send.request, attempt, send.server, self.now_ms - since_ms))
        aim_ms = kind.target_ms + kind.target_per_1000_tokens_ms * client.tokens / 1000
        good = self.now_ms - client.since_ms <= aim_ms
        self.seconds[-1]["in time" if good else "late"] += 1
        self.seconds[-1]["worth"] += kind.priority_weight * (1 if good else kind.late_priority_weight)
        del self.clients[send.request]
        lasts_ms = TOKEN_MS * self.rng.uniform(35, 140)
        self.at_ms(
            self.now_ms + lasts_ms, lambda: self._tell(router, send.request, attempt, AttemptStatus.OK)
        )
