"""Settings in deploy/doors.toml: admission and idle timeouts of client connections."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec
from msgspec import Meta

IdleTimeoutSeconds = Annotated[float, Meta(ge=1, le=86_400)]


class AdmissionRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits for the clients of some networks; the rule with the longest matching prefix applies.

    A `name` passed to `msgspec.field` is the key in the file.
    """

    networks: Annotated[list[str], Meta(min_length=1)]
    name: str = ""
    deny: bool = False
    # Limits of open connections: from all addresses of the networks together, and from one address.
    max_connections: Annotated[int, Meta(ge=1)] | None = msgspec.field(name="most", default=None)
    max_connections_per_address: Annotated[int, Meta(ge=1)] | None = msgspec.field(
        name="most_each", default=None
    )
    # Limit of new connections per second from all addresses together.
    max_rate_per_s: Annotated[float, Meta(gt=0)] | None = msgspec.field(name="per_s", default=None)
    idle_timeout_s: IdleTimeoutSeconds | None = msgspec.field(name="keep_alive_s", default=None)

    def __post_init__(self) -> None:
        for network in self.networks:
            try:
                ipaddress.ip_network(network)
            except ValueError as error:
                raise ValueError(f"networks: {error}") from error


class AdmissionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Idle timeout of client connections, and admission rules by network."""

    idle_timeout_s: IdleTimeoutSeconds = msgspec.field(name="keep_alive_s", default=75.0)
    # Largest fraction of the timeout by which it is shortened at random.
    idle_timeout_jitter: Annotated[float, Meta(ge=0, le=0.5)] = msgspec.field(name="jitter", default=0.1)
    # Whether the timeout is sent in a Keep-Alive header.
    advertise_keep_alive: bool = msgspec.field(name="advertise", default=True)
    # Number of networks whose connections without a request are counted.
    max_networks_counted: Annotated[int, Meta(ge=16, le=65_536)] = msgspec.field(
        name="networks_watched", default=512
    )
    rules: list[AdmissionRule] = []
