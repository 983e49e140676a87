"""What the parts of the program that talk to other members share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ringledge.members.component import MembersPart
from ringledge.members.duty import Duty


@dataclass(slots=True, eq=False)
class Fleet:
    """The member that this process is, and the duties that its parts have to offer."""

    members: MembersPart
    duties: dict[str, Duty] = field(default_factory=dict)  # by name; whoever holds the lease does it
    give_up: Callable[[str], None] = lambda duty: None  # asked where a holder can't do its duty
