"""The program's figures, kept in a Prometheus registry of its own."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.metrics import MetricWrapperBase

FIRST_TOKEN_S = (0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10)
LOOP_S = (0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.075, 0.1, 0.2, 0.5, 1, 2)
RELEASE_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1, 2.5)
BODY_S = (0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01)
BODY_KB = (4, 16, 64, 256)  # sizes by which the cost of bodies is told


class Metrics:
    """Every figure that is exported."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests taken in, by class index", "class")
        self.answers = self._counter(
            "answers", "Requests ended: served, refused, failed, broken, gone; by class index", "how", "class"
        )
        self.sends = self._counter("sends", "Attempts written whole to servers")
        self.not_begun = self._counter("attempts_not_begun", "Attempts that were not begun, by reason", "why")
        self.given_up = self._counter(
            "given_up", "Requests refused or failed by the decisions, by reason", "how", "why"
        )
        self.refusals_withheld = self._counter(
            "refusals_withheld", "Refusals that were answered as failures, for the request may have run"
        )
        self.violations = self._counter(
            "invariant_violations", "What must never happen and did, by invariant; has to stay 0", "invariant"
        )
        self.outcomes = self._counter("attempt_outcomes", "Attempts ended, by outcome", "status")
        self.releases = self._counter(
            "releases", "Releases of held state: asked (calls), done, gone, lost", "how"
        )
        self.release_ms = Histogram(
            "ringledge_release_seconds",
            "Time from the end of a request's last attempt until its release was heard",
            buckets=RELEASE_S,
            registry=self.registry,
        )
        self.rejections = self._counter(
            "rejections", "Bad or crowded requests turned away, by front and status", "front", "status"
        )
        self.remote_write = self._counter(
            "remote_write", "Collections for remote write: sent, dropped, overflowed", "how"
        )
        self.xds_rejections = self._counter(
            "xds_rejections", "Versions of the endpoints that a proxy refused"
        )
        self.shed = self._counter("shed", "Requests turned away by the gate", "class", "reason")
        self.overload_changes = self._counter("overload_changes", "Times that the gate was closed or opened")
        self.first_token = Histogram(
            "ringledge_first_token_seconds",
            "Time from a request's arrival to its first token",
            buckets=FIRST_TOKEN_S,
            registry=self.registry,
        )
        self.loop_delay = Histogram(
            "ringledge_loop_delay_seconds",
            "How late heartbeats of the event loop were",
            buckets=LOOP_S,
            registry=self.registry,
        )
        self.body = Histogram(
            "ringledge_body_seconds",
            "Time spent on checking a request's body",
            ("kb",),
            buckets=BODY_S,
            registry=self.registry,
        )
        self.admitted = self._gauge(
            "admitted_share", "Requests let in over the last second; by class and share", "class", "share"
        )
        self.resident = self._gauge("resident_bytes", "Resident memory of the process")
        self.held = self._gauge("held_bytes", "Bytes that answers hold for slow clients or for a return")
        self.open_requests = self._gauge("open_requests", "Requests open now")
        self.client_sockets = self._gauge("client_sockets", "Accepted connections open now", "front")
        self.connections = self._gauge("connections", "Clients' connections, by state", "front", "state")
        self.woken = self._gauge("woken", "Connections at rest that were woken, since the start", "front")
        self.wheel_lag = self._gauge("wheel_lag_seconds", "How late keep-alive times are looked at", "front")
        self.closed = self._counter("closed", "Connections closed here: idle, other", "front", "how")
        self.doors = self._counter("doors", "Connections not let in, by why", "front", "why")
        self.server_sockets = self._gauge("server_sockets", "Connections to servers open now")
        self.servers = self._gauge("servers", "Servers in the list, by state", "state")
        self.avoided = self._gauge("servers_avoided", "Servers in the list that get nothing new, or hardly")
        self.list_age = self._gauge("list_silence_seconds", "Time since discovery last wrote anything")
        self.lag = self._gauge("loop_lag_seconds", "How late the event loop last ran a timer")

    @staticmethod
    def read(metric: MetricWrapperBase) -> dict[tuple[str, ...], float]:
        """What a counter or gauge says now, by its labels' values."""
        samples = [sample for family in metric.collect() for sample in family.samples]
        return {tuple(s.labels.values()): s.value for s in samples if not s.name.endswith("_created")}

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"ringledge_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"ringledge_{name}", text, labels, registry=self.registry)
