"""Demand and service rates that one router measures on its own requests; free of I/O and clocks.

The router reports to the role planner the demand of each request class and the service rate of each
server. Demand is the arrival rate times the mean number of tokens per request, so that rejected requests
count too.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, isfinite

from ringledge.decide.interface import ClassDemand, ServerObservation

ARRIVAL_TIME_CONSTANT_S = 5.0  # not above the sum of the planner's fast horizon and interval
SAMPLE_WEIGHT = 0.1  # weight of a new sample in a mean, which thus reflects about the last ten requests
MIN_PREFILL_TOKENS = 64.0  # the duration of a prefill of fewer uncached tokens is mainly network latency
MIN_DECODE_TOKENS = 8.0  # a stream of fewer answer tokens is too short to measure a rate
MIN_DURATION_S = 1e-3  # shorter durations are within the resolution of a clock
MAX_TOKENS = 1e7  # largest plausible token count of one request


@dataclass(slots=True)
class RunningMean:
    """An exponentially weighted mean; `known` is True from the first sample on."""

    value: float = 0.0
    known: bool = False

    def add(self, sample: float) -> None:
        """Add a sample; the first sample replaces the default value."""
        self.value += (SAMPLE_WEIGHT if self.known else 1.0) * (sample - self.value)
        self.known = True

    def set_default(self, value: float) -> None:
        """Set the value to use until the first sample; an implausible value is ignored."""
        if not self.known and _is_valid_token_count(value):
            self.value = value


@dataclass(slots=True)
class ClassStatistics:
    """Arrivals and token counts of one request class."""

    arrivals: float = 0.0  # exponentially decaying count
    updated_s: float = 0.0
    prefill_tokens: RunningMean = field(default_factory=RunningMean)  # uncached tokens per request
    decode_tokens: RunningMean = field(default_factory=RunningMean)  # answer tokens per request

    def decayed_arrivals(self, now_s: float) -> float:
        """The exponentially decaying count of arrivals, at `now_s`."""
        return self.arrivals * exp((self.updated_s - now_s) / ARRIVAL_TIME_CONSTANT_S)


@dataclass(slots=True)
class ServerStatistics:
    """Rates of one server, measured on this router's requests."""

    prefill_rate: RunningMean = field(default_factory=RunningMean)  # uncached tokens per s in a prefill
    stream_rate: RunningMean = field(default_factory=RunningMean)  # answer tokens per s in one stream
    # Tokens in memory per stream: the prompt and half the answer.
    stream_tokens: RunningMean = field(default_factory=RunningMean)
    concurrent_streams: float = 1.0  # decaying maximum number of this router's streams

    def decode_rate(self, memory_tokens: float | None, routers: int) -> float:
        """Answer tokens per s of all streams together; 0 if unknown.

        The number of streams is limited by the server's memory. If the memory size is unknown, the number is
        estimated as this router's streams times the number of routers.
        """
        if not self.stream_rate.known:
            return 0.0
        if memory_tokens:
            streams = memory_tokens / max(1.0, self.stream_tokens.value)
        else:
            streams = self.concurrent_streams * routers
        return self.stream_rate.value * max(1.0, streams)


class LocalMeasurements:
    """Demand by class and service rates by server, measured on this router's requests; times in s."""

    def __init__(self) -> None:
        self._classes: dict[int, ClassStatistics] = {}
        self._servers: dict[str, ServerStatistics] = {}

    def request_received(
        self, now_s: float, class_index: int, prompt_tokens: float, max_output_tokens: float
    ) -> None:
        """Count a request; its token counts serve as defaults until requests of its class have ended."""
        statistics = self._class(class_index)
        statistics.arrivals = statistics.decayed_arrivals(now_s) + 1
        statistics.updated_s = now_s
        statistics.prefill_tokens.set_default(prompt_tokens)
        statistics.decode_tokens.set_default(max_output_tokens / 2)

    def prefill_finished(
        self, class_index: int, server: str, uncached_tokens: float, duration_s: float
    ) -> None:
        """Add the measurements of a successful prefill."""
        if not _is_valid_token_count(uncached_tokens):
            return
        self._class(class_index).prefill_tokens.add(uncached_tokens)
        if uncached_tokens >= MIN_PREFILL_TOKENS and duration_s > MIN_DURATION_S:
            self._server(server).prefill_rate.add(uncached_tokens / duration_s)

    def decode_finished(
        self, class_index: int, server: str, prompt_tokens: float, answer_tokens: float, duration_s: float
    ) -> None:
        """Add the measurements of a successful stream; `duration_s` counts from its first token."""
        if not (_is_valid_token_count(prompt_tokens) and _is_valid_token_count(answer_tokens)):
            return
        self._class(class_index).decode_tokens.add(answer_tokens)
        if answer_tokens >= MIN_DECODE_TOKENS and duration_s > MIN_DURATION_S:
            statistics = self._server(server)
            statistics.stream_rate.add(answer_tokens / duration_s)
            statistics.stream_tokens.add(prompt_tokens + answer_tokens / 2)

    def update_streams(self, server: str, count: int) -> None:
        """Record the present number of this router's streams on a server."""
        if count or server in self._servers:
            statistics = self._server(server)
            decayed = (1 - SAMPLE_WEIGHT) * statistics.concurrent_streams
            statistics.concurrent_streams = max(1.0, float(count), decayed)

    def demand(self, now_s: float) -> dict[int, ClassDemand]:
        """Demand by class index, in requests and tokens per s."""
        demand = {}
        for class_index, statistics in self._classes.items():
            arrival_rate = statistics.decayed_arrivals(now_s) / ARRIVAL_TIME_CONSTANT_S
            demand[class_index] = ClassDemand(
                arrival_rate,
                arrival_rate * statistics.prefill_tokens.value,
                arrival_rate * statistics.decode_tokens.value,
            )
        return demand

    def server_observation(
        self, server: str, memory_tokens: float | None, routers: int, warmth: float, waiting_entries: int
    ) -> ServerObservation:
        """The report about a server; a rate of 0 is unknown.

        A server has a single queue of prefills, so the rate of one prefill is the rate of the server.
        """
        statistics = self._servers.get(server, ServerStatistics())
        decode_rate = statistics.decode_rate(memory_tokens, routers)
        return ServerObservation(statistics.prefill_rate.value, decode_rate, warmth, waiting_entries)

    def retain_servers(self, servers: set[str]) -> None:
        """Remove the statistics of all other servers."""
        for name in self._servers.keys() - servers:
            del self._servers[name]

    def _class(self, class_index: int) -> ClassStatistics:
        return self._classes.setdefault(class_index, ClassStatistics())

    def _server(self, server: str) -> ServerStatistics:
        return self._servers.setdefault(server, ServerStatistics())


def _is_valid_token_count(tokens: float) -> bool:
    return isfinite(tokens) and 0 <= tokens <= MAX_TOKENS
