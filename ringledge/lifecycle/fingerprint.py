"""The fingerprint of settings: a digest of the lists that handed-over and stored data refer to by index.

The processes of a router hand over and store names of servers and indices into lists of the settings. With
different lists an index denotes another class or tenant, so a process uses only data that has its own
fingerprint.
"""

from __future__ import annotations

from hashlib import blake2b

import orjson

from ringledge.memory.names import WireNames
from ringledge.routing.interface import RouterSettings

SCHEMA = 1  # version of handed-over and stored data; increase it when their meaning changes
DIGEST_BYTES = 8


def fingerprint(settings: RouterSettings, names: WireNames) -> str:
    """The digest in hex digits; equal for equal names of zones, kinds, classes and tenants in equal order."""
    roles = [kind.role.value for kind in settings.kinds]
    idempotency = [each.idempotency.value for each in settings.classes]
    fields = [SCHEMA, names.zones, names.kinds, roles, names.classes, idempotency, names.tenants]
    return blake2b(orjson.dumps(fields), digest_size=DIGEST_BYTES).hexdigest()
