"""Lines of the list that can't be used: logged once with their cause, the watch begun anew, the list kept."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from ringledge.observe.logging import log
from ringledge.routing.interface import (
    Availability,
    MembershipMode,
)
from ringledge.wire.discovery import watcher as watching
from tests.standins import StandIn
from tests.wire.discovery.test_watcher import listing, next_call, watched

ENTRY = listing(8)["endpoints"][0]


def line(**changes: Any) -> bytes:
    """A line of the list with one entry, changed."""
    return json.dumps(listing(8) | {"endpoints": [ENTRY | changes]}).encode() + b"\n"


def without(key: str) -> bytes:
    return json.dumps({k: v for k, v in listing(8).items() if k != key}).encode() + b"\n"


BAD = {
    "no-json": (b"oops\n", "something stands between objects"),
    "no-value": (b'{"index":}\n', "JSON is malformed"),
    "no-utf8": (line().replace(b"r0", b"\xff"), "UTF-8"),
    "bracket": (b"}\n", "a bracket closes what was never opened"),
    "array": (b"[1]\n", "Expected `object`, got `array`"),
    "no-index": (without("index"), "missing required field `index`"),
    "no-endpoints": (without("endpoints"), "missing required field `endpoints`"),
    "name": (line(name=7), "$.endpoints[0].name"),
    "zone": (line(zone=None), "$.endpoints[0].zone"),
    "group": (line(group="x"), "$.endpoints[0].group"),
    "status": (line(status=["active"]), "$.endpoints[0].status"),
    "no-address": (line(address=""), "the address of 'r0' is ''"),
    "port": (line(address="127.0.0.1:x"), "the address of 'r0' is '127.0.0.1:x'"),
    "address": (line(address=5), "$.endpoints[0].address"),
    "weight": (line(weight="much"), "$.endpoints[0].weight"),
}


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    causes = list[str]()
    monkeypatch.setattr(log, "error", lambda event, **told: causes.append(f"{event}: {told['error']}"))
    return causes


async def played(agent: StandIn, bad: bytes, end: bytes = b"") -> int:
    """A good list, then what is bad, then on the next watch a better one; how many lists were taken."""
    async with watched(agent, MembershipMode.PUSH) as told:
        first = (await next_call(agent)).begin().chunk(json.dumps(listing(8)) + "\n")
        await told.has(8)
        first.raw(b"%x\r\n%s\r\n" % (len(bad), bad) + end)
        again = await next_call(agent)
        assert again.path.endswith("after=8") and len(told.lists) == 1
        again.begin().chunk(json.dumps(listing(9, "leaving")) + "\n")
        await told.has(9)
        again.raw(b"")
        return len(told.lists)


@pytest.mark.parametrize("name", list(BAD))
def test_a_malformed_line_is_told_once_and_the_list_kept(
    agent: StandIn, logged: list[str], name: str
) -> None:
    bad, cause = BAD[name]
    assert anyio.run(played, agent, bad) == 2
    assert len(logged) == 1 and logged[0].startswith("list_malformed: ") and cause in logged[0]


def test_a_line_that_is_cut_is_told_once_and_the_list_kept(agent: StandIn, logged: list[str]) -> None:
    assert anyio.run(played, agent, line()[:40], b"0\r\n\r\n") == 2
    assert logged == ["list_malformed: the watch ended within an object"]


def test_a_line_without_end_is_told_once_and_the_list_kept(
    agent: StandIn, logged: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watching, "MAX_LIST_BYTES", 10_000)
    assert anyio.run(played, agent, b'{"x":"' + b"y" * 10_000) == 2
    assert logged == ["list_malformed: an object without end"]


def test_a_server_that_has_left_needs_no_address(agent: StandIn, logged: list[str]) -> None:
    async def run() -> None:
        async with watched(agent, MembershipMode.PUSH) as told:
            call = (await next_call(agent)).begin().chunk(line(status="left", address="").decode())
            assert (await told.has(8)).entries[0].availability == Availability.REMOVED
            call.raw(b"")

    anyio.run(run)
    assert not logged
