"""Open-loop load: arrivals are drawn ahead and wait for no answer; latency counts from the intended time.

A request that its client could only send late (for want of a socket, say) is late by that much too, so the
delays that a closed loop hides show here. The generator's own lateness is in its report.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from time import monotonic, sleep
from typing import Any

import httptools
import numpy
import orjson
from hdrh.histogram import HdrHistogram

from ringledge.lab.servers import SETTINGS

CLASSES = SETTINGS["classes"]
MOST_BYTES = 250_000  # of a request's body: the protocol's limit is 256 KiB
QUANTILES = (50, 90, 99, 99.9, 100)
WATCH_S = 0.1  # between two calls of the operators' /healthcheck
UNREAD_S = 0.02  # between two clients that read nothing: they are to fill memory, not the core
LATE_S = 0.05  # a generator that is itself later than this says so
SMALL = socket.SO_RCVBUF, 4096  # a client that reads nothing takes as little as the system allows


@dataclass(slots=True, frozen=True)
class Burst:
    """A stretch with more requests, and larger ones if `kb` says so."""

    at_s: float
    for_s: float
    times: float
    kb: float | None


def burst(text: str) -> Burst:
    """Read AT,FOR,TIMES[,KB]; ValueError where it is none."""
    at_s, for_s, times, *kb = map(float, text.split(","))
    if len(kb) > 1:
        raise ValueError(f"a burst is AT,FOR,TIMES[,KB], not {text}")
    return Burst(at_s, for_s, times, kb[0] if kb else None)


def shares(text: str) -> dict[str, float]:
    """Read NAME=SHARE,...; all tenants with their fractions where it is empty."""
    if not text:
        return {each["name"]: each["fraction"] for each in SETTINGS["tenants"]}
    return {name: float(share) for name, share in (each.split("=") for each in text.split(","))}


@dataclass(slots=True, frozen=True)
class Plan:
    """What is sent; rates a second, sizes in KB."""

    target: str
    rate: float
    seconds: float
    bookings: float
    prompt_kb: float
    prompt_sigma: float
    tenants: dict[str, float]
    bursts: tuple[Burst, ...] = ()
    unread: int = 0
    watch: str = ""
    seed: int = 1


@dataclass(slots=True)
class Arrival:
    """One request as it was drawn."""

    at_s: float
    class_index: int
    tenant: str
    size: int


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """A Poisson process with the plan's stretches, the same for the same seed."""
    rng = numpy.random.default_rng(plan.seed)
    names, parts = list(plan.tenants), numpy.array(list(plan.tenants.values()))
    at_s = 0.0
    while True:
        now = next((b for b in plan.bursts if b.at_s <= at_s < b.at_s + b.for_s), None)
        at_s += rng.exponential(1 / (plan.rate * (now.times if now else 1.0)))
        if at_s >= plan.seconds:
            return
        kb = now.kb if now and now.kb else plan.prompt_kb
        size = int(1024 * kb * math.exp(plan.prompt_sigma * rng.standard_normal()))
        booking = int(rng.random() < plan.bookings)
        tenant = str(rng.choice(names, p=parts / parts.sum()))
        yield Arrival(at_s, booking, tenant, max(100, min(size, MOST_BYTES)))


@dataclass(slots=True)
class Tally:
    """What became of one class's requests."""

    asked: int = 0
    in_time: int = 0  # served whole, its first token inside the aim
    ends: Counter[str] = field(default_factory=Counter)
    served_us: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))  # to the first token
    refused_us: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))

    def told(self) -> dict[str, Any]:
        """As JSON."""
        return {
            "asked": self.asked,
            "served_share": round(self.ends["served"] / max(1, self.asked), 4),
            "in_time_share": round(self.in_time / max(1, self.asked), 4),
            "ends": dict(self.ends),
            "first_token_ms": quantiles(self.served_us),
            "refused_ms": quantiles(self.refused_us),
        }


def quantiles(histogram: Any) -> dict[str, float]:
    """Some quantiles, in milliseconds."""
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES}


class Client(asyncio.Protocol):
    """One connection of the load's clients; it carries one request at a time and is kept between them."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.arrival: Arrival | None = None
        self.first_s = 0.0
        self.last = False  # the answer said that its connection ends
        self.fresh = True
        self.deadline: asyncio.TimerHandle | None = None
        self.waiting = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.waiting:
            transport.write(self.waiting)
            self.waiting = b""

    def send(self, arrival: Arrival, data: bytes, patience_s: float) -> None:
        """Begin a request; what is left of its patience bounds it."""
        self.arrival, self.first_s, self.last = arrival, 0.0, False
        self.deadline = asyncio.get_running_loop().call_later(patience_s, self.give_up)
        if self.transport is None:
            self.waiting = data
        else:
            self.transport.write(data)

    def give_up(self) -> None:
        """No first token in time."""
        if not self.first_s:
            self.end("no answer" if self.transport else "not connected")
            if self.transport is not None:
                self.transport.abort()

    def end(self, how: str) -> None:
        """Enter how the request ended."""
        if self.arrival is not None:
            arrival, self.arrival = self.arrival, None
            if self.deadline is not None:
                self.deadline.cancel()
            self.run.end(arrival, how, self.first_s)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.end("garbled")
            if self.transport is not None:
                self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self.last = self.last or (name.lower() == b"connection" and value.lower() == b"close")

    def on_body(self, _: bytes) -> None:
        """Called by the parser."""
        self.first_s = self.first_s or monotonic()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        status = self.parser.get_status_code()
        self.end("served" if status == 200 else str(status))
        self.fresh = False
        if not self.last and self.transport is not None:
            self.run.idle.append(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        arrival, self.transport = self.arrival, None
        if arrival is not None and not self.first_s and not self.fresh:
            # Closed between requests: the closing crossed this one, which may go out once more.
            if self.deadline is not None:
                self.deadline.cancel()
            self.arrival = None
            self.run.send(arrival, new=True)
        self.end("broken" if self.first_s else "closed")
        if self in self.run.idle:
            self.run.idle.remove(self)


class Run:
    """One run of a plan."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.started = monotonic()
        self.tallies = [Tally() for _ in CLASSES]
        self.by_tenant: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.idle: deque[Client] = deque()
        self.open = 0
        self.opened = 0
        self.numbers = 0
        self.late = HdrHistogram(1, 120_000_000, 3)
        self.health_us = HdrHistogram(1, 120_000_000, 3)
        self.health_failed = 0
        self.filler = b"x" * MOST_BYTES
        host, _, port = plan.target.rpartition(":")
        self.address = (host, int(port))

    def end(self, arrival: Arrival, how: str, first_s: float) -> None:
        """A request is over."""
        self.open -= 1
        tally = self.tallies[arrival.class_index]
        tally.ends[how] += 1
        self.by_tenant[arrival.tenant][how] += 1
        waited_s = (first_s or monotonic()) - self.started - arrival.at_s
        if how == "served":
            more_us = SETTINGS["specifics"]["aim_us_per_1000_prompt_tokens"][arrival.class_index]
            aim_ms = CLASSES[arrival.class_index]["goal_time_ms"] + more_us * arrival.size / 4e6
            tally.in_time += waited_s * 1000 <= aim_ms
            tally.served_us.record_value(max(1, int(waited_s * 1e6)))
        elif how in ("429", "503"):
            tally.refused_us.record_value(max(1, int(waited_s * 1e6)))

    def send(self, arrival: Arrival, new: bool = False) -> None:
        """Send a request on a kept connection, or on a new one."""
        told = CLASSES[arrival.class_index]
        patience_s = told["deadline_ms"] / 1000 - (monotonic() - self.started - arrival.at_s)
        if patience_s <= 0:
            return self.end(arrival, "no answer", 0.0)
        self.numbers += 1
        body = b'{"model":"%s","stream":true,"messages":[{"role":"user","content":"' % told["name"].encode()
        body += self.filler[: max(0, arrival.size - len(body) - 4)] + b'"}]}'
        data = (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\n"
            b"X-Call-Id: l%d-%d\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"
            b"X-Route-Hash: %x\r\nX-Budget-Ms: %d\r\nX-Call-Info: prompt_len=%d,max_out=80\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (
                self.plan.seed, self.numbers, told["name"].encode(), arrival.tenant.encode(),
                self.numbers, max(1, int(patience_s * 1000)), arrival.size // 4, len(body),
            )
        ) + body  # fmt: skip
        client = None if new else (self.idle.pop() if self.idle else None)
        if client is None:
            client = Client(self)
            self.opened += 1
            connecting = asyncio.ensure_future(self._connect(client))
            connecting.add_done_callback(lambda done: done.exception())
        client.send(arrival, data, patience_s)

    async def _connect(self, client: Client) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: client, *self.address)
        except OSError:
            client.end("not connected")

    async def _arrive(self) -> None:
        for arrival in arrivals(self.plan):
            wait_s = self.started + arrival.at_s - monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.late.record_value(max(1, int(1e6 * max(0.0, monotonic() - self.started - arrival.at_s))))
            self.open += 1
            self.tallies[arrival.class_index].asked += 1
            self.by_tenant[arrival.tenant]["asked"] += 1
            self.send(arrival)

    async def _watch(self) -> None:
        """Call /healthcheck at its intended times."""
        host, _, port = self.plan.watch.rpartition(":")
        number = 0
        pending: set[asyncio.Task[None]] = set()

        async def call(due: float) -> None:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: lab\r\n\r\n")
                yes = (await asyncio.wait_for(reader.read(100), 5.0)).startswith(b"HTTP/1.1 200")
                writer.close()
            except (OSError, TimeoutError):
                yes = False
            self.health_failed += not yes
            self.health_us.record_value(max(1, int((monotonic() - due) * 1e6)))

        while True:
            due = self.started + number * WATCH_S
            number += 1
            await asyncio.sleep(max(0.0, due - monotonic()))
            task = asyncio.ensure_future(call(due))
            pending.add(task)
            task.add_done_callback(pending.discard)

    def unread(self) -> list[socket.socket]:
        """Clients that ask and then read nothing."""
        held = []
        for number in range(self.plan.unread):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, *SMALL)
            sock.connect(self.address)
            told = CLASSES[0]["name"].encode()
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\n"
                b"X-Call-Id: u%d-%d\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"
                b"X-Budget-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}"
                % (self.plan.seed, number, told, next(iter(self.plan.tenants)).encode())
            )
            held.append(sock)
            sleep(UNREAD_S)
        return held

    async def go(self) -> dict[str, Any]:
        """Send all, wait for what is open, and report."""
        held = self.unread()
        self.started = monotonic()
        watching = asyncio.ensure_future(self._watch()) if self.plan.watch else None
        await self._arrive()
        until = monotonic() + max(each["deadline_ms"] for each in CLASSES) / 1000 + 5
        while self.open and monotonic() < until:
            await asyncio.sleep(0.02)
        if watching is not None:
            watching.cancel()
        for sock in held:
            sock.close()
        late, both = quantiles(self.late), list(zip(CLASSES, self.tallies, strict=True))
        worth = sum(tally.in_time * told["worth"] for told, tally in both)
        return {
            "classes": {told["name"]: tally.told() for told, tally in both},
            "goodput_per_s": round(sum(tally.in_time for tally in self.tallies) / self.plan.seconds, 1),
            "worth_per_s": round(worth / self.plan.seconds, 1),
            "tenants": {name: dict(counts) for name, counts in sorted(self.by_tenant.items())},
            "unanswered": self.open,
            "opened": self.opened,
            "healthcheck_ms": quantiles(self.health_us),
            "healthcheck_failed": self.health_failed,
            "generator_late_ms": late,
            "generator_kept_up": not late or late["p99"] < LATE_S * 1000,
        }  # fmt: skip


def run(plan: Plan) -> str:
    """Run a plan; its report as JSON."""

    async def started() -> dict[str, Any]:
        return await Run(plan).go()

    return orjson.dumps(asyncio.run(started()), option=orjson.OPT_INDENT_2).decode()
