"""What the members' facts say of the fleet's capacity and of live traffic; free of I/O and clocks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from statistics import median
from typing import TypeVar

import msgspec

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.replay.rate_control import Room

T = TypeVar("T", bound=msgspec.Struct)


def rows(values: Mapping[tuple[str, str], bytes], kind: type[T]) -> dict[tuple[str, str], T]:
    """Facts of one kind, by writer and key; one that can't be read is left out."""
    found = dict[tuple[str, str], T]()
    for place, value in values.items():
        try:
            found[place] = msgspec.msgpack.decode(value, type=kind)
        except msgspec.DecodeError:
            continue
    return found


def room(
    seen: Mapping[tuple[str, str], ServerObservation], demand: Mapping[tuple[str, str], ClassDemand]
) -> Room:
    """Sum up: of a server the middle of what members say, of demand all, for each sees other requests."""
    by_server = defaultdict[str, list[ServerObservation]](list)
    for (_, key), row in seen.items():
        by_server[key].append(row)
    reading = sum(_middle([row.prefill_rate * row.warmth for row in told]) for told in by_server.values())
    writing = sum(_middle([row.decode_rate * row.warmth for row in told]) for told in by_server.values())
    to_read = sum(row.prefill_tokens for row in demand.values())
    return Room(reading, writing, to_read, sum(row.decode_tokens for row in demand.values()))


def _middle(paces: list[float]) -> float:
    """Of those who know it."""
    known = [pace for pace in paces if pace > 0]
    return median(known) if known else 0.0
