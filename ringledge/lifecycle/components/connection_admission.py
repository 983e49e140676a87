"""The component of connection admission, which limits client connections by idle time and by network."""

from __future__ import annotations

import random

import anyio

from ringledge.decide.connections.admission import ConnectionAdmission
from ringledge.decide.connections.settings import AdmissionSettings
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.config import Config
from ringledge.lifecycle.context import ProgramContext
from ringledge.observe.logging import log

SILENT_NETWORKS_INTERVAL_S = 60.0  # between two reports of networks that send no requests
MAX_SILENT_NETWORKS = 5  # maximum number of networks in one report


def create_admission(config: Config) -> ConnectionAdmission:
    """Create the policy that the fronts apply to each new connection."""
    return ConnectionAdmission(config.settings_of(AdmissionSettings), random.Random(config.seed))


def create(context: ProgramContext, admission: ConnectionAdmission) -> Component:
    """Create the component that logs the policy's observations."""
    return Component(start=lambda: context.tasks.start_soon(_log_silent_networks, admission))


async def _log_silent_networks(admission: ConnectionAdmission) -> None:
    """Periodically log the client networks that open connections but send no requests."""
    while True:
        await anyio.sleep(SILENT_NETWORKS_INTERVAL_S)
        if networks := admission.top_networks_without_request(MAX_SILENT_NETWORKS):
            log.info("client_networks_reported", networks=networks, open=admission.open_by_rule())
