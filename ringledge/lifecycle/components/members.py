"""Members: this process among the conductors that know of one another."""

from __future__ import annotations

import random

from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.shared import Part, Shared
from ringledge.members.cluster import ClusterMember
from ringledge.members.component import MembersComponent
from ringledge.members.settings import MembersConfig


def part(shared: Shared) -> Part:
    """Make it; parts behind it add deciders and duties. It says goodbye when all of them have stopped."""
    config, rng = shared.config, random.Random()  # unlike its peers' and its predecessor's: no seed is shared
    try:
        told = config.extra(MembersConfig)
        members = MembersComponent(told, config.name, config.peers, shared.metrics.registry, rng)
    except ValueError as error:
        raise ConfigError(f"members.toml: {error}") from error
    shared.fleet = ClusterMember(members)

    async def stop() -> None:
        members.stop()

    return Part(start=lambda: members.start(shared.tasks), stop=stop)
