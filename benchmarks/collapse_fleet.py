"""Simulation of routers, prefill servers that are replaced, and clients that retry, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Any

from benchmarks.collapse_servers import (
    CLASSES,
    DECODE_SERVERS,
    MAX_QUEUED_PREFILLS,
    PREFILL_SERVERS,
    ROUTERS,
    SETTINGS,
    Prefill,
    PrefillServer,
    draw_first_token_ms,
)
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

REPLACED_COUNT, REPLACEMENT_SPAN_MS = 6, 7_000.0
START_MS, BURST_START_MS, BURST_DURATION_MS, DURATION_MS = 1_000_000.0, 15_000.0, 10_000.0, 45_000.0
REQUESTS_PER_S, BURST_FACTOR = 78.0, 1.5  # first tries of clients; the factor of their rate during the burst
ENDPOINT_UPDATE_DELAY_MS = (100.0, 1_500.0)  # range, per router and change
DRAIN_GRACE_MS = 300.0  # how long a replaced prefill server still accepts requests
MAX_TRIES, RETRY_BACKOFF_MS, TRY_DEADLINE_SHARE = 4, 200.0, 0.7  # of a client; share of the class's deadline
TOKEN_INTERVAL_MS, NETWORK_MS = 40.0, 1.0


@dataclass(slots=True, eq=False)
class Client:
    """One request of a client, with all its tries."""

    name: str
    request_class: int  # index in CLASSES
    session: int
    prefix: int
    prefix_tokens: float
    tokens: float
    sent_ms: float  # when the client first sent it
    tries: int = 0
    has_first_token: bool = False


class FleetSimulation:
    """Routers, servers and clients in virtual time; a seed reproduces a run."""

    def __init__(self, seed: int, make_policy: Callable[[RouterSettings, int], Policy] = Policy) -> None:
        self.rng, self.now_ms, self.numbers = random.Random(seed), START_MS, count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.servers = {f"r{n}": PrefillServer(f"r{n}") for n in range(PREFILL_SERVERS)}
        self.policies = [make_policy(SETTINGS, 1000 * seed + n) for n in range(ROUTERS)]
        self.clients, self.prefills = dict[str, Client](), dict[tuple[str, int], Prefill]()
        self.sent_to, self.attempt_counts = dict[str, str](), defaultdict[str, int](int)
        self.seconds_counts: list[defaultdict[str, float]] = []
        entries = [self._server_entry(f"r{n}", 0) for n in range(PREFILL_SERVERS)] + [
            ServerEntry(f"w{n}", 0, 1, 0, Availability.UP) for n in range(DECODE_SERVERS)
        ]
        for router in range(ROUTERS):
            self.dispatch(router, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(entries)))
        self.prefix_tokens = [self.rng.uniform(2700, 4900) for _ in range(20)]
        self.at_ms(START_MS, self._arrive)
        self.at_ms(START_MS + 1000, self._record_second)
        for n in range(REPLACED_COUNT):
            at_ms = START_MS + BURST_START_MS + REPLACEMENT_SPAN_MS * n / REPLACED_COUNT
            self.at_ms(at_ms, partial(self._replace_server, n))

    def at_ms(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a call for that time."""
        heapq.heappush(self.events, (max(at_ms, self.now_ms), next(self.numbers), callback))

    def run(self) -> list[defaultdict[str, float]]:
        """Run the simulation; returns the counts of each second."""
        self.seconds_counts.append(defaultdict(float))
        while self.events and self.now_ms < START_MS + DURATION_MS:
            self.now_ms, _, callback = heapq.heappop(self.events)
            callback()
        return self.seconds_counts

    def _server_entry(self, name: str, started_ms: float, up: bool = True) -> ServerEntry:
        state = Availability.UP if up else Availability.DRAINING
        return ServerEntry(name, 0, 0, 0, state, 1.0, started_ms)

    def _record_second(self) -> None:
        counts = self.seconds_counts[-1]
        counts["queued"] = sum(server.queued_tokens() for server in self.servers.values())
        processed_tokens = sum(server.processed_tokens for server in self.servers.values())
        counts["spent"] = processed_tokens - sum(each["spent"] for each in self.seconds_counts[:-1])
        self.seconds_counts.append(defaultdict(float))
        self.at_ms(self.now_ms + 1000, self._record_second)

    def _replace_server(self, n: int) -> None:
        old, new = f"r{n}", f"n{n}"
        self.servers[new] = PrefillServer(new, self.now_ms)
        changed = (self._server_entry(old, 0, False), self._server_entry(new, self.now_ms))
        removed = (ServerEntry(old, 0, 0, 0, Availability.REMOVED),)
        for router in range(ROUTERS):
            delay_ms = self.rng.uniform(*ENDPOINT_UPDATE_DELAY_MS)
            for after_ms, entries in ((0.0, changed), (2000.0, removed)):
                update = EndpointUpdate(EndpointUpdateKind.CHANGES, 2 + n, entries)
                self.at_ms(self.now_ms + delay_ms + after_ms, partial(self.dispatch, router, update))

    def _arrive(self) -> None:
        in_burst = BURST_START_MS <= self.now_ms - START_MS < BURST_START_MS + BURST_DURATION_MS
        self.at_ms(
            self.now_ms + self.rng.expovariate(REQUESTS_PER_S * (BURST_FACTOR if in_burst else 1.0)) * 1000,
            self._arrive,
        )
        request_class, rng = int(self.rng.random() < 0.2), self.rng
        prefix = rng.randrange(1, 21) if rng.random() < (0.15 if request_class else 0.9) else 0
        shared = self.prefix_tokens[prefix - 1] if prefix else 0.0
        own = 3000 * rng.lognormvariate(0, 0.6) if request_class else rng.uniform(68, 230)
        name = f"q{next(self.numbers)}"
        self._try(Client(name, request_class, next(self.numbers), prefix, shared, shared + own, self.now_ms))

    def _try(self, client: Client) -> None:
        request_class = CLASSES[client.request_class]
        left_ms = client.sent_ms + request_class.deadline_ms - self.now_ms
        if left_ms <= 50 or client.tries == MAX_TRIES:
            self.seconds_counts[-1]["unserved"] += 1
            return
        client.tries += 1
        name, router = f"{client.name}.{client.tries}", self.rng.randrange(ROUTERS)
        self.clients[name], left_ms = client, min(left_ms, TRY_DEADLINE_SHARE * request_class.deadline_ms)
        self.dispatch(
            router,
            Request(
                name,
                left_ms,
                client.request_class,
                0,
                client.session,
                client.prefix or None,
                client.prefix_tokens,
                client.tokens,
                300,
                retry=client.tries > 1,
            ),
        )
        self.at_ms(self.now_ms + left_ms, lambda: self._abandon_try(router, name))

    def _abandon_try(self, router: int, name: str) -> None:
        if name in self.clients:
            self.dispatch(router, ClientDisconnected(name))
            self._schedule_retry(name)

    def _schedule_retry(self, name: str) -> None:
        client = self.clients.pop(name, None)
        if client is not None:
            wait_ms = RETRY_BACKOFF_MS * 2 ** (client.tries - 1) * self.rng.uniform(0.5, 1.5)
            self.at_ms(self.now_ms + wait_ms, lambda: self._try(client))

    def dispatch(self, router: int, event: RoutingEvent) -> None:
        """Pass an event to a router's policy and execute the actions that it returns."""
        for action in self.policies[router].handle(self.now_ms, event):
            self._execute(router, action)

    def _execute(self, router: int, action: RoutingAction) -> None:
        if isinstance(action, SendAttempt):
            self.attempt_counts[action.request] += 1
            self.sent_to[action.request] = action.server
            attempt = self.attempt_counts[action.request] - 1
            self.at_ms(self.now_ms + NETWORK_MS, partial(self._deliver, router, action, attempt))
        elif isinstance(action, SetTimer):
            self.at_ms(action.at_ms, lambda: self.dispatch(router, TimerFired(action.token)))
        elif isinstance(action, RejectRequest | FailRequest):
            self.seconds_counts[-1]["refused"] += 1
            self._schedule_retry(action.request)
        elif isinstance(action, CancelAttempt):
            prefill = self.prefills.pop((action.request, action.attempt), None)
            if prefill is not None:
                self.seconds_counts[-1]["given up"] += 1
                prefill.is_cancelled = True
            self._report(router, action.request, action.attempt, AttemptStatus.CANCELLED)

    def _report(self, router: int, name: str, attempt: int, status: AttemptStatus, **details: Any) -> None:
        outcome = AttemptOutcome(
            name, attempt, self.sent_to[name], status, request_ended=name not in self.clients, **details
        )
        self.at_ms(self.now_ms, lambda: self.dispatch(router, outcome))

    def _deliver(self, router: int, send: SendAttempt, attempt: int) -> None:
        name, client = send.request, self.clients.get(send.request)
        if client is None:
            self._report(router, name, attempt, AttemptStatus.NOT_SENT)
            return
        if send.server[0] == "w":
            sent_ms = self.now_ms - NETWORK_MS
            first_token_ms = self.now_ms + draw_first_token_ms(self.rng)
            self.at_ms(first_token_ms, partial(self._first_token, router, send, attempt, sent_ms))
            return
        prefill_server = self.servers[send.server]
        is_replaced = send.server[0] == "r" and f"n{send.server[1:]}" in self.servers
        if is_replaced and self.now_ms > self.servers[f"n{send.server[1:]}"].started_ms + DRAIN_GRACE_MS:
            self._report(router, name, attempt, AttemptStatus.CONNECT_FAILED)
            return
        if len(prefill_server.queue) >= MAX_QUEUED_PREFILLS:
            self._report(router, name, attempt, AttemptStatus.FULL)
            return
        is_repeat = attempt > 0 or client.tries > 1
        prefill = Prefill(
            router,
            name,
            attempt,
            client.session,
            client.prefix,
            client.prefix_tokens,
            client.tokens,
            CLASSES[client.request_class].priority_weight,
            self.now_ms,
            is_repeat,
        )
        self.prefills[name, attempt] = prefill
        self.seconds_counts[-1]["reads"] += 1
        self.seconds_counts[-1]["repeats"] += is_repeat
        prefill_server.queue.append(prefill)
        self._start_prefill(prefill_server)

    def _start_prefill(self, prefill_server: PrefillServer) -> None:
        done_ms = prefill_server.start_next(self.now_ms)
        if done_ms is not None:
            self.at_ms(done_ms, lambda: self._finish_prefill(prefill_server))

    def _finish_prefill(self, prefill_server: PrefillServer) -> None:
        done = prefill_server.finish_current()
        self._start_prefill(prefill_server)
        if done is not None and not done.is_cancelled:
            self.prefills.pop((done.request, done.attempt), None)
            elapsed_ms, cached = self.now_ms - done.sent_ms + 2 * NETWORK_MS, int(done.tokens - done.uncached)
            status = AttemptStatus.PREFILLED
            self._report(done.router, done.request, done.attempt, status, latency_ms=elapsed_ms, note=cached)

    def _first_token(self, router: int, send: SendAttempt, attempt: int, sent_ms: float) -> None:
        client = self.clients.get(send.request)
        if client is None or client.has_first_token:
            self._report(router, send.request, attempt, AttemptStatus.CANCELLED)
            return
        client.has_first_token, request_class = True, CLASSES[client.request_class]
        self.dispatch(router, FirstToken(send.request, attempt, send.server, self.now_ms - sent_ms))
        limit_ms = request_class.target_ms + request_class.target_per_1000_tokens_ms * client.tokens / 1000
        in_time = self.now_ms - client.sent_ms <= limit_ms
        self.seconds_counts[-1]["in time" if in_time else "late"] += 1
        self.seconds_counts[-1]["worth"] += request_class.priority_weight * (
            1 if in_time else request_class.late_priority_weight
        )
        del self.clients[send.request]
        stream_ms = TOKEN_INTERVAL_MS * self.rng.uniform(35, 140)
        self.at_ms(
            self.now_ms + stream_ms, lambda: self._report(router, send.request, attempt, AttemptStatus.OK)
        )
