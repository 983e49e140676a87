"""The component of membership: this process as a member of the cluster of routers."""

from __future__ import annotations

import random

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.context import ProgramContext
from ringledge.members.cluster import ClusterMember
from ringledge.members.component import MembersComponent
from ringledge.members.settings import MembersConfig


def create_member(context: ProgramContext) -> ClusterMember:
    """Create this process's member, to which later components add protocols and duties.

    Raises ConfigError if the settings are invalid.
    """
    config = context.config
    rng = random.Random()  # unseeded, so that it differs from those of peers and predecessor
    try:
        settings = config.settings_of(MembersConfig)
        members = MembersComponent(settings, config.name, config.peers, context.metrics.registry, rng)
    except ValueError as error:
        raise ConfigError(f"members.toml: {error}") from error
    return ClusterMember(members)


def create(context: ProgramContext, cluster_member: ClusterMember) -> Component:
    """Create the component; it leaves the cluster after all components that started later have stopped."""
    members = cluster_member.members

    async def stop() -> None:
        members.stop()

    return Component(start=lambda: members.start(context.tasks), stop=stop)
