"""The metrics that the program exports, in a separate Prometheus registry."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.metrics import MetricWrapperBase

PREFIX = "ringledge"
FIRST_TOKEN_BUCKETS_S = (0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10)
LOOP_DELAY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.075, 0.1, 0.2, 0.5, 1, 2,
)  # fmt: skip
EVENT_BUCKETS_S = (0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.2, 1)
RELEASE_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1, 2.5)
BODY_BUCKETS_S = (0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01)
BODY_SIZE_BOUNDS_KB = (4, 16, 64, 256)  # upper bounds of body sizes: label `kb` of `ringledge_body_seconds`

M = TypeVar("M", bound=MetricWrapperBase)


class MetricSpec(Generic[M]):
    """Declares a metric as a class attribute; each instance of the class gets a metric of its own."""

    def __init__(self, create: Callable[[CollectorRegistry], M]) -> None:
        """`create` makes a metric in the given registry."""
        self.create = create

    def __get__(self, instance: object, owner: type) -> M:
        """Raise AttributeError: only instances have metrics, which `Metrics.__init__` sets on them."""
        raise AttributeError(f"{owner.__name__} has to be instantiated before its metrics are used")


def _counter(name: str, text: str, *labels: str) -> MetricSpec[Counter]:
    return MetricSpec(lambda registry: Counter(f"{PREFIX}_{name}", text, labels, registry=registry))


def _gauge(name: str, text: str, *labels: str) -> MetricSpec[Gauge]:
    return MetricSpec(lambda registry: Gauge(f"{PREFIX}_{name}", text, labels, registry=registry))


def _histogram(name: str, text: str, buckets: tuple[float, ...], *labels: str) -> MetricSpec[Histogram]:
    return MetricSpec(
        lambda registry: Histogram(f"{PREFIX}_{name}", text, labels, buckets=buckets, registry=registry)
    )


class Metrics:
    """All exported metrics, registered in the order of their declarations."""

    requests = _counter("requests", "Requests taken in, by class index", "class")
    answers = _counter(
        "answers", "Requests ended: served, refused, failed, broken, gone; by class index", "how", "class"
    )
    sends = _counter("sends", "Attempts written whole to servers")
    attempts_not_begun = _counter("attempts_not_begun", "Attempts that were not begun, by reason", "why")
    given_up = _counter("given_up", "Requests refused or failed by the decisions, by reason", "how", "why")
    refusals_withheld = _counter(
        "refusals_withheld", "Refusals that were answered as failures, for the request may have run"
    )
    violations = _counter(
        "invariant_violations", "What must never happen and did, by invariant; has to stay 0", "invariant"
    )
    attempt_outcomes = _counter("attempt_outcomes", "Attempts ended, by outcome", "status")
    entry_releases = _counter("entry_releases", "Releases for open requests, by reason", "why")
    releases = _counter("releases", "Releases of held state: asked (calls), done, gone, lost", "how")
    release_seconds = _histogram(
        "release_seconds",
        "Time from the end of a request's last attempt until its release was heard",
        RELEASE_BUCKETS_S,
    )
    rejections = _counter(
        "rejections", "Bad or crowded requests turned away, by front and status", "front", "status"
    )
    pipelined = _counter(
        "pipelined", "Requests that were there before the one ahead of them was answered", "front"
    )
    turns_waiting = _gauge("turns_waiting", "Connections whose pipelined input waits for its turn")
    remote_write = _counter("remote_write", "Collections for remote write: sent, dropped, overflowed", "how")
    xds_rejections = _counter("xds_rejections", "Versions of the endpoints that a proxy refused")
    shed = _counter("shed", "Requests turned away by the gate", "class", "reason")
    overload_changes = _counter("overload_changes", "Times that the gate was closed or opened")
    first_token_seconds = _histogram(
        "first_token_seconds", "Time from a request's arrival to its first token", FIRST_TOKEN_BUCKETS_S
    )
    loop_delay_seconds = _histogram(
        "loop_delay_seconds", "How late heartbeats of the event loop were", LOOP_DELAY_BUCKETS_S
    )
    event_cpu_seconds = _histogram(
        "event_cpu_seconds", "CPU time of one routing event, its actions included", EVENT_BUCKETS_S
    )
    body_seconds = _histogram("body_seconds", "Time spent on checking a request's body", BODY_BUCKETS_S, "kb")
    admitted_share = _gauge(
        "admitted_share", "Requests let in over the last second; by class and share", "class", "share"
    )
    resident_bytes = _gauge("resident_bytes", "Resident memory of the process")
    held_bytes = _gauge("held_bytes", "Bytes that answers hold for slow clients or for a return")
    open_requests = _gauge("open_requests", "Requests open now")
    client_sockets = _gauge("client_sockets", "Accepted connections open now", "front")
    connections = _gauge("connections", "Clients' connections, by state", "front", "state")
    woken = _gauge("woken", "Connections at rest that were woken, since the start", "front")
    wheel_lag_seconds = _gauge("wheel_lag_seconds", "How late keep-alive times are looked at", "front")
    closed = _counter("closed", "Connections closed here: idle, other", "front", "how")
    doors = _counter("doors", "Connections not let in, by why", "front", "why")
    server_sockets = _gauge("server_sockets", "Connections to servers open now")
    servers = _gauge("servers", "Servers in the list, by state", "state")
    servers_avoided = _gauge("servers_avoided", "Servers in the list that get nothing new, or hardly")
    list_silence_seconds = _gauge("list_silence_seconds", "Time since discovery last wrote anything")
    loop_lag_seconds = _gauge("loop_lag_seconds", "How late the event loop last ran a timer")

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        for attribute, declared in vars(Metrics).items():
            if isinstance(declared, MetricSpec):
                setattr(self, attribute, declared.create(self.registry))

    @staticmethod
    def read(metric: MetricWrapperBase) -> dict[tuple[str, ...], float]:
        """The current values of a counter or gauge, by label values."""
        samples = [sample for family in metric.collect() for sample in family.samples]
        return {tuple(s.labels.values()): s.value for s in samples if not s.name.endswith("_created")}
