"""Requests and servers of the simulation in `benchmarks/ratio_simulation.py`."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.ratio_simulation import SimulatedConductor


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """One request, its lengths in tokens, and its outcome."""

    arrived_s: float
    prompt: float
    answer: float
    class_name: str
    booking: bool
    conductor: SimulatedConductor
    prefill_server: SimulatedServer | None = None
    decode_sends: int = 0  # how often it was sent to a decode server
    outcome: str = ""  # in time, late, refused, gone


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """One server, which can do both prefill and decode."""

    name: str
    site: str
    rack: str
    prefill_rate: float
    decode_rate: float
    prefill_queue: deque[SimulatedRequest] = field(default_factory=deque)
    # Requests that wait for a free stream.
    decode_queue: deque[SimulatedRequest] = field(default_factory=deque)
    prefilling: bool = False
    queued_prefill_tokens: float = 0.0
    streams: int = 0
    cache_entries: int = 0  # waiting to be fetched or released
    cold_since_s: float = -1e9  # when it last changed to prefill
