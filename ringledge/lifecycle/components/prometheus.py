"""Figures for Prometheus: scraped, written to a receiver, or both."""

from __future__ import annotations

import random

from ringledge.lifecycle.fronts import SMALL, Service
from ringledge.lifecycle.shared import Part, Shared
from ringledge.wire.clients.platform import error_body
from ringledge.wire.exporters.prometheus_settings import PrometheusConfig
from ringledge.wire.exporters.remote_write import RemoteWrite, Scrape


def part(shared: Shared) -> Part:
    """Open what the settings ask for."""
    config = shared.config
    told = config.extra(PrometheusConfig)
    if told.listen:
        scrape = Scrape(shared.metrics)
        shared.fronts.open(Service("prometheus", told.listen, scrape.handle, error_body, SMALL))
    if not told.remote_write:
        return Part()
    writer = RemoteWrite(told, config.name, shared.metrics, random.Random(config.seed))

    def start() -> None:
        shared.tasks.start_soon(writer.collect)
        shared.tasks.start_soon(writer.send)

    return Part(start=start)
