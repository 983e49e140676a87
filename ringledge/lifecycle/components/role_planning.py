"""The component that assigns prefill and decode to mixed servers by a plan that one router makes for all."""

from __future__ import annotations

import time

from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.context import ProgramContext
from ringledge.members.cluster import ClusterMember
from ringledge.members.planner import LEASE_NAME, RolePlannerService
from ringledge.members.role_keeper import RoleFollower


def create(context: ProgramContext, cluster_member: ClusterMember) -> Component:
    """Register the planner as a duty, and follow the plan of the member that holds its lease.

    Raises ConfigError if this member's site is not one of the zones.
    """
    config, members = context.config, cluster_member.members
    settings, zones = config.settings_of(RatioConfig), config.names.zones
    if members.membership.local_member.site not in zones:
        raise ConfigError(f"members.toml: site: ratio.toml requires one of {', '.join(zones)}")
    role_registry = RoleRegistry(settings)
    role_follower = RoleFollower(
        settings, members.records, members.membership, context.conductor, config.names, role_registry
    )
    cluster_member.duties[LEASE_NAME] = RolePlannerService(
        settings, members.records, role_follower, role_registry, time.monotonic
    )
    context.conductor.context.observer = role_follower
    return Component(on_ready=lambda: context.tasks.start_soon(role_follower.run))
