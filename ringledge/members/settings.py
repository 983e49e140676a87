"""Settings of cluster membership: the keys of deploy/members.toml, some overridden by RELAY_CONFIG."""

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
    """The cluster, the addresses of its members, and the settings of probes and record replication."""

    cluster: Text  # datagrams of other clusters are dropped
    key_file: str  # file with the key shared by all members: 16 to 64 bytes in hex
    listen: str = ""  # IP:PORT of the datagram socket; overridden by peer_listen of RELAY_CONFIG
    advertise: str = ""  # IP:PORT at which other members reach this one, if not listen
    # IP:PORT that reaches all members at once; overridden by peers_all of RELAY_CONFIG.
    broadcast_address: str = msgspec.field(name="everyone", default="")
    site: Annotated[str, Meta(max_length=MAX_NAME_BYTES)] = ""
    peers: dict[str, str] = {}  # IP:PORT by name; peers of RELAY_CONFIG override single names
    # Whether members that are not in `peers` may join; they need the key all the same.
    accept_unlisted: bool = msgspec.field(name="strangers", default=False)
    buffer_kb: Annotated[int, Meta(ge=16, le=4096)] = 256  # size of the receive buffer of the socket
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
        """Read the shared key; raises ValueError if the file does not contain a valid one."""
        try:
            key = bytes.fromhex(Path(self.key_file).read_text().strip())
        except (OSError, ValueError) as error:
            raise ValueError(f"key_file: {self.key_file}: {error}") from error
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"key_file: {self.key_file}: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hex"
            )
        return key


def with_platform_config(settings: MembersConfig, relay_config: Mapping[str, Any]) -> MembersConfig:
    """Return the settings with the overrides of RELAY_CONFIG.

    Raises ValueError if the result is invalid or has no listen address.
    """
    peers = relay_config.get("peers") or {}
    if not isinstance(peers, Mapping):
        raise ValueError("peers: expected a table of names and addresses")
    merged = msgspec.structs.replace(
        settings,
        listen=str(relay_config.get("peer_listen") or settings.listen),
        broadcast_address=str(relay_config.get("peers_all") or settings.broadcast_address),
        peers={**settings.peers, **{str(name): str(address) for name, address in peers.items()}},
    )
    if not merged.listen:
        raise ValueError("listen: no address is set, neither here nor as peer_listen in RELAY_CONFIG")
    return merged


def _check_address(key: str, address: str) -> None:
    try:
        parse_endpoint(address)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from error
