"""A fingerprint of settings: a digest of the lists whose indices and names are handed over and stored.

The processes of a conductor hand over and store indices of the settings' lists and names of servers. With
other lists the same index is another class or tenant, so a process only uses what has its own fingerprint.
"""

from __future__ import annotations

from hashlib import blake2b

import orjson

from ringledge.memory.names import WireNames
from ringledge.routing.interface import RouterSettings

SCHEMA = 1  # version of what is handed over and stored; to be increased when its meaning changes
DIGEST_BYTES = 8


def fingerprint(settings: RouterSettings, names: WireNames) -> str:
    """The digest in hex digits; equal for equal names of zones, kinds, classes and tenants in equal order."""
    roles = [kind.role.value for kind in settings.kinds]
    idempotency = [each.idempotency.value for each in settings.classes]
    fields = [SCHEMA, names.zones, names.kinds, roles, names.classes, idempotency, names.tenants]
    return blake2b(orjson.dumps(fields), digest_size=DIGEST_BYTES).hexdigest()
