"""Servers and conductors in virtual time with the program's own role modules, for `benchmarks/ratio.py`.

Each conductor has its own registry of roles and receives assignments late. Servers prefill first come first
served, decode a limited number of streams, and do either more slowly while they do both. The cache of a
server that changes to prefill is cold.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

import msgspec

from benchmarks.ratio_records import DelayedRecordStore, StoredRecords
from benchmarks.ratio_servers import SimulatedRequest, SimulatedServer
from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import decode_assignments
from ringledge.decide.ratio.role_registry import RolePhase, RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig

PREFILL_RATE = 8_000.0  # tokens per s of a server
DECODE_RATE = 1_200.0  # tokens per s of a server
STREAMS_PER_SERVER = 20
OBJECTIVE_S = 2.5  # until the first token; a request that would wait longer in a queue is rejected
DEADLINE_S = 10.0  # until the first token; later the client has left
LATE_VALUE = 0.3  # of a request that is served after the objective
COLD_CACHE_FACTOR = 1.5  # times the prompt tokens at a server with a cold cache
RATE_NOISE = 0.15  # of a member's measurement of a server's rate
TICK_S = 0.5  # between two updates of a conductor
REPORT_INTERVAL_S = 1.0  # between two reports of a conductor
ANSWER_SAMPLE_WEIGHT = 0.1  # weight of a new answer in the moving average of its class
BOOKING_FRACTION = 0.1  # of all requests: never sent to a decode server twice


class SimulatedConductor:
    """One member: routes by its own registry, and reports what it measures."""

    def __init__(self, simulation: Simulation, name: str, site: str) -> None:
        self.simulation = simulation
        self.name = name
        self.site = site
        self.registry = RoleRegistry(simulation.settings)
        self.records = DelayedRecordStore(simulation.records, simulation.rng, name)
        self.prefills = Counter[str]()
        self.streams = Counter[str]()
        self.cache_entries = Counter[str]()
        # By class: arrivals and uncached tokens.
        self.class_counts: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self.mean_answer_tokens: dict[str, float] = defaultdict(lambda: 200.0)  # by class
        self.prefill_servers = list[SimulatedServer]()
        self.decode_servers = list[SimulatedServer]()
        self.receives_records = True  # a partitioned one keeps its assignments

    def tick(self) -> None:
        simulation, registry = self.simulation, self.registry
        if self.receives_records:
            for server, assignment in decode_assignments(self.records.values(simulation.now_s, "plan/")):
                registry.receive(simulation.now_s, server, assignment)
        changing = registry.changing_servers()
        waiting = Counter[str]()
        for (_, key), value in (self.records.values(simulation.now_s, "server/") if changing else {}).items():
            if key[7:] in changing:
                waiting[key[7:]] += simulation.observation_decoder.decode(value).waiting_entries
        for name in changing:
            registry.update_in_flight(name, self.prefills[name], self.streams[name])
            registry.update_observation(name, waiting[name], 1.0)
        for name, phase in registry.tick(simulation.now_s):
            if phase is RolePhase.CHANGED and registry.entries[name].role == "read":
                simulation.servers[name].cold_since_s = max(
                    simulation.servers[name].cold_since_s, simulation.now_s
                )
        accepted = registry.accepted_work()
        own = [simulation.servers[name] for name in accepted if simulation.servers[name].site == self.site]
        self.prefill_servers = [server for server in own if "read" in accepted[server.name]] or own
        self.decode_servers = [server for server in own if "write" in accepted[server.name]] or own
        simulation.after(TICK_S, self.tick)

    def publish(self) -> None:
        simulation, encode = self.simulation, msgspec.msgpack.encode
        for class_name in (
            ("query0", "query1", "booking") if not simulation.single_class else ("any", "booking")
        ):
            arrivals, uncached_tokens = self.class_counts[class_name]
            arrival_rate = arrivals / REPORT_INTERVAL_S
            decode_rate = arrival_rate * self.mean_answer_tokens[class_name]
            demand = ClassDemand(arrival_rate, uncached_tokens / REPORT_INTERVAL_S, decode_rate)
            self.records.write(simulation.now_s, f"demand/{class_name}", encode(demand))
        self.class_counts.clear()
        prefill, decode = set(self.prefill_servers), set(self.decode_servers)
        for server in simulation.servers.values():
            if server.site == self.site:
                prefill_rate, decode_rate = (
                    rate * simulation.rng.lognormvariate(0, RATE_NOISE) * (server in members)
                    for rate, members in (
                        (server.prefill_rate, prefill),
                        (server.decode_rate, decode),
                    )
                )
                warmth = min(1.0, (simulation.now_s - server.cold_since_s) / simulation.settings.warm_up_s)
                observation = ServerObservation(
                    prefill_rate, decode_rate, warmth, self.cache_entries[server.name]
                )
                self.records.write(simulation.now_s, f"server/{server.name}", encode(observation))
        simulation.after(REPORT_INTERVAL_S, self.publish)


class Simulation:
    """One run; `mix(now_s)` gives requests per s and the fraction of them that has the second shape."""

    def __init__(
        self,
        seed: int,
        sizes: tuple[int, int, int, int],
        settings: RatioConfig,
        shapes: Sequence[tuple[float, float]],
        mix: Callable[[float], tuple[float, float]],
        single_class: bool = False,
    ) -> None:
        """`sizes`: sites, racks a site, servers a rack, members a site; `shapes`: prompt and answer tokens.

        `single_class`: requests of both shapes are of one class: a shift shows late, in answers that end.
        """
        self.single_class = single_class
        self.rng, self.settings, self.shapes, self.mix = random.Random(seed), settings, shapes, mix
        self.now_s, self._events, self._numbers = 0.0, list[tuple[float, int, Any, Any]](), count()
        self.records: StoredRecords = defaultdict(dict)
        self.observation_decoder: msgspec.msgpack.Decoder[ServerObservation] = msgspec.msgpack.Decoder(
            ServerObservation
        )
        self.servers = dict[str, SimulatedServer]()
        self.requests = list[SimulatedRequest]()
        sites, racks, each, members = sizes
        for number in range(sites * racks * each):
            name, rack = f"b{number:03}", number // each
            prefill, decode = (rate * self.rng.uniform(0.85, 1.15) for rate in (PREFILL_RATE, DECODE_RATE))
            self.servers[name] = SimulatedServer(name, f"s{rack // racks}", f"r{rack}", prefill, decode)
        self.listed = [ListedServer(s.name, s.site, s.rack, "both") for s in self.servers.values()]
        self.conductors = [
            SimulatedConductor(self, f"c{site}{at}", f"s{site}")
            for site in range(sites)
            for at in range(members)
        ]
        for conductor in self.conductors:
            conductor.registry.update_servers(0.0, dict.fromkeys(self.servers, "both"))
            self.after(self.rng.uniform(0, TICK_S), conductor.tick)
            self.after(self.rng.uniform(0, REPORT_INTERVAL_S), conductor.publish)
        self.after(2 * TICK_S, self._arrive)  # conductors have their assignments by then

    def after(self, wait_s: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call in virtual time."""
        heapq.heappush(self._events, (self.now_s + wait_s, next(self._numbers), call, args))

    def run_until(self, until_s: float) -> None:
        """Simulate up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now_s = until_s

    def _arrive(self) -> None:
        rate, second_fraction = self.mix(self.now_s)
        if rate <= 0:
            return  # no more arrivals; requests in flight still complete
        shape = int(self.rng.random() < second_fraction)
        prompt, answer = self.shapes[shape]
        conductor, draw_length = self.rng.choice(self.conductors), self.rng.expovariate
        booking = self.rng.random() < BOOKING_FRACTION
        class_name = "booking" if booking else "any" if self.single_class else f"query{shape}"
        lengths = 50 + draw_length(1 / (prompt - 50)), 10 + draw_length(1 / (answer - 10))
        request = SimulatedRequest(self.now_s, *lengths, class_name, booking, conductor)
        self.requests.append(request)
        if conductor.prefill_servers:
            self._send_prefill(request, conductor)
        self.after(self.rng.expovariate(rate), self._arrive)

    def _send_prefill(self, request: SimulatedRequest, conductor: SimulatedConductor) -> None:
        candidates = self.rng.choices(conductor.prefill_servers, k=3)
        server = request.prefill_server = min(
            candidates,
            key=lambda s: s.queued_prefill_tokens / s.prefill_rate + s.streams / STREAMS_PER_SERVER,
        )
        since_s = self.now_s - server.cold_since_s
        request.prompt *= 1 + (COLD_CACHE_FACTOR - 1) * max(0.0, 1 - since_s / self.settings.warm_up_s)
        counts = conductor.class_counts[request.class_name]
        counts[0], counts[1] = counts[0] + 1, counts[1] + request.prompt
        if server.queued_prefill_tokens / server.prefill_rate > OBJECTIVE_S:
            request.outcome = "refused"
            return None
        server.queued_prefill_tokens += request.prompt
        conductor.prefills[server.name] += 1
        server.prefill_queue.append(request)
        return self._start_prefill(server)

    def _start_prefill(self, server: SimulatedServer) -> None:
        while not server.prefilling and server.prefill_queue:
            request = server.prefill_queue.popleft()
            if self.now_s - request.arrived_s > DEADLINE_S:
                server.queued_prefill_tokens -= request.prompt
                request.conductor.prefills[server.name] -= 1
                request.outcome = "gone"
                continue
            server.prefilling = True
            speed = max(0.2, 1 - server.streams / STREAMS_PER_SERVER)
            self.after(
                request.prompt / (server.prefill_rate * speed), self._prefill_finished, request, server
            )

    def _prefill_finished(self, request: SimulatedRequest, server: SimulatedServer) -> None:
        server.prefilling, server.queued_prefill_tokens = False, server.queued_prefill_tokens - request.prompt
        request.conductor.prefills[server.name] -= 1
        server.cache_entries += 1
        request.conductor.cache_entries[server.name] += 1
        self._send_decode(request)
        self._start_prefill(server)

    def _send_decode(self, request: SimulatedRequest) -> None:
        """Send to a decode server once; the cache entry is fetched when a stream is free."""
        if not request.conductor.decode_servers:
            return self._release_cache(request, "gone")
        candidates = self.rng.choices(request.conductor.decode_servers, k=3)
        server = min(candidates, key=lambda s: s.streams + len(s.decode_queue))
        if (
            len(server.decode_queue)
            * request.conductor.mean_answer_tokens[request.class_name]
            / server.decode_rate
            > OBJECTIVE_S
        ):
            return self._release_cache(request, "refused")
        request.decode_sends += 1
        request.conductor.streams[server.name] += 1
        server.decode_queue.append(request)
        return self._start_decode(server)

    def _start_decode(self, server: SimulatedServer) -> None:
        while server.streams < STREAMS_PER_SERVER and server.decode_queue:
            request = server.decode_queue.popleft()
            late_s = self.now_s - request.arrived_s
            if late_s > DEADLINE_S:
                request.conductor.streams[server.name] -= 1
                self._release_cache(request, "gone")
                continue
            self._release_cache(request, "in time" if late_s <= OBJECTIVE_S else "late")
            server.streams += 1
            slower = 1.5 if server.prefilling else 1.0
            self.after(
                request.answer * slower * STREAMS_PER_SERVER / server.decode_rate,
                self._decode_finished,
                request,
                server,
            )

    def _release_cache(self, request: SimulatedRequest, outcome: str) -> None:
        """Record the outcome, and remove the KV cache entry from its prefill server."""
        assert request.prefill_server is not None and not request.outcome
        request.outcome = outcome
        request.prefill_server.cache_entries -= 1
        request.conductor.cache_entries[request.prefill_server.name] -= 1

    def _decode_finished(self, request: SimulatedRequest, server: SimulatedServer) -> None:
        server.streams -= 1
        request.conductor.streams[server.name] -= 1
        request.conductor.mean_answer_tokens[request.class_name] += ANSWER_SAMPLE_WEIGHT * (
            request.answer - request.conductor.mean_answer_tokens[request.class_name]
        )
        self._start_decode(server)

    def served_value(self, from_s: float, to_s: float) -> float:
        """The mean value of the requests that arrived in an interval."""
        value_of_outcome = {"in time": 1.0, "late": LATE_VALUE}
        values = [
            value_of_outcome.get(request.outcome, 0.0)
            for request in self.requests
            if from_s <= request.arrived_s < to_s
        ]
        return sum(values) / max(1, len(values))
