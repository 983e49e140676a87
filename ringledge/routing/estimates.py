"""What one router estimates of servers and requests; its types are in ``interface.py``.

Nothing is decided here. ``observations.py`` updates the estimates.
"""

from __future__ import annotations

from collections import defaultdict, deque

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

PREFILL_OVERHEAD_TOKENS = 300.0  # tokens' worth of fixed cost in a prefill: a step and the round trip
MAX_COMPLETIONS = 256  # completion times retained: a busy router completes that many while a server warms
PRIOR_STREAMS = 4.0  # usual streams that are credited beforehand: the first few at a server say little
USUAL_MEMORY_SHARE = 0.5  # share of all decode servers' memory that is held on an ordinary day
STREAM_LOAD = 0.3  # of the tokens of running streams that count as queued: their steps slow prefills
DEFAULT_STREAM_MS = 2_000.0  # ms that streams are taken to last until some have ended: 40 tokens at 50 ms


class Estimates:
    """Estimates of delays, work, memory and failures from what one router has observed."""

    def __init__(self, context: RoutingContext, fleet: FleetState, affinities: SessionAffinities) -> None:
        self.settings = context.settings
        self.clock = context.clock
        self.fleet = fleet
        self.affinities = affinities
        self.prefill_ms_per_token = 0.0  # uncached tokens, at a server that nobody else occupies
        self.completions = {role: deque[float](maxlen=MAX_COMPLETIONS) for role in Role}  # times
        self.mean_work = dict.fromkeys(Role, 0.0)  # tokens of a request that completed
        self.usual_delay = {role: DecayingMean() for role in Role}  # ms to prefill or first token
        self.class_stream_ms: dict[int, float] = {}  # how long a class's streams usually last
        self.fetch_delays = defaultdict[tuple[int, bool], DecayingMean](DecayingMean)  # by cell, remote?

    def uncached_tokens(self, request: Request, server: Server) -> float:
        """Prompt tokens likely not cached there, by the session's affinity and the shared prefixes."""
        affinity = self.affinities.get(request.session)
        cached = affinity.cached_tokens if affinity and affinity.server is server else 0.0
        if request.prefix in server.cached_prefixes:
            cached = max(cached, request.prefix_tokens)
        return max(1.0, request.prompt_tokens - cached)

    def prefill_wait_ms(self, server: Server, request: Request) -> float:
        """How long it likely takes until a prompt is prefilled there and its KV cache entry fetched."""
        now_ms, cell = self.clock.now_ms, server.entry.cell
        tokens = server.prefill_tokens + self.uncached_tokens(request, server) + PREFILL_OVERHEAD_TOKENS
        if server.role != Role.PREFILL:
            tokens += STREAM_LOAD * server.pending_tokens
        fetch_ms = self.fetch_delays[cell, False].value(now_ms)
        spill_chance = self.fleet.spill_chance.by_cell.get(cell, 0.0)
        fetch_ms += max(0.0, spill_chance) * self.transfer_penalty_ms(cell)
        return server.prefill_delay.value(now_ms) + fetch_ms + tokens * self.prefill_ms_per_token

    def stream_slowdown(self, server: Server) -> float:
        """How long its streams last relative to the usual, running ones included: the slow ones run on."""
        now_ms = self.clock.now_ms
        running = sum(
            (now_ms - state.stream_start_ms) / self.usual_stream_ms(state.request.class_index)
            for state in server.in_flight
            if state.streaming
        )
        return (PRIOR_STREAMS + server.stream_ratio_sum + running) / (PRIOR_STREAMS + server.stream_count)

    def usual_stream_ms(self, class_index: int) -> float:
        """How long a stream of a class usually lasts."""
        return max(1.0, self.class_stream_ms.get(class_index, DEFAULT_STREAM_MS))

    def transfer_penalty_ms(self, cell: int) -> float:
        """How much longer it takes to fetch a KV cache entry from a cell than within it."""
        local_ms = self.fetch_delays[cell, False].value(self.clock.now_ms)
        remote_ms = self.fetch_delays[cell, True].value(self.clock.now_ms)
        return max(0.0, remote_ms - local_ms)

    def forget_other_cells(self, cells: set[int]) -> None:
        """Delete the transfer delays of all cells but these."""
        known = {key: delay for key, delay in self.fetch_delays.items() if key[0] in cells}
        self.fetch_delays = defaultdict(DecayingMean, known)

    def decode_tokens(self, state: RequestState) -> float:
        """Tokens a stream adds to its server: its prompt and the hint, or else half of its bound."""
        request = state.request
        token_ms, hint_ms = state.request_class.target_token_ms, request.hint_ms
        if hint_ms is not None and token_ms:
            return request.prompt_tokens + hint_ms / token_ms
        return request.prompt_tokens + request.max_output_tokens / 2

    def memory_use(self, server: Server, state: RequestState) -> float:
        """Share of a decode server's memory that is likely held once it has a further stream."""
        memory = self.settings.kinds[server.entry.kind].memory_tokens
        tokens = server.pending_tokens + self.decode_tokens(state)
        return self._memory_share(tokens, memory, state, self.fleet_memory_use(state))

    def fleet_memory_use(self, state: RequestState) -> float:
        """The same for all decode servers together, with what is being prefilled and will come to them."""
        decode_servers, kinds = self.fleet.decode_servers, self.settings.kinds
        memory = sum(kinds[server.entry.kind].memory_tokens or 0.0 for server in decode_servers)
        prefilling = sum(len(s.in_flight) for s in self.fleet.prefill_servers if s.role == Role.PREFILL)
        coming = prefilling * self.decode_tokens(state)
        tokens = sum(server.pending_tokens for server in decode_servers) + coming
        return self._memory_share(tokens, memory, state, USUAL_MEMORY_SHARE)

    def _memory_share(self, tokens: float, memory: float | None, state: RequestState, usual: float) -> float:
        """Share of a memory that is held, if every router has as much there: few streams say little."""
        if not memory:
            return 0.0  # the deployment does not say
        prior = PRIOR_STREAMS * self.decode_tokens(
            state
        )  # a Poisson count's mean, with that many seen before
        return (tokens + prior) / (memory / self.settings.routers + prior / usual)

    def failure_probability(self, state: RequestState, server: Server) -> float:
        """How likely it fails this request: what failed there is the server, or its class and its tenant."""
        now_ms = self.clock.now_ms
        rates = [server.failures[scope].value(now_ms) for scope in state.failure_scopes]
        non_idempotent = state.request_class.idempotency == Idempotency.NON_IDEMPOTENT
        errors = server.failures.get(SERVER_ERROR, DecayingMean()).value(now_ms)
        if state.kv_server is not None and non_idempotent and errors > SAMPLE_WEIGHT / 2:
            return 1.0  # one attempt is all it has, and a healthy server answers hundreds before one error
        return max(server.failures[ANY_REQUEST].value(now_ms), min(rates))

    def prefill_tokens_in_flight(self) -> float:
        """Uncached tokens of this router at all prefill servers."""
        servers = [server for server in self.fleet.prefill_servers if server.role == Role.PREFILL]
        return sum(each.prefill_tokens + PREFILL_OVERHEAD_TOKENS * len(each.in_flight) for each in servers)

    def work_tokens(self, state: RequestState, server: Server) -> float:
        """Tokens that a request may cost a server, as if nothing of its prompt were cached."""
        if server.role == Role.PREFILL:
            return state.request.prompt_tokens + PREFILL_OVERHEAD_TOKENS
        return self.decode_tokens(state)

    def relative_work(self, state: RequestState, server: Server) -> float:
        """The same relative to the mean of what completed, one at least: light requests count as well."""
        mean = self.mean_work[server.role]
        return max(1.0, self.work_tokens(state, server) / mean) if mean else 1.0
