"""The operators' front."""

from __future__ import annotations

from ringledge.lifecycle.shared import Part, Shared
from ringledge.wire.clients.operator import Operator
from ringledge.wire.clients.platform import error_body


def part(shared: Shared) -> Part:
    """Open it; it serves from the start, so that it can be asked whether the rest does."""
    classes, fronts = shared.config.names.classes, shared.fronts
    calls = Operator(classes, shared.metrics, shared.servers, shared.by_hand, shared.can_serve)
    fronts.open_operator(shared.config.operator, calls.handle, error_body)
    return Part(start=lambda: fronts.serve(fronts.operators, shared.tasks))
