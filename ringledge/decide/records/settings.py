"""Settings of record replication (the table `facts` of deploy/members.toml)."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

SmallCount = Annotated[int, Meta(ge=1, le=16)]


class RecordsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times and counts of the replication of records."""

    # Time between two comparisons that a member starts.
    interval_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0
    # How long records are retained after their writer has died or left.
    retention_s: Annotated[float, Meta(ge=1, le=3600)] = msgspec.field(name="lifetime_s", default=30.0)
    # Members to which a change is pushed by its writer, and by each member to which it is new.
    fan_out: SmallCount = 3
    # Limit of the datagrams with records that answer one message.
    max_answer_datagrams: SmallCount = msgspec.field(name="answer", default=6)
