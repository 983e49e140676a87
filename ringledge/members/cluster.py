"""State shared by the components of this process that take part in the cluster."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ringledge.members.component import MembersComponent
from ringledge.members.duty import Duty


def _no_lease(duty: str) -> None:
    """Do nothing; the default where this process has no lease manager."""


@dataclass(slots=True, eq=False)
class ClusterMember:
    """The cluster member of this process, and the duties that its components can perform."""

    members: MembersComponent
    duties: dict[str, Duty] = field(
        default_factory=dict
    )  # by name; each is performed only by its lease holder
    # Awaited before this process releases its leases in a shutdown, e.g. until what it has begun is complete.
    before_release: list[Callable[[], Awaitable[None]]] = field(default_factory=list)
    release_duty: Callable[[str], None] = _no_lease  # called by a lease holder that cannot perform its duty
