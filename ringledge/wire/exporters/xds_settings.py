"""What deploy/xds.toml may say."""

from __future__ import annotations

import msgspec

from ringledge.structures.setting_types import Address, Seconds


class XdsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where xDS is served."""

    listen: Address
    cluster: str = "ringledge-xds"  # the name under which the proxies know this listener
    poll_s: Seconds = 10.0  # a poll that finds nothing new is answered after so long
