"""A long update is applied in parts, and leaves the same list as in one."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from ringledge.memory.server_list import ServerList
from ringledge.routing.interface import Availability, EndpointUpdate, EndpointUpdateKind
from ringledge.wire.discovery.update_parts import MAX_PART_ENTRIES, split_update
from tests.router_harness import SETTINGS
from tests.routing.large_fleet import large_fleet

SIZE = 3 * MAX_PART_ENTRIES + 1
KINDS = (EndpointUpdateKind.FULL, EndpointUpdateKind.CHANGES, EndpointUpdateKind.PERSISTED)


async def apply_split(update: EndpointUpdate) -> tuple[ServerList, ServerList, list[EndpointUpdate]]:
    """The list after the update as a whole and in parts, and the parts."""
    whole, split = ServerList(SETTINGS.kinds), ServerList(SETTINGS.kinds)
    before = EndpointUpdate(EndpointUpdateKind.FULL, 1, large_fleet(SIZE)[: SIZE // 2])
    addresses = {entry.server: "127.0.0.1:9" for entry in large_fleet(SIZE)}
    for servers in (whole, split):
        if update.kind != EndpointUpdateKind.PERSISTED:  # comes first
            servers.apply(before, addresses)
    whole.apply(update, addresses)
    parts = list(split_update(update, split.version, list(split.entries)))
    for part in parts:
        split.apply(part, addresses)
    return whole, split, parts


@pytest.mark.parametrize("kind", KINDS)
def test_parts_leave_the_same_list_and_put_drains_first(kind: EndpointUpdateKind) -> None:
    fleet = [
        replace(entry, availability=Availability.DRAINING) if number % 3 == 0 else entry
        for number, entry in enumerate(large_fleet(SIZE)[40:])
    ]
    whole, split, parts = anyio.run(apply_split, EndpointUpdate(kind, 2, tuple(fleet)))
    assert split.entries == whole.entries and split.version == whole.version == 2
    assert len(parts) > 1 and all(len(part.entries) <= MAX_PART_ENTRIES for part in parts)
    assert [part.version for part in parts[:-1]].count(2) == 0
    is_up = [entry.availability == Availability.UP for part in parts for entry in part.entries]
    assert is_up == sorted(is_up)
    assert [part.kind for part in parts].count(EndpointUpdateKind.PERSISTED) == (
        kind == EndpointUpdateKind.PERSISTED
    )


def test_short_update_is_one() -> None:
    update = EndpointUpdate(EndpointUpdateKind.FULL, 2, large_fleet(MAX_PART_ENTRIES))
    assert list(split_update(update, 1, ["gone"])) == [update]
