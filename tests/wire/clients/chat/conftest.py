"""The program under test with its chat front enabled."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import Node
from tests.wire.clients.chat.helpers import CHAT


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, files={"chat.toml": CHAT}) as node:
        yield node
