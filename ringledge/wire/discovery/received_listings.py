"""Combines the changes that arrive together, because each update has a cost of its own."""

from __future__ import annotations

from ringledge.memory.endpoint_list import REMOVED_STATUS, Endpoint, EndpointListing


class ReceivedListings:
    """The objects of one piece of a watch's response; consecutive changes are one listing."""

    def __init__(self) -> None:
        self._listings = list[EndpointListing]()  # in the order in which they arrived
        self._endpoints: dict[str, Endpoint] = {}  # of the last listing, with the changes combined with it

    def add(self, listing: EndpointListing) -> None:
        """Add an object. A server that an earlier change removed is removed before it is listed again."""
        last = self._listings[-1] if self._listings else None
        combines = last is not None and not last.snapshot and not listing.snapshot
        if not combines or any(self._returns(endpoint) for endpoint in listing.endpoints):
            self._complete_last()
            self._listings.append(listing)
            self._endpoints = {}
        else:
            self._listings[-1] = listing
        self._endpoints |= {endpoint.name: endpoint for endpoint in listing.endpoints}

    def take(self) -> list[EndpointListing]:
        """The listings to apply, in order."""
        self._complete_last()
        return self._listings

    def _complete_last(self) -> None:
        """Give the last listing the endpoints of those that it was combined with."""
        if self._listings and not self._listings[-1].snapshot:
            index = self._listings[-1].index
            self._listings[-1] = EndpointListing(index, False, tuple(self._endpoints.values()))

    def _returns(self, endpoint: Endpoint) -> bool:
        """Whether a server is listed that the combined changes remove."""
        before = self._endpoints.get(endpoint.name)
        return before is not None and before.status == REMOVED_STATUS != endpoint.status
