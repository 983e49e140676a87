"""An open-loop load generator: requests are sent at times that do not depend on responses.

Latency is measured from the scheduled time of a request. If its client can only send it late, for example for
lack of a socket, this delay is part of the latency, which a closed loop would hide (coordinated omission).
The delay of the generator itself is part of the report.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, defaultdict, deque
from time import monotonic, sleep
from typing import Any
from uuid import uuid4

import orjson

from ringledge.lab.deployment import SETTINGS
from ringledge.lab.health_watch import HealthMonitor
from ringledge.lab.load_client import ClientConnection
from ringledge.lab.load_plan import MAX_BODY_BYTES, Arrival, LoadPlan, draw_arrivals
from ringledge.lab.load_report import ClassReport, latency_histogram_us, quantiles_ms

CLASSES = SETTINGS["classes"]
# Non-reading clients are started one after another at this interval: they are to use memory, not CPU time.
NON_READING_CLIENT_INTERVAL_S = 0.02
MAX_SEND_DELAY_S = 0.05  # with a higher 99th percentile, the report says that the generator was too slow
SMALL_RECEIVE_BUFFER = socket.SO_RCVBUF, 4096  # of non-reading clients: the system's minimum
POLL_INTERVAL_S = 0.02
RESPONSE_GRACE_S = 5.0  # how long after the longest deadline open requests are awaited


class LoadGenerator:
    """Runs a load plan once."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.run_id = uuid4().hex.encode()  # ids are fresh in each run: a router may remember the last ones
        self.started_s = monotonic()
        self.class_reports = [ClassReport() for _ in CLASSES]
        self.outcomes_by_tenant: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.idle_connections: deque[ClientConnection] = deque()
        self.open_requests = 0
        self.opened_connections = 0
        self.sent_requests = 0
        self.send_delays_us = latency_histogram_us()
        self.health_monitor = HealthMonitor(plan.health_address) if plan.health_address else None
        self.prompt_filler = b"x" * MAX_BODY_BYTES
        host, _, port = plan.target.rpartition(":")
        self.target = (host, int(port))

    def on_finished(self, arrival: Arrival, outcome: str, first_token_s: float) -> None:
        """Record the end of a request; `first_token_s`: monotonic time of its first token, 0 if none."""
        self.open_requests -= 1
        report = self.class_reports[arrival.class_index]
        report.outcomes[outcome] += 1
        self.outcomes_by_tenant[arrival.tenant][outcome] += 1
        latency_s = (first_token_s or monotonic()) - self.started_s - arrival.at_s
        if outcome == "served":
            report.within_objective += latency_s * 1000 <= _latency_objective_ms(arrival)
            report.first_token_us.record_value(max(1, int(latency_s * 1e6)))
        elif outcome in ("429", "503"):
            report.rejected_us.record_value(max(1, int(latency_s * 1e6)))

    def on_idle(self, client: ClientConnection) -> None:
        """Keep an idle connection for the next request."""
        self.idle_connections.append(client)

    def on_connection_lost(self, client: ClientConnection) -> None:
        """Forget a connection that was closed."""
        if client in self.idle_connections:
            self.idle_connections.remove(client)

    def send(self, arrival: Arrival, on_new_connection: bool = False) -> None:
        """Send a request on an idle connection, or on a new one if there is none."""
        deadline_s = CLASSES[arrival.class_index]["deadline_ms"] / 1000
        remaining_s = deadline_s - (monotonic() - self.started_s - arrival.at_s)
        if remaining_s <= 0:
            self.on_finished(arrival, "no answer", 0.0)
            return
        self.sent_requests += 1
        data = self._encode_request(arrival, remaining_s)
        if self.idle_connections and not on_new_connection:
            client = self.idle_connections.pop()
        else:
            client = self._open_connection()
        client.send(arrival, data, remaining_s)

    def _open_connection(self) -> ClientConnection:
        client = ClientConnection(self)
        self.opened_connections += 1
        connecting = asyncio.ensure_future(self._connect(client))
        connecting.add_done_callback(lambda done: done.exception())
        return client

    def _encode_request(self, arrival: Arrival, remaining_s: float) -> bytes:
        class_name = CLASSES[arrival.class_index]["name"].encode()
        body = b'{"model":"%s","stream":true,"messages":[{"role":"user","content":"' % class_name
        body += self.prompt_filler[: max(0, arrival.body_bytes - len(body) - 4)] + b'"}]}'
        headers = (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\n"
            b"X-Call-Id: l%s-%d\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"
            b"X-Route-Hash: %x\r\nX-Budget-Ms: %d\r\nX-Call-Info: prompt_len=%d,max_out=80\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (
                self.run_id, self.sent_requests, class_name, arrival.tenant.encode(),
                self.sent_requests, max(1, int(remaining_s * 1000)), arrival.body_bytes // 4, len(body),
            )
        )  # fmt: skip
        return headers + body

    async def _connect(self, client: ClientConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: client, *self.target)
        except OSError:
            client.finish("not connected")

    async def _send_arrivals(self) -> None:
        for arrival in draw_arrivals(self.plan):
            wait_s = self.started_s + arrival.at_s - monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            delay_s = max(0.0, monotonic() - self.started_s - arrival.at_s)
            self.send_delays_us.record_value(max(1, int(1e6 * delay_s)))
            self.open_requests += 1
            self.class_reports[arrival.class_index].requests += 1
            self.outcomes_by_tenant[arrival.tenant]["asked"] += 1
            self.send(arrival)

    def open_non_reading_clients(self) -> list[socket.socket]:
        """Open connections that each send a request and never read the response."""
        sockets = []
        for number in range(self.plan.non_reading_clients):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, *SMALL_RECEIVE_BUFFER)
            sock.connect(self.target)
            class_name = CLASSES[0]["name"].encode()
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\n"
                b"X-Call-Id: u%s-%d\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"
                b"X-Budget-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}"
                % (self.run_id, number, class_name, next(iter(self.plan.tenant_shares)).encode())
            )
            sockets.append(sock)
            sleep(NON_READING_CLIENT_INTERVAL_S)
        return sockets

    async def run(self) -> dict[str, Any]:
        """Send all requests, wait for the open ones to end, and return the report."""
        non_reading_clients = self.open_non_reading_clients()
        self.started_s = monotonic()
        monitor = self.health_monitor
        monitoring = asyncio.ensure_future(monitor.run(self.started_s)) if monitor else None
        await self._send_arrivals()
        wait_until_s = monotonic() + max(each["deadline_ms"] for each in CLASSES) / 1000 + RESPONSE_GRACE_S
        while self.open_requests and monotonic() < wait_until_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        if monitoring is not None:
            monitoring.cancel()
        for sock in non_reading_clients:
            sock.close()
        return self._report()

    def _report(self) -> dict[str, Any]:
        """The report for JSON; the keys are part of the lab's interface."""
        send_delays_ms = quantiles_ms(self.send_delays_us)
        by_class = list(zip(CLASSES, self.class_reports, strict=True))
        worth = sum(report.within_objective * request_class["worth"] for request_class, report in by_class)
        within_objective = sum(report.within_objective for report in self.class_reports)
        monitor = self.health_monitor
        return {
            "classes": {request_class["name"]: report.as_json() for request_class, report in by_class},
            "goodput_per_s": round(within_objective / self.plan.duration_s, 1),
            "worth_per_s": round(worth / self.plan.duration_s, 1),
            "tenants": {name: dict(counts) for name, counts in sorted(self.outcomes_by_tenant.items())},
            "unanswered": self.open_requests,
            "opened": self.opened_connections,
            "healthcheck_ms": quantiles_ms(monitor.latency_us) if monitor else {},
            "healthcheck_failed": monitor.failures if monitor else 0,
            "generator_late_ms": send_delays_ms,
            "generator_kept_up": not send_delays_ms or send_delays_ms["p99"] < MAX_SEND_DELAY_S * 1000,
        }


def _latency_objective_ms(arrival: Arrival) -> float:
    """The latency objective for the first token; a prompt token is taken as four bytes."""
    us_per_1000_tokens = SETTINGS["specifics"]["aim_us_per_1000_prompt_tokens"][arrival.class_index]
    objective_ms: float = (
        CLASSES[arrival.class_index]["goal_time_ms"] + us_per_1000_tokens * arrival.body_bytes / 4e6
    )
    return objective_ms


def run(plan: LoadPlan) -> str:
    """Run a plan, and return its report as JSON."""

    async def generate() -> dict[str, Any]:
        return await LoadGenerator(plan).run()

    return orjson.dumps(asyncio.run(generate()), option=orjson.OPT_INDENT_2).decode()
