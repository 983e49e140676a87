"""The choice of a prefill server, or to shed; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import inf

from ringledge.routing.actions import GiveUpReason
from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.concurrency_limit import ConcurrencyLimit
from ringledge.routing.context import RoutingContext
from ringledge.routing.eligibility import EligibilityFilter
from ringledge.routing.estimates import PREFILL_OVERHEAD_TOKENS, Estimates
from ringledge.routing.events import Request
from ringledge.routing.fleet import FleetState
from ringledge.routing.observations import FIRST_PREFILLS
from ringledge.routing.settings import Role
from ringledge.routing.state import RequestState, Server

PREFIX_REPLICAS = 2  # servers in rank that may prefill a shared prefix: one queues, many cache it twice
RANK_TOLERANCE = 0.03  # share of the target time that the first in rank may wait longer: a short prefill
LATE_WAIT_SHARE = (
    0.5  # share of the target time: from that wait on others are tried, the lowest priority shed
)
MIN_SHED_SHARE = 0.5  # least share of a wait that counts for shedding: beyond twice the limit all are shed
SHED_SLOPE = 1.5  # how fast that share falls with priority: from a third of the highest on it is the least
CLEARLY_LESS = 0.6  # share of a wait or load that the farther server must stay under
MEMORY_SHORT = 0.9  # share of decode memory from which the lowest priority is shed; the highest: from 1
LONG_TOKENS = 2_000.0  # uncached tokens that would stall a mixed server's streams: a few of its steps


@dataclass(slots=True, frozen=True)
class PrefillInputs:
    """The data that a prefill selection reads beside its request."""

    fleet: FleetState
    affinities: SessionAffinities
    estimates: Estimates
    concurrency_limit: ConcurrencyLimit


class PrefillSelector:
    """Selects by session affinity and rendezvous hashing; sheds requests that a prefill would make late."""

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
        """The server to prefill at, or why the request is shed."""
        request = state.request
        scaled_ms = state.request_class.target_per_1000_tokens_ms * request.prompt_tokens / 1000
        target_ms = state.request_class.target_ms + scaled_ms
        affinity, order = self.affinities.get(request.session), self.ranking(request)
        bound = affinity.server if affinity else None
        if bound is not None and bound in order:
            order = [bound, *(server for server in order if server is not bound)]
        ready = self.eligibility.eligible(state, order)
        if not ready:
            return GiveUpReason.NO_SERVER
        wait_ms = self.estimates.prefill_wait_ms
        waits = {server: wait_ms(server, request) for server in ready}
        server = ready[0]
        if server is bound:
            server = self._unless_late(server, order, waits, target_ms)
        else:
            server = self._by_rank(request, order, waits, target_ms)
        return self._shed_reason(state, server, waits[server], target_ms) or server

    def _by_rank(
        self, request: Request, order: list[Server], waits: dict[Server, float], target_ms: float
    ) -> Server:
        """The first in rank that does not wait much longer than the next: it likely caches the prefix."""
        server = next(iter(waits))
        if self.estimates.uncached_tokens(request, order[0]) > LONG_TOKENS:
            order = [each for each in order if each.role == Role.PREFILL] or order
            server = next((each for each in waits if each in order), server)
        few = [each for each in order[:PREFIX_REPLICAS] if each in waits] or [server]
        tolerance_ms = RANK_TOLERANCE * target_ms
        server = min(few, key=lambda each: waits[each] + (each is not few[0]) * tolerance_ms)
        return self._unless_late(server, order, waits, target_ms)

    @staticmethod
    def _unless_late(
        server: Server, order: list[Server], waits: dict[Server, float], target_ms: float
    ) -> Server:
        """The server, unless a prefill would wait long there and clearly less elsewhere."""
        if waits[server] <= LATE_WAIT_SHARE * target_ms:
            return server
        limit_ms = CLEARLY_LESS * waits[server]
        calm = [each for each in waits if waits[each] < limit_ms]
        return next((each for each in calm if each in order), calm[0] if calm else server)

    def _shed_reason(
        self, state: RequestState, server: Server, wait_ms: float, target_ms: float
    ) -> GiveUpReason | None:
        """Why a request is not sent to its server, or None; what has had an attempt is never shed."""
        if state.attempt_count:
            return None
        if self.estimates.fleet_memory_use(state) > MEMORY_SHORT + (1 - MEMORY_SHORT) * state.priority:
            return GiveUpReason.MEMORY_SHORT  # its entry would wait, or evict a newer answer
        if self.concurrency_limit.limit_tokens < inf:
            tokens = self.estimates.uncached_tokens(state.request, server) + PREFILL_OVERHEAD_TOKENS
            in_flight = self.estimates.prefill_tokens_in_flight()
            if not self.concurrency_limit.admits(in_flight, tokens, state.priority, self.rng.random()):
                return GiveUpReason.TOKENS_IN_FLIGHT
        tolerable = self._tolerates_wait(state, server, wait_ms, target_ms)
        return None if tolerable else GiveUpReason.WAIT_TOO_LONG

    def _tolerates_wait(self, state: RequestState, server: Server, wait_ms: float, target_ms: float) -> bool:
        """Whether a request's priority justifies its wait, else it is shed.

        All share a queue: a wait that only the class with the longest target tolerates makes the others late.
        """
        shortest_ms = min(each.target_ms for each in self.settings.classes)
        urgent_ms = target_ms * shortest_ms / state.request_class.target_ms
        late_ms = urgent_ms * (LATE_WAIT_SHARE + (1 - LATE_WAIT_SHARE) * state.priority)
        limit_ms = min(state.request.expires_in_ms, late_ms)
        if wait_ms <= limit_ms or len(self.estimates.completions[server.role]) < FIRST_PREFILLS:
            return True  # while little is known, shedding would keep it so
        # Shed in proportion: were all shed at once, nothing would tell when the wait is over.
        min_share = max(MIN_SHED_SHARE, 1 - SHED_SLOPE * state.priority)
        return wait_ms * self.rng.uniform(min_share, 1) <= limit_ms

    def ranking(self, request: Request) -> list[Server]:
        """Prefill and mixed servers by highest random weight for the shared prefix, else the session.

        Rendezvous hashing (Thaler and Ravishankar 1998).
        """
        key = f"p{request.prefix}" if request.prefix else f"s{request.session}"
        rankings = self.fleet.rankings
        if key not in rankings:
            servers = self.fleet.prefill_servers
            rankings[key] = sorted(servers, key=lambda each: random_weight(key, each), reverse=True)
        return rankings[key]


def random_weight(key: str, server: Server) -> float:
    """The weight of a server for a key, over 0 and at most 1: the same on every router."""
    digest = blake2b(f"{key}|{server.entry.server}".encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 1) / 256**6
