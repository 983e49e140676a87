"""Settings of the durable queue: the keys of deploy/queue.toml.

A field with `name=` is read from the key of that name.
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
    """The queue of a site, which is filled while the site is partitioned, and its replay afterwards."""

    path: Annotated[str, Meta(min_length=1)]  # the queue's file, shared by all processes of the site
    site: str = "here"  # name under which other sites know this one

    # Limits on the contents
    max_entries: Count = msgspec.field(name="entries", default=100_000)  # entries that wait or have begun
    # Bytes of stored bodies and responses, including those of ended entries.
    max_bytes: Annotated[int, Meta(ge=65_536)] = msgspec.field(name="most_bytes", default=512 * 1024 * 1024)
    # Fraction of both limits above that one tenant may use.
    tenant_quota: Fraction = msgspec.field(name="tenant_share", default=0.5)
    # Size of one body.
    max_entry_bytes: Annotated[int, Meta(ge=1_024)] = msgspec.field(name="entry_bytes", default=262_144)

    # Life cycle of an entry
    expiry_s: Seconds = msgspec.field(name="expire_s", default=3_600.0)  # after arrival, unless sent before
    retention_s: Seconds = msgspec.field(name="keep_s", default=86_400.0)  # of an ended entry, for its client
    max_attempts: Count = msgspec.field(name="attempts", default=8)  # of an idempotent request
    # Maximum wait for the lock of the file while another process holds it.
    lock_timeout_s: Annotated[float, Meta(gt=0, le=60)] = msgspec.field(name="busy_s", default=2.0)

    # Replay
    # Fraction of the spare capacity, which live traffic leaves unused.
    replay_fraction: Fraction = msgspec.field(name="replay_part", default=0.5)
    # Fraction of all capacity that is never used for replay.
    reserved_fraction: Annotated[float, Meta(ge=0, lt=1)] = msgspec.field(name="reserve", default=0.2)
    max_in_flight: Count = msgspec.field(name="in_flight", default=32)  # entries in flight in the replay
    # Weights of all sites that share capacity; empty if there is only this site.
    site_weights: dict[str, Weight] = msgspec.field(name="sites", default_factory=dict)
    # Weights of tenants, where they differ from 1.
    tenant_weights: dict[str, Weight] = msgspec.field(name="tenants", default_factory=dict)

    def __post_init__(self) -> None:
        if self.site_weights and self.site not in self.site_weights:
            raise ValueError(f"sites: {self.site!r}, the value of site, is missing")
