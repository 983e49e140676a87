"""The settings of deploy/xds.toml."""

from __future__ import annotations

import msgspec

from ringledge.structures.setting_types import Address, Seconds


class XdsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how xDS is served."""

    listen: Address
    cluster: str = "ringledge-xds"  # the proxies' name for the cluster that serves xDS
    poll_s: Seconds = 10.0  # a poll is answered with 304 after this time without a change
