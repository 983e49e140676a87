"""The component of the operators' front."""

from __future__ import annotations

from collections.abc import Callable

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.wire.clients.operator import OperatorHandler
from ringledge.wire.clients.platform import error_body


def create(context: ProgramContext, can_serve: Callable[[], bool]) -> Component:
    """Open the front, which accepts from the start, so that readiness can be queried at any time."""
    classes, fronts = context.config.names.classes, context.fronts
    operator = OperatorHandler(
        classes, context.metrics, context.servers, context.operator_overrides, can_serve
    )
    fronts.open_operator(context.config.operator, operator.handle, error_body)
    return Component(start=lambda: fronts.serve(fronts.operators, context.tasks))
