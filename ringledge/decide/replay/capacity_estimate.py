"""Estimates the fleet's capacity and live demand from all members' records; free of I/O and clocks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from statistics import median
from typing import TypeVar

import msgspec

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.replay.rate_control import Capacity

T = TypeVar("T", bound=msgspec.Struct)


def decode_records(values: Mapping[tuple[str, str], bytes], record_type: type[T]) -> dict[tuple[str, str], T]:
    """Decode records of one type, by writer and key; malformed records are skipped."""
    records = dict[tuple[str, str], T]()
    for writer_and_key, value in values.items():
        try:
            records[writer_and_key] = msgspec.msgpack.decode(value, type=record_type)
        except msgspec.DecodeError:
            continue
    return records


def estimate_capacity(
    observations: Mapping[tuple[str, str], ServerObservation],
    demand: Mapping[tuple[str, str], ClassDemand],
) -> Capacity:
    """Capacity and live demand of the fleet.

    A server's rate is the median of all observations. Demand is summed, as members see different requests.
    """
    by_server = defaultdict[str, list[ServerObservation]](list)
    for (_, key), observation in observations.items():
        by_server[key].append(observation)
    return Capacity(
        prefill_capacity=sum(
            _median_of_known([report.prefill_rate * report.warmth for report in reports])
            for reports in by_server.values()
        ),
        decode_capacity=sum(
            _median_of_known([report.decode_rate * report.warmth for report in reports])
            for reports in by_server.values()
        ),
        prefill_demand=sum(report.prefill_tokens for report in demand.values()),
        decode_demand=sum(report.decode_tokens for report in demand.values()),
    )


def _median_of_known(rates: list[float]) -> float:
    """The median of the known rates (above 0); 0 if none is known."""
    known = [rate for rate in rates if rate > 0]
    return median(known) if known else 0.0
