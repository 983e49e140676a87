"""Estimates of servers and requests by one router. The public types are in ``interface.py``.

This module holds no decision logic. ``observations.py`` updates the estimates.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable

from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.context import RoutingContext
from ringledge.routing.events import Request
from ringledge.routing.fleet import FleetState
from ringledge.routing.settings import Idempotency, Role
from ringledge.routing.state import (
    ANY_REQUEST,
    SAMPLE_WEIGHT,
    SERVER_ERROR,
    DecayingMean,
    RequestState,
    Server,
)

# Fixed cost of a prefill, in tokens: one batch step and the network round trip.
PREFILL_OVERHEAD_TOKENS = 300.0
# Completion times to retain. A busy router completes about as many while a server warms up.
MAX_COMPLETIONS = 256
# Streams of usual duration and size that estimates assume beforehand, since the first few streams of a
# server say little.
PRIOR_STREAMS = 4.0
# Share of the decode servers' total memory that is in use under ordinary load.
USUAL_MEMORY_SHARE = 0.5
# Share of the tokens of running streams that counts as prefill queue, since decode steps slow prefills.
STREAM_PREFILL_SHARE = 0.3
# Assumed duration of a stream until some have ended: 40 tokens at 50 ms.
DEFAULT_STREAM_MS = 2_000.0


class Estimates:
    """Estimates of delays, work, memory and failures from the observations of one router."""

    def __init__(self, context: RoutingContext, fleet: FleetState, affinities: SessionAffinities) -> None:
        self.settings = context.settings
        self.clock = context.clock
        self.fleet = fleet
        self.affinities = affinities
        self.prefill_ms_per_token = 0.0  # per uncached token on an idle server
        self.completions = {role: deque[float](maxlen=MAX_COMPLETIONS) for role in Role}  # completion times
        self.mean_work = dict.fromkeys(Role, 0.0)  # mean work in tokens of completed requests
        self.usual_delay = {role: DecayingMean() for role in Role}  # ms to prefill or first token
        self.class_stream_ms: dict[int, float] = {}  # usual duration of a stream, by class
        # Time to fetch a KV cache entry, by its cell and whether a remote cell fetches it.
        self.fetch_delays = defaultdict[tuple[int, bool], DecayingMean](DecayingMean)

    def uncached_tokens(self, request: Request, server: Server) -> float:
        """Estimate the prompt tokens that a server has not cached, by session affinity and shared prefix."""
        affinity = self.affinities.get(request.session)
        cached = affinity.cached_tokens if affinity and affinity.server is server else 0.0
        if request.prefix in server.cached_prefixes:
            cached = max(cached, request.prefix_tokens)
        return max(1.0, request.prompt_tokens - cached)

    def prefill_wait_ms(self, server: Server, request: Request) -> float:
        """Estimate the time until a server has prefilled a prompt and the KV cache entry is fetched."""
        now_ms, cell = self.clock.now_ms, server.entry.cell
        tokens = server.prefill_tokens + self.uncached_tokens(request, server) + PREFILL_OVERHEAD_TOKENS
        if server.role != Role.PREFILL:
            tokens += STREAM_PREFILL_SHARE * server.pending_tokens
        fetch_ms = self.fetch_delays[cell, False].value(now_ms)
        spill_chance = self.fleet.capacity.cell_spill(cell)
        fetch_ms += max(0.0, spill_chance) * self.transfer_penalty_ms(cell)
        return server.prefill_delay.value(now_ms) + fetch_ms + tokens * self.prefill_ms_per_token

    def stream_slowdown(self, server: Server) -> float:
        """Estimate the duration of a server's streams relative to the usual one.

        Running streams are included, because the slowest ones are those that have not ended yet.
        """
        now_ms = self.clock.now_ms
        running = sum(
            (now_ms - state.stream_start_ms) / self.usual_stream_ms(state.request.class_index)
            for state in server.in_flight
            if state.streaming
        )
        return (PRIOR_STREAMS + server.stream_ratio_sum + running) / (PRIOR_STREAMS + server.stream_count)

    def usual_stream_ms(self, class_index: int) -> float:
        """Return the usual duration of a stream of a class."""
        return max(1.0, self.class_stream_ms.get(class_index, DEFAULT_STREAM_MS))

    def transfer_penalty_ms(self, cell: int) -> float:
        """Estimate the extra time to fetch a KV cache entry of a cell from outside that cell."""
        local_ms = self.fetch_delays[cell, False].value(self.clock.now_ms)
        remote_ms = self.fetch_delays[cell, True].value(self.clock.now_ms)
        return max(0.0, remote_ms - local_ms)

    def forget_cells(self, cells: Iterable[int]) -> None:
        """Delete the fetch delays of some cells."""
        for cell in cells:
            for remote in (False, True):
                self.fetch_delays.pop((cell, remote), None)

    def decode_tokens(self, state: RequestState) -> float:
        """Estimate the tokens that a stream holds on its server.

        They are the prompt and the output by the client's duration hint, or without one half of the
        maximum output.
        """
        request = state.request
        token_ms, hint_ms = state.request_class.target_token_ms, request.hint_ms
        if hint_ms is not None and token_ms:
            return request.prompt_tokens + hint_ms / token_ms
        return request.prompt_tokens + request.max_output_tokens / 2

    def memory_use(self, server: Server, state: RequestState, fleet_use: float) -> float:
        """Estimate the share of a decode server's memory that is in use after one more stream.

        `fleet_use`: the share of all decode servers' memory, as `fleet_memory_use` estimates it.
        """
        memory = self.settings.kinds[server.entry.kind].memory_tokens
        tokens = server.pending_tokens + self.decode_tokens(state)
        return self._memory_share(tokens, memory, state, fleet_use)

    def fleet_memory_use(self, state: RequestState) -> float:
        """Estimate the share of all decode servers' memory in use, requests in prefill included."""
        decode_pool, kinds = self.fleet.decode_pool, self.settings.kinds
        memory = sum(
            servers * (kinds[kind].memory_tokens or 0.0) for kind, servers in decode_pool.kinds.items()
        )
        incoming = sum(len(s.in_flight) for s in self._busy_prefill_servers()) * self.decode_tokens(state)
        tokens = sum(s.pending_tokens for s in self.fleet.busy if s in decode_pool) + incoming
        return self._memory_share(tokens, memory, state, USUAL_MEMORY_SHARE)

    def _memory_share(self, tokens: float, memory: float | None, state: RequestState, usual: float) -> float:
        """Estimate the share of a memory that is in use, if every router uses as much of it as this one.

        The estimate is the mean of a Poisson count after `PRIOR_STREAMS` observations, since the few streams
        of one router are weak evidence.
        """
        if not memory:
            return 0.0  # the deployment does not state the memory size
        prior = PRIOR_STREAMS * self.decode_tokens(state)
        return (tokens + prior) / (memory / self.settings.routers + prior / usual)

    def failure_probability(self, state: RequestState, server: Server) -> float:
        """Estimate the probability that an attempt of this request fails on a server.

        It is the higher of the rate of lost connections and the lower of its class's and its tenant's rate:
        a failure that only one class or tenant meets is not the server's.
        """
        now_ms = self.clock.now_ms
        rates = [server.failures[scope].value(now_ms) for scope in state.failure_scopes]
        non_idempotent = state.request_class.idempotency == Idempotency.NON_IDEMPOTENT
        errors = server.failures.get(SERVER_ERROR, DecayingMean()).value(now_ms)
        if state.kv_server is not None and non_idempotent and errors > SAMPLE_WEIGHT / 2:
            # The request has only one attempt, and a healthy server answers hundreds of requests per error.
            return 1.0
        return max(server.failures[ANY_REQUEST].value(now_ms), min(rates))

    def prefill_tokens_in_flight(self) -> float:
        """Return this router's uncached tokens in flight on all prefill servers."""
        return sum(
            each.prefill_tokens + PREFILL_OVERHEAD_TOKENS * len(each.in_flight)
            for each in self._busy_prefill_servers()
        )

    def _busy_prefill_servers(self) -> list[Server]:
        """The available servers that only prefill and have requests of this router in flight."""
        pool = self.fleet.prefill_pool
        return [each for each in self.fleet.busy if each.role == Role.PREFILL and each in pool]

    def work_tokens(self, state: RequestState, server: Server) -> float:
        """Return the work of a request on a server in tokens, assuming that no prompt token is cached."""
        if server.role == Role.PREFILL:
            return state.request.prompt_tokens + PREFILL_OVERHEAD_TOKENS
        return self.decode_tokens(state)

    def relative_work(self, state: RequestState, server: Server) -> float:
        """Return the work relative to the mean of completed requests, and at least 1 for light requests."""
        mean = self.mean_work[server.role]
        return max(1.0, self.work_tokens(state, server) / mean) if mean else 1.0
