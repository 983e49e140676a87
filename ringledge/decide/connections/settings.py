"""What deploy/doors.toml may say."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(ge=1, le=86_400)]


class DoorRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds for clients of some networks; the longest prefix that fits a client counts."""

    networks: Annotated[list[str], Meta(min_length=1)]
    name: str = ""
    deny: bool = False
    most: Annotated[int, Meta(ge=1)] | None = None  # connections from all of them together
    most_each: Annotated[int, Meta(ge=1)] | None = None  # from one address
    per_s: Annotated[float, Meta(gt=0)] | None = None  # new ones a second, together
    keep_alive_s: Seconds | None = None

    def __post_init__(self) -> None:
        for each in self.networks:
            try:
                ipaddress.ip_network(each)
            except ValueError as error:
                raise ValueError(f"networks: {error}") from error


class DoorsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long connections may rest, and who may open how many."""

    keep_alive_s: Seconds = 75.0
    jitter: Annotated[float, Meta(ge=0, le=0.5)] = 0.1  # of it by which it is shortened at random
    advertise: bool = True  # in a header Keep-Alive
    networks_watched: Annotated[int, Meta(ge=16, le=65_536)] = 512  # whose silent connections are counted
    rules: list[DoorRule] = []
