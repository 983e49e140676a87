"""The fleet's capacity and its live traffic, from the records of all members; free of I/O and clocks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from statistics import median
from typing import TypeVar

import msgspec

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.replay.rate_control import Capacity

T = TypeVar("T", bound=msgspec.Struct)


def decode_records(values: Mapping[tuple[str, str], bytes], kind: type[T]) -> dict[tuple[str, str], T]:
    """Records of one type, by writer and key; malformed ones are left out."""
    records = dict[tuple[str, str], T]()
    for writer_and_key, value in values.items():
        try:
            records[writer_and_key] = msgspec.msgpack.decode(value, type=kind)
        except msgspec.DecodeError:
            continue
    return records


def estimate_capacity(
    observations: Mapping[tuple[str, str], ServerObservation],
    demand: Mapping[tuple[str, str], ClassDemand],
) -> Capacity:
    """Capacity and live demand of the fleet.

    Of a server the median of all observations counts; demand is summed, as each member sees other requests.
    """
    by_server = defaultdict[str, list[ServerObservation]](list)
    for (_, key), observation in observations.items():
        by_server[key].append(observation)
    return Capacity(
        prefill_capacity=sum(
            _median_of_known([row.prefill_rate * row.warmth for row in rows]) for rows in by_server.values()
        ),
        decode_capacity=sum(
            _median_of_known([row.decode_rate * row.warmth for row in rows]) for rows in by_server.values()
        ),
        prefill_demand=sum(row.prefill_tokens for row in demand.values()),
        decode_demand=sum(row.decode_tokens for row in demand.values()),
    )


def _median_of_known(rates: list[float]) -> float:
    """The median of the rates over 0; 0 where none is known."""
    known = [rate for rate in rates if rate > 0]
    return median(known) if known else 0.0
