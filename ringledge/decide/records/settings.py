"""How facts spread (the table `facts` of deploy/members.toml)."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Few = Annotated[int, Meta(ge=1, le=16)]


class RecordsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times and counts of the exchange of facts."""

    interval_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0  # between two comparisons by one member
    lifetime_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0  # that facts outlast a writer who died
    fan_out: Few = 3  # others that are told of a change at once, by the writer and by each who hears it first
    answer: Few = 6  # datagrams of records that one answer takes at most
