"""The endpoint list in discovery's JSON format; a list is validated as a whole before any of it is used."""

from __future__ import annotations

from typing import Any

import msgspec

REMOVED_STATUS = "left"  # a removed server; occurs only in updates, and without an address
MAX_PORT = 65535


class ListError(ValueError):
    """The endpoint list is invalid; the message says where and why."""


class Endpoint(msgspec.Struct, frozen=True):
    """One server in the endpoint list."""

    name: str
    zone: str
    type: str
    group: int
    status: str
    address: str = ""
    weight: float = 1.0
    since_ms: float = 0.0


class EndpointListing(msgspec.Struct, frozen=True):
    """The complete endpoint list (`snapshot`), or changes to it."""

    index: int
    snapshot: bool
    endpoints: tuple[Endpoint, ...]


def decode(text: bytes) -> EndpointListing:
    """Parse an endpoint list from JSON; raises ListError if it is invalid."""
    try:
        return _validated(msgspec.json.decode(text, type=EndpointListing))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ListError(str(error)) from error


def convert(content: Any) -> EndpointListing:
    """Convert an endpoint list from an already parsed document; raises ListError if it is invalid."""
    try:
        return _validated(msgspec.convert(content, EndpointListing))
    except msgspec.ValidationError as error:
        raise ListError(str(error)) from error


def _validated(listing: EndpointListing) -> EndpointListing:
    for endpoint in listing.endpoints:
        if endpoint.status != REMOVED_STATUS and not _is_address(endpoint.address):
            raise ListError(f"the address of {endpoint.name!r} is {endpoint.address!r}, not host:port")
    return listing


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT
