"""Settings of all tests."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.loopback import Node

# A verdict must not hang on how busy the machine is: a slow example is no failure.
settings.register_profile("steady", deadline=None)
settings.load_profile("steady")


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    """The program with one reader and one writer, unless a file has its own."""
    with Node(tmp_path) as node:
        yield node
