"""Selection of a prefill server, and load shedding. Types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from math import inf

from ringledge.routing.actions import GiveUpReason
from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.concurrency_limit import ConcurrencyLimit
from ringledge.routing.context import RoutingContext
from ringledge.routing.eligibility import EligibilityFilter
from ringledge.routing.estimates import PREFILL_OVERHEAD_TOKENS, Estimates
from ringledge.routing.events import Request
from ringledge.routing.fleet import FleetState
from ringledge.routing.observations import INITIAL_PREFILLS
from ringledge.routing.rendezvous import WIDER_CANDIDATES, rank
from ringledge.routing.server_pool import FULL_SCAN_SERVERS
from ringledge.routing.settings import Role
from ringledge.routing.state import RequestState, Server

# Top-ranked servers that may prefill a shared prefix. One alone would queue; many would cache duplicates.
PREFIX_REPLICAS = 2
# Share of the target time by which the first in rank may wait longer than the next: about a short prefill.
RANK_TOLERANCE_SHARE = 0.03
# Share of the target time. Above this wait other servers are tried and the lowest priority is shed.
LATE_WAIT_SHARE = 0.5
# Lower bound of the random factor (at most 1) by which the expected wait is multiplied before it is compared
# with the limit. At 0.5 all requests that would wait more than twice the limit are shed.
MIN_SHED_WAIT_SHARE = 0.5
# Decrease of the factor's lower bound per unit of priority: from 1 at priority 0 to `MIN_SHED_WAIT_SHARE`,
# which it reaches at a third of the highest priority.
SHED_PRIORITY_SLOPE = 1.5
# Share of a server's wait or load below which a server farther away or lower in rank is taken instead.
MAX_ALTERNATIVE_RATIO = 0.6
# Share of the decode memory above which the lowest priority is shed. The highest priority is shed above 1.
MEMORY_SHORT = 0.9
# Uncached tokens above which a prefill would stall the streams of a mixed server: a few of its batch steps.
LONG_PREFILL_TOKENS = 2_000.0


@dataclass(slots=True, frozen=True)
class PrefillInputs:
    """State that the selection of a prefill server reads."""

    fleet: FleetState
    affinities: SessionAffinities
    estimates: Estimates
    concurrency_limit: ConcurrencyLimit


class PrefillSelector:
    """Selects by session affinity and rendezvous hashing; sheds requests that would miss their target."""

    def __init__(
        self, context: RoutingContext, inputs: PrefillInputs, eligibility: EligibilityFilter
    ) -> None:
        self.settings = context.settings
        self.rng = context.rng
        self.fleet = inputs.fleet
        self.affinities = inputs.affinities
        self.estimates = inputs.estimates
        self.concurrency_limit = inputs.concurrency_limit
        self.eligibility = eligibility

    def select(self, state: RequestState) -> Server | GiveUpReason:
        """Select a prefill server, or return the reason to shed the request."""
        request = state.request
        scaled_ms = state.request_class.target_per_1000_tokens_ms * request.prompt_tokens / 1000
        target_ms = state.request_class.target_ms + scaled_ms
        affinity, ranked = self.affinities.get(request.session), self.ranking(request)
        pool = self.fleet.prefill_pool
        affinity_server = affinity.server if affinity else None
        if affinity_server is not None and affinity_server in pool:
            ranked = [affinity_server, *(server for server in ranked if server is not affinity_server)]
        eligible_servers = self.eligibility.eligible(state, ranked)
        if len(pool) > FULL_SCAN_SERVERS and not any(
            self.eligibility.is_preferred(state, server) for server in eligible_servers
        ):
            ranked = self._wider_ranking(state)
            eligible_servers = self.eligibility.eligible(state, ranked) or eligible_servers
        if not eligible_servers:
            return GiveUpReason.NO_SERVER
        wait_ms = self.estimates.prefill_wait_ms
        waits = {server: wait_ms(server, request) for server in eligible_servers}
        server = eligible_servers[0]
        if server is affinity_server:
            server = self._avoid_long_wait(server, ranked, waits, target_ms)
        else:
            server = self._select_by_rank(request, ranked, waits, target_ms)
        return self._shed_reason(state, server, waits[server], target_ms) or server

    def _select_by_rank(
        self, request: Request, ranked: list[Server], waits: dict[Server, float], target_ms: float
    ) -> Server:
        """Select the first server in rank, which likely caches the prefix, unless its wait is longer."""
        server = next(iter(waits))
        if self.estimates.uncached_tokens(request, ranked[0]) > LONG_PREFILL_TOKENS:
            ranked = [each for each in ranked if each.role == Role.PREFILL] or ranked
            server = next((each for each in waits if each in ranked), server)
        replicas = [each for each in ranked[:PREFIX_REPLICAS] if each in waits] or [server]
        tolerance_ms = RANK_TOLERANCE_SHARE * target_ms
        server = min(replicas, key=lambda each: waits[each] + (each is not replicas[0]) * tolerance_ms)
        return self._avoid_long_wait(server, ranked, waits, target_ms)

    @staticmethod
    def _avoid_long_wait(
        server: Server, ranked: list[Server], waits: dict[Server, float], target_ms: float
    ) -> Server:
        """Return the server, or another one if the wait is long here and clearly shorter there."""
        if waits[server] <= LATE_WAIT_SHARE * target_ms:
            return server
        limit_ms = MAX_ALTERNATIVE_RATIO * waits[server]
        shorter = [each for each in waits if waits[each] < limit_ms]
        return next((each for each in shorter if each in ranked), shorter[0] if shorter else server)

    def _shed_reason(
        self, state: RequestState, server: Server, wait_ms: float, target_ms: float
    ) -> GiveUpReason | None:
        """Return the reason to shed a request, or None. Requests that have had an attempt are never shed."""
        if state.attempt_count:
            return None
        if self.estimates.fleet_memory_use(state) > MEMORY_SHORT + (1 - MEMORY_SHORT) * state.priority:
            return GiveUpReason.MEMORY_SHORT  # its KV cache entry would wait for memory or evict another one
        if self.concurrency_limit.limit_tokens < inf:
            tokens = self.estimates.uncached_tokens(state.request, server) + PREFILL_OVERHEAD_TOKENS
            in_flight = self.estimates.prefill_tokens_in_flight()
            if not self.concurrency_limit.admits(in_flight, tokens, state.priority, self.rng.random()):
                return GiveUpReason.TOKENS_IN_FLIGHT
        tolerable = self._tolerates_wait(state, server, wait_ms, target_ms)
        return None if tolerable else GiveUpReason.WAIT_TOO_LONG

    def _tolerates_wait(self, state: RequestState, server: Server, wait_ms: float, target_ms: float) -> bool:
        """Whether the wait of a request is acceptable at its priority.

        All classes share the prefill queues, so the limit follows the shortest target of all classes: a wait
        that only the class with the longest target tolerates would make the others late.
        """
        shortest_ms = min(each.target_ms for each in self.settings.classes)
        strictest_target_ms = target_ms * shortest_ms / state.request_class.target_ms
        priority_limit_ms = strictest_target_ms * (LATE_WAIT_SHARE + (1 - LATE_WAIT_SHARE) * state.priority)
        limit_ms = min(state.request.expires_in_ms, priority_limit_ms)
        if wait_ms <= limit_ms or len(self.estimates.completions[server.role]) < INITIAL_PREFILLS:
            return True  # the estimates need the first few prefills
        # Shed only a part of the requests: without any prefills the router would not see the wait end.
        min_share = max(MIN_SHED_WAIT_SHARE, 1 - SHED_PRIORITY_SLOPE * state.priority)
        return wait_ms * self.rng.uniform(min_share, 1) <= limit_ms

    def ranking(self, request: Request) -> list[Server]:
        """Rank the servers that prefill by rendezvous hashing (Thaler and Ravishankar 1998).

        The key is the shared prefix, or the session if there is none.
        """
        key = _affinity_key(request)
        rankings = self.fleet.rankings
        if key not in rankings:
            rankings[key] = rank(key, self.fleet.prefill_pool)
        return rankings[key]

    def _wider_ranking(self, state: RequestState) -> list[Server]:
        """Rank more servers of a large pool, and only those that are preferred, if there are any."""
        pool, key = self.fleet.prefill_pool, _affinity_key(state.request)
        is_preferred = partial(self.eligibility.is_preferred, state)
        return rank(key, pool, WIDER_CANDIDATES, is_preferred) or rank(key, pool, WIDER_CANDIDATES)


def _affinity_key(request: Request) -> str:
    """The text that all requests share that are to be prefilled on the same servers."""
    return f"p{request.prefix}" if request.prefix else f"s{request.session}"
