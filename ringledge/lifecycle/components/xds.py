"""The front that other proxies poll."""

from __future__ import annotations

from ringledge.lifecycle.fronts import SMALL, Service
from ringledge.lifecycle.shared import Part, Shared
from ringledge.wire.exporters.xds import Xds, error_body
from ringledge.wire.exporters.xds_settings import XdsConfig


def part(shared: Shared) -> Part:
    """Open it."""
    told = shared.config.extra(XdsConfig)
    polls = Xds(told, shared.config.names, shared.conductor, shared.metrics)
    shared.fronts.open(Service("xds", told.listen, polls.handle, error_body, SMALL))
    return Part()
