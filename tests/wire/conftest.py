"""Fixtures that the tests of `ringledge.wire` share."""

from collections.abc import Iterator

import pytest

from tests.standins import StandIn


@pytest.fixture
def agent() -> Iterator[StandIn]:
    """A stand-in for the discovery agent, controlled by the test."""
    stand_in = StandIn()
    yield stand_in
    stand_in.close()
