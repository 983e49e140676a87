"""Servers and conductors in virtual time, for `benchmarks/ratio.py`: roles by the program's own modules.

Each conductor has its own book of roles and hears rows late; servers read first come first, write in slots,
and do either more slowly while they do both. A server that comes to reading has kept no beginnings yet.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

import msgspec

from benchmarks.ratio_facts import Kept, Store
from benchmarks.ratio_servers import Job, Server
from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import decode_assignments
from ringledge.decide.ratio.role_registry import RolePhase, RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig

READ_PACE, WRITE_PACE, SLOTS = 8_000.0, 1_200.0, 20  # tokens per s of a server, streams at once
AIM_S, DEADLINE_S, LATE_WORTH = 2.5, 10.0, 0.3  # until the first token; whoever would wait so long is refused
ANEW = 1.5  # times the prompt tokens read at a reader that has kept nothing yet
NOISE = 0.15  # of a member's idea of a server's pace
TICK_S, TELL_S = 0.5, 1.0  # between a conductor's looks at its book, and between two of its facts
LEARN = 0.1  # weight of an ended answer in what a member takes its class's answers to be
BOOKINGS = 0.1  # of all requests: sent to a writer once and never again


class Conductor:
    """One member: sends by its own book, and tells what it sees."""

    def __init__(self, lab: Lab, name: str, site: str) -> None:
        self.lab, self.name, self.site = lab, name, site
        self.book, self.facts = RoleRegistry(lab.settings), Store(lab.facts, lab.rng, name)
        self.reads, self.streams, self.states = Counter[str](), Counter[str](), Counter[str]()
        self.counts: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])  # arrivals, unread, by class
        self.answers: dict[str, float] = defaultdict(lambda: 200.0)  # usual answer, by class
        self.readers, self.writers = list[Server](), list[Server]()
        self.heard = True  # whether it hears rows; one that is cut off goes on with those it has

    def tick(self) -> None:
        lab, book = self.lab, self.book
        if self.heard:
            for server, row in decode_assignments(self.facts.values(lab.now_s, "plan/")):
                book.receive(lab.now_s, server, row)
        changing = book.changing_servers()
        waiting = Counter[str]()
        for (_, key), value in (self.facts.values(lab.now_s, "server/") if changing else {}).items():
            if key[7:] in changing:
                waiting[key[7:]] += lab.seen.decode(value).waiting_entries
        for name in changing:
            book.update_in_flight(name, self.reads[name], self.streams[name])
            book.update_observation(name, waiting[name], 1.0)
        for name, state in book.tick(lab.now_s):
            if state is RolePhase.CHANGED and book.entries[name].role == "read":
                lab.servers[name].cold_s = max(lab.servers[name].cold_s, lab.now_s)
        roles = book.accepted_work()
        its = [lab.servers[name] for name in roles if lab.servers[name].site == self.site]
        self.readers = [server for server in its if "read" in roles[server.name]] or its
        self.writers = [server for server in its if "write" in roles[server.name]] or its
        lab.after(TICK_S, self.tick)

    def tell(self) -> None:
        lab, encode = self.lab, msgspec.msgpack.encode
        for kind in ("query0", "query1", "booking") if not lab.blind else ("any", "booking"):
            arrivals, unread = self.counts[kind]
            told = ClassDemand(arrivals / TELL_S, unread / TELL_S, arrivals / TELL_S * self.answers[kind])
            self.facts.write(lab.now_s, f"demand/{kind}", encode(told))
        self.counts.clear()
        reads, writes = set(self.readers), set(self.writers)
        for server in lab.servers.values():
            if server.site == self.site:
                read, write = (
                    pace * lab.rng.lognormvariate(0, NOISE) * (server in its)
                    for pace, its in ((server.read_pace, reads), (server.write_pace, writes))
                )
                warmth = min(1.0, (lab.now_s - server.cold_s) / lab.settings.warm_up_s)
                told_s = ServerObservation(read, write, warmth, self.states[server.name])
                self.facts.write(lab.now_s, f"server/{server.name}", encode(told_s))
        lab.after(TELL_S, self.tell)


class Lab:
    """One run; `mix(now_s)` gives requests per s and the part of them that is of the second kind."""

    def __init__(
        self,
        seed: int,
        sizes: tuple[int, int, int, int],
        settings: RatioConfig,
        shapes: Sequence[tuple[float, float]],
        mix: Callable[[float], tuple[float, float]],
        blind: bool = False,
    ) -> None:
        """`sizes`: sites, racks a site, servers a rack, members a site; `shapes`: prompt and answer tokens.

        `blind`: requests of both shapes are of one class, so that a shift shows late, in answers that end.
        """
        self.blind = blind
        self.rng, self.settings, self.shapes, self.mix = random.Random(seed), settings, shapes, mix
        self.now_s, self._events, self._numbers = 0.0, list[tuple[float, int, Any, Any]](), count()
        self.facts: Kept = defaultdict(dict)
        self.seen: msgspec.msgpack.Decoder[ServerObservation] = msgspec.msgpack.Decoder(ServerObservation)
        self.servers = dict[str, Server]()
        self.jobs, self.under_way = list[Job](), 0
        sites, racks, each, members = sizes
        for at in range(sites * racks * each):
            name, rack = f"b{at:03}", at // each
            read, write = (pace * self.rng.uniform(0.85, 1.15) for pace in (READ_PACE, WRITE_PACE))
            self.servers[name] = Server(name, f"s{rack // racks}", f"r{rack}", read, write)
        self.listed = [ListedServer(s.name, s.site, s.rack, "both") for s in self.servers.values()]
        self.conductors = [
            Conductor(self, f"c{site}{at}", f"s{site}") for site in range(sites) for at in range(members)
        ]
        for conductor in self.conductors:
            conductor.book.update_servers(0.0, dict.fromkeys(self.servers, "both"))
            self.after(self.rng.uniform(0, TICK_S), conductor.tick)
            self.after(self.rng.uniform(0, TELL_S), conductor.tell)
        self.after(2 * TICK_S, self._arrive)  # conductors have their rows by then

    def after(self, wait_s: float, call: Callable[..., None], *told: Any) -> None:
        """Call something in virtual time."""
        heapq.heappush(self._events, (self.now_s + wait_s, next(self._numbers), call, told))

    def play(self, until_s: float) -> None:
        """Go on up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, told = heapq.heappop(self._events)
            call(*told)
        self.now_s = until_s

    def _arrive(self) -> None:
        rate, part = self.mix(self.now_s)
        if rate <= 0:
            return  # the end: what is under way still goes on
        shape = int(self.rng.random() < part)
        prompt, answer = self.shapes[shape]
        home, vary = self.rng.choice(self.conductors), self.rng.expovariate
        booking = self.rng.random() < BOOKINGS
        kind = "booking" if booking else "any" if self.blind else f"query{shape}"
        lengths = 50 + vary(1 / (prompt - 50)), 10 + vary(1 / (answer - 10))
        job = Job(self.now_s, *lengths, kind, booking, home)
        self.jobs.append(job)
        if home.readers:
            self._read(job, home)
        self.after(self.rng.expovariate(rate), self._arrive)

    def _read(self, job: Job, home: Conductor) -> None:
        few = self.rng.choices(home.readers, k=3)
        server = job.reader = min(few, key=lambda s: s.unread / s.read_pace + s.streams / SLOTS)
        since_s = self.now_s - server.cold_s
        job.prompt *= 1 + (ANEW - 1) * max(0.0, 1 - since_s / self.settings.warm_up_s)
        counts = home.counts[job.kind]
        counts[0], counts[1] = counts[0] + 1, counts[1] + job.prompt
        if server.unread / server.read_pace > AIM_S:
            job.end = "refused"
            return None
        server.unread += job.prompt
        home.reads[server.name] += 1
        server.queue.append(job)
        return self._next_read(server)

    def _next_read(self, server: Server) -> None:
        while not server.reading and server.queue:
            job = server.queue.popleft()
            if self.now_s - job.at_s > DEADLINE_S:
                server.unread -= job.prompt
                job.home.reads[server.name] -= 1
                job.end = "gone"
                continue
            server.reading = True
            part = max(0.2, 1 - server.streams / SLOTS)
            self.after(job.prompt / (server.read_pace * part), self._was_read, job, server)

    def _was_read(self, job: Job, server: Server) -> None:
        server.reading, server.unread = False, server.unread - job.prompt
        job.home.reads[server.name] -= 1
        server.states += 1
        job.home.states[server.name] += 1
        self._write(job)
        self._next_read(server)

    def _write(self, job: Job) -> None:
        """Send to a writer once; its state is fetched when a place is free there, first come first."""
        if not job.home.writers:
            return self._fetched(job, "gone")
        few = self.rng.choices(job.home.writers, k=3)
        server = min(few, key=lambda s: s.streams + len(s.unwritten))
        if len(server.unwritten) * job.home.answers[job.kind] / server.write_pace > AIM_S:
            return self._fetched(job, "refused")
        job.sends += 1
        job.home.streams[server.name] += 1
        server.unwritten.append(job)
        return self._next_write(server)

    def _next_write(self, server: Server) -> None:
        while server.streams < SLOTS and server.unwritten:
            job = server.unwritten.popleft()
            late_s = self.now_s - job.at_s
            if late_s > DEADLINE_S:
                job.home.streams[server.name] -= 1
                self._fetched(job, "gone")
                continue
            self._fetched(job, "in time" if late_s <= AIM_S else "late")
            server.streams += 1
            slower = 1.5 if server.reading else 1.0
            self.after(job.answer * slower * SLOTS / server.write_pace, self._written, job, server)

    def _fetched(self, job: Job, end: str) -> None:
        """Its state is fetched, or let go of; nothing waits at its reader any more."""
        assert job.reader is not None and not job.end
        job.end = end
        job.reader.states -= 1
        job.home.states[job.reader.name] -= 1

    def _written(self, job: Job, server: Server) -> None:
        server.streams -= 1
        job.home.streams[server.name] -= 1
        job.home.answers[job.kind] += LEARN * (job.answer - job.home.answers[job.kind])
        self._next_write(server)

    def worth(self, from_s: float, to_s: float) -> float:
        """The part of what was asked for in a time that was served."""
        worths = {"in time": 1.0, "late": LATE_WORTH}
        jobs = [worths.get(job.end, 0.0) for job in self.jobs if from_s <= job.at_s < to_s]
        return sum(jobs) / max(1, len(jobs))
