"""What the components of this process share that take part in the cluster."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ringledge.members.component import MembersComponent
from ringledge.members.duty import Duty


def _no_lease(duty: str) -> None:
    """Without a lease manager there is nothing to release."""


@dataclass(slots=True, eq=False)
class ClusterMember:
    """The member that this process is, and the duties that its components offer."""

    members: MembersComponent
    duties: dict[str, Duty] = field(default_factory=dict)  # by name; the lease holder performs it
    release_duty: Callable[[str], None] = _no_lease  # for a lease holder that can't perform its duty
