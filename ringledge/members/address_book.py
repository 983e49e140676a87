"""The network addresses of other members: configured, advertised by themselves, or learnt from datagrams."""

from __future__ import annotations

from collections.abc import Mapping

from ringledge.decide.interface import Member
from ringledge.members.codec import DatagramError, DropReason
from ringledge.members.datagrams import Endpoint, parse_endpoint

MAX_SOURCES = 256  # names whose latest source address is remembered


class AddressBook:
    """Resolves names of members. `configured`: IP:PORT by name."""

    def __init__(self, configured: Mapping[str, str]) -> None:
        self._configured = dict(configured)
        self._sources: dict[str, Endpoint] = {}  # the least recently learnt first

    def is_configured(self, name: str) -> bool:
        """Whether the settings list a member of this name."""
        return name in self._configured

    def learn(self, name: str, source: Endpoint) -> None:
        """Remember the source of a member's latest datagram."""
        self._sources.pop(name, None)
        self._sources[name] = source
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]

    def resolve(self, name: str, member: Member | None) -> Endpoint:
        """Where to send to a member: the configured address, the advertised one, or its latest source.

        `member`: the latest known member of the name. DatagramError where none of them is known.
        """
        address = self._configured.get(name) or ("" if member is None else member.address)
        if address:
            try:
                return parse_endpoint(address)
            except ValueError as error:
                raise DatagramError(DropReason.NO_ADDRESS) from error
        if name not in self._sources:
            raise DatagramError(DropReason.NO_ADDRESS)
        return self._sources[name]
