"""What the tests of the wires share."""

from collections.abc import Iterator

import pytest

from tests.standins import StandIn


@pytest.fixture
def agent() -> Iterator[StandIn]:
    """Discovery's agent, played by the test."""
    stand_in = StandIn()
    yield stand_in
    stand_in.close()
