"""Which servers of both kinds read and which write, by a plan that one conductor makes for all."""

from __future__ import annotations

import time

from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.shared import Part, Shared
from ringledge.members.planner import LEASE_NAME, RolePlannerService
from ringledge.members.role_keeper import RoleFollower


def part(shared: Shared) -> Part:
    """Offer the planner's duty, and keep to what whoever holds it has told."""
    config, fleet, told = shared.config, shared.fleet, shared.config.extra(RatioConfig)
    if fleet is None or "duties" not in config.extras:
        raise ConfigError("ratio.toml: members.toml and duties.toml have to be enabled, too")
    members, zones = fleet.members, config.names.zones
    if members.membership.me.site not in zones:
        raise ConfigError(f"members.toml: site: for ratio.toml one of {', '.join(zones)}")
    book = RoleRegistry(told)
    keeper = RoleFollower(told, members.facts, members.membership, shared.conductor, config.names, book)
    fleet.duties[LEASE_NAME] = RolePlannerService(told, members.facts, keeper, book, time.monotonic)
    shared.conductor.context.observer = keeper
    return Part(ready=lambda: shared.tasks.start_soon(keeper.run))
