"""What deploy/members.toml may say, and what RELAY_CONFIG tells of the same."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ringledge.decide.datagram import MAX_NAME_BYTES, validated_name
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.records.settings import RecordsConfig
from ringledge.members.datagrams import endpoint

Text = Annotated[str, Meta(min_length=1, max_length=64)]
KEY_LEAST, KEY_MOST = 16, 64  # bytes; BLAKE2b takes no longer one


class MembersConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who belongs together, where they listen, and how they look for one another."""

    cluster: Text  # members of another cluster are not heard
    key_file: str  # holds the key that all members share, in hex, 16 to 64 bytes
    listen: str = ""  # IP:PORT of the datagrams; empty: peer_listen of RELAY_CONFIG
    advertise: str = ""  # where others reach this member, if not at listen
    everyone: str = ""  # one address that reaches all; peers_all of RELAY_CONFIG counts before it
    site: Annotated[str, Meta(max_length=MAX_NAME_BYTES)] = ""
    peers: dict[str, str] = {}  # name to IP:PORT; RELAY_CONFIG's count before these
    strangers: bool = False  # whether members that `peers` doesn't name may join, if they have the key
    buffer_kb: Annotated[int, Meta(ge=16, le=4096)] = 256  # of datagrams that wait to be read
    probe: ProbeConfig = ProbeConfig()
    facts: RecordsConfig = RecordsConfig()

    def __post_init__(self) -> None:
        for key in ("listen", "advertise", "everyone"):
            if told := getattr(self, key):
                _checked(key, told)
        for name, address in self.peers.items():
            validated_name(name)
            _checked(f"peers.{name}", address)

    def key(self) -> bytes:
        """The shared key; ValueError where the file does not hold one."""
        try:
            key = bytes.fromhex(Path(self.key_file).read_text().strip())
        except (OSError, ValueError) as error:
            raise ValueError(f"key_file: {self.key_file}: {error}") from error
        if not KEY_LEAST <= len(key) <= KEY_MOST:
            raise ValueError(f"key_file: {self.key_file}: {KEY_LEAST} to {KEY_MOST} bytes in hex are allowed")
        return key


def with_told(settings: MembersConfig, told: Mapping[str, Any]) -> MembersConfig:
    """The settings with what RELAY_CONFIG tells of the same; ValueError where nothing listens."""
    peers = told.get("peers") or {}
    if not isinstance(peers, Mapping):
        raise ValueError("peers: names with their addresses are allowed")
    merged = msgspec.structs.replace(
        settings,
        listen=str(told.get("peer_listen") or settings.listen),
        everyone=str(told.get("peers_all") or settings.everyone),
        peers={**settings.peers, **{str(name): str(address) for name, address in peers.items()}},
    )
    if not merged.listen:
        raise ValueError("listen: an address is needed here, or peer_listen in RELAY_CONFIG")
    return merged


def _checked(key: str, address: str) -> None:
    try:
        endpoint(address)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from error
