"""Prometheus metrics of the queue and of idempotency keys, registered only if they are enabled."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class QueueMetrics:
    """Counters and gauges of the local site's queue and its replay."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.accepted = Counter("ringledge_queue_entries", "Requests answered 202", registry=registry)
        self.rejected = Counter(
            "ringledge_queue_refused", "Requests not queued, by why", ("why",), registry=registry
        )
        self.outcomes = Counter("ringledge_queue_ended", "Entries ended, by how", ("how",), registry=registry)
        self.attempts = Counter(
            "ringledge_queue_sends", "Entries sent, by verdict", ("how",), registry=registry
        )
        self.stale_effects = Counter(
            "ringledge_queue_stale", "Effects refused since a newer holder is known", registry=registry
        )
        self.backlog_entries = Gauge("ringledge_queue_waiting", "Entries that wait", registry=registry)
        self.backlog_age = Gauge("ringledge_queue_oldest_seconds", "Age of the oldest one", registry=registry)
        self.site_state = Gauge("ringledge_site_state", "0 open, 1 short, 2 cut off", registry=registry)
        self.replay_rate = Gauge(
            "ringledge_replay_tokens_per_second", "Pace of the replay", registry=registry
        )


class IdempotencyKeyMetrics:
    """Counter of the chat front's requests with an idempotency key."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.rejected = Counter(
            "ringledge_idempotency_keys_refused",
            "Requests that were not run for their idempotency key, by why",
            ("why",),
            registry=registry,
        )
