"""Connection admission: how long client connections may be idle, and how many each network may open."""

from __future__ import annotations

import random

import anyio

from ringledge.decide.connections.admission import ConnectionAdmission
from ringledge.decide.connections.settings import AdmissionSettings
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.config import Config
from ringledge.lifecycle.context import ProgramContext
from ringledge.observe.logging import log

SILENT_NETWORKS_INTERVAL_S = 60.0  # how often networks whose connections send no request are logged
MAX_SILENT_NETWORKS = 5  # that are logged at a time


def create_admission(config: Config) -> ConnectionAdmission:
    """The policy that the fronts apply to each new connection."""
    return ConnectionAdmission(config.settings_of(AdmissionSettings), random.Random(config.seed))


def create(context: ProgramContext, admission: ConnectionAdmission) -> Component:
    """A component that logs what the policy has observed."""
    return Component(start=lambda: context.tasks.start_soon(_log_silent_networks, admission))


async def _log_silent_networks(admission: ConnectionAdmission) -> None:
    """Log the client networks that open connections and send no request, at regular intervals."""
    while True:
        await anyio.sleep(SILENT_NETWORKS_INTERVAL_S)
        if networks := admission.top_networks_without_request(MAX_SILENT_NETWORKS):
            log.info("client_networks_reported", networks=networks, open=admission.open_by_rule())
