"""Changes that arrive together are combined, unless that would lose the removal of a server."""

from __future__ import annotations

import pytest

from ringledge.memory.endpoint_list import Endpoint, EndpointListing
from ringledge.wire.discovery.received_listings import ReceivedListings


def listing(index: int, **status: str) -> EndpointListing:
    endpoints = tuple(
        Endpoint(name, "east", "decode", 1, each, "127.0.0.1:9") for name, each in status.items()
    )
    return EndpointListing(index, False, endpoints)


WHOLE = EndpointListing(5, True, listing(5, a="active").endpoints)


@pytest.mark.parametrize(
    ("received", "combined"),
    [
        ([], []),
        ([listing(1, a="leaving"), listing(2, b="leaving")], [listing(2, a="leaving", b="leaving")]),
        ([listing(1, a="leaving"), listing(2, a="left")], [listing(2, a="left")]),
        ([listing(1, a="left"), listing(2, a="left")], [listing(2, a="left")]),
        ([listing(1, a="left"), listing(2, a="active")], [listing(1, a="left"), listing(2, a="active")]),
        ([listing(1, a="left"), WHOLE], [listing(1, a="left"), WHOLE]),
        ([WHOLE, listing(6, a="leaving"), listing(7)], [WHOLE, listing(7, a="leaving")]),
        ([WHOLE, WHOLE], [WHOLE, WHOLE]),
    ],
)
def test_changes_that_arrive_together_are_combined(
    received: list[EndpointListing], combined: list[EndpointListing]
) -> None:
    listings = ReceivedListings()
    for each in received:
        listings.add(each)
    assert listings.take() == combined
