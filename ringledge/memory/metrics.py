"""The program's figures, kept in a Prometheus registry of its own."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram


class Metrics:
    """Every figure that is exported."""

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry()
        self.requests = Counter(
            "ringledge_requests", "Requests taken in, by class index", ["class"], registry=registry
        )
        self.answers = Counter(
            "ringledge_answers",
            "Requests ended: served, refused, failed, broken, gone",
            ["how"],
            registry=registry,
        )
        self.outcomes = Counter(
            "ringledge_attempt_outcomes", "Attempts ended, by outcome", ["status"], registry=registry
        )
        self.first_token = Histogram(
            "ringledge_first_token_seconds",
            "Time from a request's arrival to its first token",
            buckets=(0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10),
            registry=registry,
        )
        self.open_requests = Gauge("ringledge_open_requests", "Requests open now", registry=registry)
        self.client_sockets = Gauge(
            "ringledge_client_sockets", "Accepted connections open now", ["front"], registry=registry
        )
        self.server_sockets = Gauge(
            "ringledge_server_sockets", "Connections to servers open now", registry=registry
        )
        self.releases = Counter(
            "ringledge_releases",
            "Calls that let go of held state: done, retried, gone, lost",
            ["how"],
            registry=registry,
        )
        self.servers = Gauge(
            "ringledge_servers", "Servers in the list, by state", ["state"], registry=registry
        )
        self.list_age = Gauge(
            "ringledge_list_silence_seconds", "Time since discovery last wrote anything", registry=registry
        )
        self.lag = Gauge(
            "ringledge_loop_lag_seconds", "How late the event loop last ran a timer", registry=registry
        )
        self.xds_rejections = Counter(
            "ringledge_xds_rejections", "Versions of the endpoints that a proxy refused", registry=registry
        )
        self.remote_write = Counter(
            "ringledge_remote_write",
            "Collections for remote write: sent, dropped, overflowed",
            ["how"],
            registry=registry,
        )
