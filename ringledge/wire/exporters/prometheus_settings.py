"""What deploy/prometheus.toml may say."""

from __future__ import annotations

import msgspec

from ringledge.structures.setting_types import Count, OptionalAddress, Seconds


class PrometheusConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where /metrics is scraped and where figures are written to."""

    listen: OptionalAddress = ""
    remote_write: str = ""  # the receiver's http address; empty: none
    interval_s: Seconds = 15.0
    queue: Count = 40  # collections that may wait
    timeout_s: Seconds = 5.0
    labels: dict[str, str] = {}  # added to each series that is written
