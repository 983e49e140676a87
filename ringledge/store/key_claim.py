"""The claim of a run to an idempotency key, and the hashes that the file has instead of names."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

HASH_BYTES = 16


def hash_name(name: str) -> bytes:
    """The hash that stands for a name in the file."""
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """The claim of one run to the idempotency key that started it."""

    tenant: str
    key: str  # as sent by the tenant's client
    run: str  # unique to the run
    origin: str  # what started it, e.g. the name of a queued entry, which may be run again if it never ran

    @property
    def key_hash(self) -> bytes:
        """Identifies the tenant and the key."""
        return hash_name(f"{len(self.tenant)}:{self.tenant}{self.key}")

    @property
    def run_hash(self) -> bytes:
        """Identifies the run."""
        return hash_name(self.run)

    @property
    def origin_hash(self) -> bytes:
        """Identifies the origin."""
        return hash_name(self.origin)
