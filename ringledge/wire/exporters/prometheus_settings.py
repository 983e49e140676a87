"""The settings of deploy/prometheus.toml."""

from __future__ import annotations

import msgspec

from ringledge.structures.setting_types import Count, OptionalAddress, Seconds


class PrometheusConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where /metrics is served, and where and how often metrics are sent by remote write."""

    listen: OptionalAddress = ""
    remote_write: str = ""  # URL of the receiver; empty to disable remote write
    interval_s: Seconds = 15.0
    queue: Count = 40  # limit of collections that wait to be sent
    timeout_s: Seconds = 5.0
    labels: dict[str, str] = {}  # added to each series
