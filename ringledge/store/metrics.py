"""The queue's figures; registered only where the queue is enabled."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class QueueMetrics:
    """What the queue counts."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.queued = Counter("ringledge_queue_entries", "Requests answered 202", registry=registry)
        self.refused = Counter(
            "ringledge_queue_refused", "Requests not queued, by why", ("why",), registry=registry
        )
        self.ended = Counter("ringledge_queue_ended", "Entries ended, by how", ("how",), registry=registry)
        self.sends = Counter("ringledge_queue_sends", "Entries sent, by verdict", ("how",), registry=registry)
        self.stale = Counter(
            "ringledge_queue_stale", "Effects refused since a newer holder is known", registry=registry
        )
        self.waiting = Gauge("ringledge_queue_waiting", "Entries that wait", registry=registry)
        self.oldest = Gauge("ringledge_queue_oldest_seconds", "Age of the oldest one", registry=registry)
        self.state = Gauge("ringledge_site_state", "0 open, 1 short, 2 cut off", registry=registry)
        self.pace = Gauge("ringledge_replay_tokens_per_second", "Pace of the replay", registry=registry)
