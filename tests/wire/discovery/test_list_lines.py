"""A malformed line is logged once with its cause; the last list is retained, and a new watch begins."""

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
from tests.wire.discovery.test_watcher import listing, next_call, watching_client

ENTRY = listing(8)["endpoints"][0]


def line(**changes: Any) -> bytes:
    """A line of the endpoint list whose one entry has the given changes."""
    return json.dumps(listing(8) | {"endpoints": [ENTRY | changes]}).encode() + b"\n"


def without(key: str) -> bytes:
    return json.dumps({k: v for k, v in listing(8).items() if k != key}).encode() + b"\n"


MALFORMED = {
    "no-json": (b"oops\n", "unexpected data between objects"),
    "no-value": (b'{"index":}\n', "JSON is malformed"),
    "no-utf8": (line().replace(b"r0", b"\xff"), "UTF-8"),
    "bracket": (b"}\n", "closing bracket without an opening one"),
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
    monkeypatch.setattr(log, "error", lambda event, **fields: causes.append(f"{event}: {fields['error']}"))
    return causes


async def play_malformed(agent: StandIn, malformed: bytes, end: bytes = b"") -> int:
    """Send a list, malformed data, and a newer list on the next watch; returns how many were applied."""
    async with watching_client(agent, MembershipMode.PUSH) as conductor:
        first = (await next_call(agent)).begin().chunk(json.dumps(listing(8)) + "\n")
        await conductor.wait_for_version(8)
        first.raw(b"%x\r\n%s\r\n" % (len(malformed), malformed) + end)
        second = await next_call(agent)
        assert second.path.endswith("after=8") and len(conductor.updates) == 1
        second.begin().chunk(json.dumps(listing(9, "leaving")) + "\n")
        await conductor.wait_for_version(9)
        second.raw(b"")
        return len(conductor.updates)


@pytest.mark.parametrize("name", list(MALFORMED))
def test_malformed_line_is_logged_once_and_the_list_retained(
    agent: StandIn, logged: list[str], name: str
) -> None:
    malformed, cause = MALFORMED[name]
    assert anyio.run(play_malformed, agent, malformed) == 2
    assert len(logged) == 1 and logged[0].startswith("endpoint_list_malformed: ") and cause in logged[0]


def test_truncated_line_is_logged_once_and_the_list_retained(agent: StandIn, logged: list[str]) -> None:
    assert anyio.run(play_malformed, agent, line()[:40], b"0\r\n\r\n") == 2
    assert logged == ["endpoint_list_malformed: watch ended within an object"]


def test_endless_line_is_logged_once_and_the_list_retained(
    agent: StandIn, logged: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watching, "MAX_LIST_BYTES", 10_000)
    assert anyio.run(play_malformed, agent, b'{"x":"' + b"y" * 10_000) == 2
    assert logged == ["endpoint_list_malformed: object longer than the limit"]


def test_removed_server_needs_no_address(agent: StandIn, logged: list[str]) -> None:
    async def run() -> None:
        async with watching_client(agent, MembershipMode.PUSH) as conductor:
            call = (await next_call(agent)).begin().chunk(line(status="left", address="").decode())
            assert (await conductor.wait_for_version(8)).entries[0].availability == Availability.REMOVED
            call.raw(b"")

    anyio.run(run)
    assert not logged
