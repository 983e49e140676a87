"""The component of the xDS front, which other proxies poll."""

from __future__ import annotations

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.lifecycle.fronts import PROGRAM_FRONT_MAX_CONNECTIONS, Service
from ringledge.wire.exporters.xds import Xds, error_body
from ringledge.wire.exporters.xds_settings import XdsConfig


def create(context: ProgramContext) -> Component:
    """Open the front; the component needs no hooks."""
    settings = context.config.settings_of(XdsConfig)
    xds = Xds(settings, context.config.names, context.conductor, context.metrics)
    context.fronts.open(
        Service("xds", settings.listen, xds.handle, error_body, PROGRAM_FRONT_MAX_CONNECTIONS)
    )
    return Component()
