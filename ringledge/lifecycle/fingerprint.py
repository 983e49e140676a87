"""Whose settings something was learned or written under: a digest of their schema and names.

What the processes of a conductor hand over or keep is told in indices of the settings' lists, and in servers'
names. Under other lists the same index is another class or tenant.
"""

from __future__ import annotations

from hashlib import blake2b

import orjson

from ringledge.memory.names import Names
from ringledge.routing.interface import (
    RouterSettings,
)

SCHEMA = 1  # of what is handed over and kept; it grows whenever that means something else
BYTES = 8


def fingerprint(settings: RouterSettings, names: Names) -> str:
    """The digest in hex digits; equal for equal names of zones, kinds, classes and tenants in equal order."""
    roles = [kind.role.value for kind in settings.kinds]
    effects = [each.idempotency.value for each in settings.classes]
    told = [SCHEMA, names.zones, names.kinds, roles, names.classes, effects, names.tenants]
    return blake2b(orjson.dumps(told), digest_size=BYTES).hexdigest()
