"""The list of servers as discovery writes it: typed, and checked before anything of it is believed."""

from __future__ import annotations

from typing import Any

import msgspec

REMOVED_STATUS = "left"  # the status of a server that is gone; only among changes, and it needs no address
MAX_PORT = 65535


class ListError(ValueError):
    """What discovery wrote can't be used; the message says where and why."""


class Endpoint(msgspec.Struct, frozen=True):
    """One server of the list."""

    name: str
    zone: str
    type: str
    group: int
    status: str
    address: str = ""
    weight: float = 1.0
    since_ms: float = 0.0


class EndpointListing(msgspec.Struct, frozen=True):
    """The whole list, or what has changed of it."""

    index: int
    snapshot: bool
    endpoints: tuple[Endpoint, ...]


def decode(text: bytes) -> EndpointListing:
    """Read one object of the list; ListError where it is none."""
    try:
        return _checked(msgspec.json.decode(text, type=EndpointListing))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ListError(str(error)) from error


def convert(told: Any) -> EndpointListing:
    """Read a list that was parsed with what stands round it; ListError where it is none."""
    try:
        return _checked(msgspec.convert(told, EndpointListing))
    except msgspec.ValidationError as error:
        raise ListError(str(error)) from error


def _checked(told: EndpointListing) -> EndpointListing:
    for each in told.endpoints:
        if each.status != REMOVED_STATUS and not _is_address(each.address):
            raise ListError(f"the address of {each.name!r} is {each.address!r}, not host:port")
    return told


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT
