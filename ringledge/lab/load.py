"""Open-loop load: arrivals are drawn ahead and wait for no answer; latency counts from the intended time.

A request that its client could only send late (for want of a socket, say) is late by that much too, so the
delays that a closed loop hides show here. The generator's own lateness is in its report.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, defaultdict, deque
from time import monotonic, sleep
from typing import Any

import orjson

from ringledge.lab.deployment import SETTINGS
from ringledge.lab.health_watch import HealthWatch
from ringledge.lab.load_client import Client
from ringledge.lab.load_plan import MAX_BODY_BYTES, Arrival, LoadPlan, arrivals
from ringledge.lab.load_report import Tally, histogram, quantiles

CLASSES = SETTINGS["classes"]
UNREAD_S = 0.02  # between two clients that read nothing: they are to fill memory, not the core
LATE_S = 0.05  # a generator that is itself later than this says so
SMALL = socket.SO_RCVBUF, 4096  # a client that reads nothing takes as little as the system allows


class Run:
    """One run of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.started = monotonic()
        self.tallies = [Tally() for _ in CLASSES]
        self.by_tenant: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.idle: deque[Client] = deque()
        self.open = 0
        self.opened = 0
        self.numbers = 0
        self.late_us = histogram()
        self.health = HealthWatch(plan.watch) if plan.watch else None
        self.filler = b"x" * MAX_BODY_BYTES
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

    def keep(self, client: Client) -> None:
        """An idle connection may carry the next request."""
        self.idle.append(client)

    def forget(self, client: Client) -> None:
        """A connection is lost."""
        if client in self.idle:
            self.idle.remove(client)

    def send(self, arrival: Arrival, new: bool = False) -> None:
        """Send a request on an idle connection, or on a new one."""
        told = CLASSES[arrival.class_index]
        remaining_s = told["deadline_ms"] / 1000 - (monotonic() - self.started - arrival.at_s)
        if remaining_s <= 0:
            return self.end(arrival, "no answer", 0.0)
        self.numbers += 1
        data = self._request(arrival, remaining_s)
        client = None if new else (self.idle.pop() if self.idle else None)
        if client is None:
            client = Client(self)
            self.opened += 1
            connecting = asyncio.ensure_future(self._connect(client))
            connecting.add_done_callback(lambda done: done.exception())
        client.send(arrival, data, remaining_s)

    def _request(self, arrival: Arrival, remaining_s: float) -> bytes:
        told = CLASSES[arrival.class_index]
        body = b'{"model":"%s","stream":true,"messages":[{"role":"user","content":"' % told["name"].encode()
        body += self.filler[: max(0, arrival.size - len(body) - 4)] + b'"}]}'
        head = (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\n"
            b"X-Call-Id: l%d-%d\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"
            b"X-Route-Hash: %x\r\nX-Budget-Ms: %d\r\nX-Call-Info: prompt_len=%d,max_out=80\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (
                self.plan.seed, self.numbers, told["name"].encode(), arrival.tenant.encode(),
                self.numbers, max(1, int(remaining_s * 1000)), arrival.size // 4, len(body),
            )
        )  # fmt: skip
        return head + body

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
            self.late_us.record_value(max(1, int(1e6 * max(0.0, monotonic() - self.started - arrival.at_s))))
            self.open += 1
            self.tallies[arrival.class_index].asked += 1
            self.by_tenant[arrival.tenant]["asked"] += 1
            self.send(arrival)

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
        watching = asyncio.ensure_future(self.health.run(self.started)) if self.health else None
        await self._arrive()
        until = monotonic() + max(each["deadline_ms"] for each in CLASSES) / 1000 + 5
        while self.open and monotonic() < until:
            await asyncio.sleep(0.02)
        if watching is not None:
            watching.cancel()
        for sock in held:
            sock.close()
        return self._report()

    def _report(self) -> dict[str, Any]:
        late, both = quantiles(self.late_us), list(zip(CLASSES, self.tallies, strict=True))
        worth = sum(tally.in_time * told["worth"] for told, tally in both)
        return {
            "classes": {told["name"]: tally.as_json() for told, tally in both},
            "goodput_per_s": round(sum(tally.in_time for tally in self.tallies) / self.plan.seconds, 1),
            "worth_per_s": round(worth / self.plan.seconds, 1),
            "tenants": {name: dict(counts) for name, counts in sorted(self.by_tenant.items())},
            "unanswered": self.open,
            "opened": self.opened,
            "healthcheck_ms": quantiles(self.health.latency_us) if self.health else {},
            "healthcheck_failed": self.health.failed if self.health else 0,
            "generator_late_ms": late,
            "generator_kept_up": not late or late["p99"] < LATE_S * 1000,
        }  # fmt: skip


def run(plan: LoadPlan) -> str:
    """Run a plan; its report as JSON."""

    async def started() -> dict[str, Any]:
        return await Run(plan).go()

    return orjson.dumps(asyncio.run(started()), option=orjson.OPT_INDENT_2).decode()
