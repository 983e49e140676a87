"""Settings of members: deploy/members.toml, and what RELAY_CONFIG overrides of it."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ringledge.decide.datagram import MAX_NAME_BYTES, validated_name
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.records.settings import RecordsConfig
from ringledge.members.codec import MAX_KEY_BYTES, MIN_KEY_BYTES
from ringledge.members.datagrams import parse_endpoint

Text = Annotated[str, Meta(min_length=1, max_length=64)]


class MembersConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cluster, the addresses of its members, and the settings of membership and record replication."""

    cluster: Text  # datagrams of other clusters are dropped
    key_file: str  # holds the key that all members share, in hex, 16 to 64 bytes
    listen: str = ""  # IP:PORT of the datagram socket; empty: peer_listen of RELAY_CONFIG
    advertise: str = ""  # where others reach this member, if not at listen
    # One address that reaches all members; peers_all of RELAY_CONFIG overrides it.
    broadcast_address: str = msgspec.field(name="everyone", default="")
    site: Annotated[str, Meta(max_length=MAX_NAME_BYTES)] = ""
    peers: dict[str, str] = {}  # name to IP:PORT; those of RELAY_CONFIG override these
    # Whether members that `peers` does not list may join, if they have the key.
    accept_unlisted: bool = msgspec.field(name="strangers", default=False)
    buffer_kb: Annotated[int, Meta(ge=16, le=4096)] = 256  # of the socket, for waiting datagrams
    probe: ProbeConfig = ProbeConfig()
    records: RecordsConfig = msgspec.field(name="facts", default=RecordsConfig())

    def __post_init__(self) -> None:
        addresses = {"listen": self.listen, "advertise": self.advertise, "everyone": self.broadcast_address}
        for key, address in addresses.items():
            if address:
                _check_address(key, address)
        for name, address in self.peers.items():
            validated_name(name)
            _check_address(f"peers.{name}", address)

    def key(self) -> bytes:
        """The shared key; ValueError where the file does not hold one."""
        try:
            key = bytes.fromhex(Path(self.key_file).read_text().strip())
        except (OSError, ValueError) as error:
            raise ValueError(f"key_file: {self.key_file}: {error}") from error
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"key_file: {self.key_file}: {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hex are allowed"
            )
        return key


def with_platform_config(settings: MembersConfig, relay_config: Mapping[str, Any]) -> MembersConfig:
    """The settings as overridden by RELAY_CONFIG; ValueError: they are invalid, or name no listen address."""
    peers = relay_config.get("peers") or {}
    if not isinstance(peers, Mapping):
        raise ValueError("peers: names with their addresses are allowed")
    merged = msgspec.structs.replace(
        settings,
        listen=str(relay_config.get("peer_listen") or settings.listen),
        broadcast_address=str(relay_config.get("peers_all") or settings.broadcast_address),
        peers={**settings.peers, **{str(name): str(address) for name, address in peers.items()}},
    )
    if not merged.listen:
        raise ValueError("listen: an address is needed here, or peer_listen in RELAY_CONFIG")
    return merged


def _check_address(key: str, address: str) -> None:
    try:
        parse_endpoint(address)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from error
