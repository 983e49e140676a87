"""The component that exports metrics to Prometheus, by scrape, by remote write, or both."""

from __future__ import annotations

import random

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.lifecycle.fronts import PROGRAM_FRONT_MAX_CONNECTIONS, Service
from ringledge.wire.clients.platform import error_body
from ringledge.wire.exporters.prometheus_settings import PrometheusConfig
from ringledge.wire.exporters.remote_write import RemoteWrite, Scrape


def create(context: ProgramContext) -> Component:
    """Open the front for scrapes and create remote write, each if its address is configured."""
    config = context.config
    settings = config.settings_of(PrometheusConfig)
    if settings.listen:
        scrape = Scrape(context.metrics)
        context.fronts.open(
            Service("prometheus", settings.listen, scrape.handle, error_body, PROGRAM_FRONT_MAX_CONNECTIONS)
        )
    if not settings.remote_write:
        return Component()
    remote_write = RemoteWrite(settings, config.name, context.metrics, random.Random(config.seed))

    def start() -> None:
        context.tasks.start_soon(remote_write.collect)
        context.tasks.start_soon(remote_write.send)

    return Component(start=start)
