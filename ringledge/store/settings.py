"""What deploy/queue.toml may say."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=30 * 86_400)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(gt=0, le=1)]
Weight = Annotated[float, Meta(gt=0, le=1_000)]


class QueueConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The queue of a site that is cut off, and how it is replayed."""

    path: Annotated[str, Meta(min_length=1)]  # the file; one a site, shared by the site's processes
    site: str = "here"  # the name that other sites know this one by
    entries: Count = 100_000  # waiting or begun, at most
    most_bytes: Annotated[int, Meta(ge=65_536)] = 512 * 1024 * 1024  # of questions and answers kept
    tenant_share: Share = 0.5  # of both that one tenant may have
    entry_bytes: Annotated[int, Meta(ge=1_024)] = 262_144  # of one question
    expire_s: Seconds = 3_600.0  # after so long unsent, an entry is told as expired
    keep_s: Seconds = 86_400.0  # that an end is kept for its client to fetch
    attempts: Count = 8  # sends of what may be repeated, until it ends as failed
    busy_s: Annotated[float, Meta(gt=0, le=60)] = 2.0  # that another process may hold the file
    replay_part: Share = 0.5  # of the capacity that live traffic leaves over which replay may take
    reserve: Annotated[float, Meta(ge=0, lt=1)] = 0.2  # of the capacity that replay never takes
    in_flight: Count = 32  # entries under way together, at most
    sites: dict[str, Weight] = {}  # all sites that share the capacity; empty: this one alone
    tenants: dict[str, Weight] = {}  # tenants that don't weigh 1

    def __post_init__(self) -> None:
        if self.sites and self.site not in self.sites:
            raise ValueError(f"sites: {self.site!r} (site) has to be among them")
