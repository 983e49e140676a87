"""Settings of the durable queue: the keys of deploy/queue.toml.

A field with `name=` is read from that key.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=30 * 86_400)]
Count = Annotated[int, Meta(ge=1)]
Fraction = Annotated[float, Meta(gt=0, le=1)]
Weight = Annotated[float, Meta(gt=0, le=1_000)]


class QueueConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The queue of a site, used while the site is partitioned, and its replay afterwards."""

    path: Annotated[str, Meta(min_length=1)]  # the file: one per site, shared by the site's processes
    site: str = "here"  # the site's name, as other sites know it

    # Limits on what is queued.
    max_entries: Count = msgspec.field(name="entries", default=100_000)  # waiting or begun
    max_bytes: Annotated[int, Meta(ge=65_536)] = msgspec.field(  # of stored bodies and responses
        name="most_bytes", default=512 * 1024 * 1024
    )
    tenant_quota: Fraction = msgspec.field(name="tenant_share", default=0.5)  # of both, for one tenant
    max_entry_bytes: Annotated[int, Meta(ge=1_024)] = msgspec.field(  # of one body
        name="entry_bytes", default=262_144
    )

    # Life of an entry.
    expiry_s: Seconds = msgspec.field(name="expire_s", default=3_600.0)  # from arrival, while it is not sent
    retention_s: Seconds = msgspec.field(name="keep_s", default=86_400.0)  # of an outcome, for its client
    max_attempts: Count = msgspec.field(name="attempts", default=8)  # of an idempotent request
    lock_timeout_s: Annotated[float, Meta(gt=0, le=60)] = msgspec.field(  # while another process writes
        name="busy_s", default=2.0
    )

    # Replay.
    replay_fraction: Fraction = msgspec.field(  # of the capacity that live traffic leaves unused
        name="replay_part", default=0.5
    )
    reserved_fraction: Annotated[float, Meta(ge=0, lt=1)] = msgspec.field(  # of capacity, never for replay
        name="reserve", default=0.2
    )
    max_in_flight: Count = msgspec.field(name="in_flight", default=32)  # replayed entries at a time
    site_weights: dict[str, Weight] = msgspec.field(  # sites that share the capacity; empty: only this one
        name="sites", default_factory=dict
    )
    tenant_weights: dict[str, Weight] = msgspec.field(  # of tenants whose weight is not 1
        name="tenants", default_factory=dict
    )

    def __post_init__(self) -> None:
        if self.site_weights and self.site not in self.site_weights:
            raise ValueError(f"sites: {self.site!r} (site) has to be among them")
