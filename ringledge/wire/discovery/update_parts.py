"""Splits a long update of the endpoint list, so that requests need not wait until all of it is applied."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from ringledge.routing.interface import Availability, EndpointUpdate, EndpointUpdateKind, ServerEntry

MAX_PART_ENTRIES = 256  # some milliseconds of CPU


def split_update(update: EndpointUpdate, version: int, listed: Collection[str]) -> Iterator[EndpointUpdate]:
    """Yield an update of up to `MAX_PART_ENTRIES` entries whole, and a longer one in parts.

    Removed and draining servers come first. Only the last part has the update's version, the others have the
    list's `version`: if they are not followed by the rest, a watch asks for it again. `listed`: the names of
    the servers in the list.
    """
    if len(update.entries) <= MAX_PART_ENTRIES or update.version == version:
        yield update
        return
    entries = sorted(update.entries, key=_is_up)
    if update.is_whole:
        named = {entry.server for entry in entries}
        entries = [*(_removed(name) for name in listed if name not in named), *entries]
    kind = EndpointUpdateKind.CHANGES
    if update.kind == EndpointUpdateKind.PERSISTED:  # the policy sets its timers at the first one
        kind = update.kind
    for start in range(0, len(entries), MAX_PART_ENTRIES):
        part = tuple(entries[start : start + MAX_PART_ENTRIES])
        is_last = start + MAX_PART_ENTRIES >= len(entries)
        yield EndpointUpdate(kind, update.version if is_last else version, part)
        kind = EndpointUpdateKind.CHANGES


def _is_up(entry: ServerEntry) -> bool:
    return entry.availability == Availability.UP


def _removed(name: str) -> ServerEntry:
    return ServerEntry(name, 0, 0, 0, Availability.REMOVED)
