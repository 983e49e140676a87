"""Network addresses of other members, which are configured, advertised, or learnt from received datagrams."""

from __future__ import annotations

from collections.abc import Mapping

from ringledge.decide.interface import Member
from ringledge.members.codec import DatagramError, DropReason
from ringledge.members.datagrams import Endpoint, parse_endpoint

MAX_SOURCES = 256  # bounds the source addresses remembered; the least recently learnt is evicted


class AddressBook:
    """Resolves member names to endpoints. `configured` maps names to IP:PORT addresses."""

    def __init__(self, configured: Mapping[str, str]) -> None:
        self._configured = dict(configured)
        self._sources: dict[str, Endpoint] = {}  # by member name, least recently learnt first

    def is_configured(self, name: str) -> bool:
        """Whether the settings contain an address for this member."""
        return name in self._configured

    def learn(self, name: str, source: Endpoint) -> None:
        """Store the source address of the latest datagram from a member."""
        self._sources.pop(name, None)
        self._sources[name] = source
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]

    def resolve(self, name: str, member: Member | None) -> Endpoint:
        """Return the configured address of a member, else its advertised one, else its latest source.

        `member` is the latest known member with that name. Raises DatagramError if no address is known.
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
