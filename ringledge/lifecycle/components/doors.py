"""The doors, which say how long connections may rest and who may open how many."""

from __future__ import annotations

import random

import anyio

from ringledge.decide.connections.admission import ConnectionAdmission
from ringledge.decide.connections.settings import AdmissionSettings
from ringledge.lifecycle.shared import Part, Shared
from ringledge.observe.logging import log

SILENT_S, SILENT_MOST = 60.0, 5  # how often networks that open without asking are named, and how many


def part(shared: Shared) -> Part:
    """Make them, for the fronts to ask."""
    config = shared.config
    shared.fronts.doors = doors = ConnectionAdmission(
        config.extra(AdmissionSettings), random.Random(config.seed)
    )
    return Part(start=lambda: shared.tasks.start_soon(_tell_silent, doors))


async def _tell_silent(doors: ConnectionAdmission) -> None:
    """Name the client networks that open connections and ask for nothing."""
    while True:
        await anyio.sleep(SILENT_S)
        if networks := doors.top_networks_without_request(SILENT_MOST):
            log.info("networks_silent", networks=networks, open=doors.open_by_rule())
