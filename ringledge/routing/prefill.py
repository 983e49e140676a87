"""The choice of a prefill server, or to shed; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from ringledge.routing.actions import GiveUpReason
from ringledge.routing.eligibility import Eligibility
from ringledge.routing.estimates import FIRST_PREFILLS, PREFILL_OVERHEAD_TOKENS
from ringledge.routing.events import Request
from ringledge.routing.settings import Role
from ringledge.routing.state import Job, Server

# Tuned values: unit, and why.
PREFIX_REPLICAS = 2  # servers in rank that may prefill a shared prefix: one queues, many cache it twice
BEHIND = 0.03  # share of the target time by which the first in rank may be behind: about a short prefill
LATE = 0.5  # share of the target time: a prefill that waits it tries others, worthless ones are shed from it
MIN_SHED_SHARE = 0.5  # least share of a wait that counts for shedding: beyond twice the limit all are shed
SHED_SLOPE = 1.5  # how fast that share falls with value: from a third of the highest on it is the least
CLEARLY_LESS = 0.6  # share of a wait or load that the farther server must stay under
MEMORY_SHORT = 0.9  # share of decode memory from which the worthless are shed; the worthiest: from 1
LONG_TOKENS = 2_000.0  # uncached tokens that would stall a mixed server's streams: a few of its steps


class PrefillChoice(Eligibility):
    """Session affinity, the shared prefix's hash, and who is shed before a prefill."""

    def _choose_prefill(self, job: Job) -> Server | None:
        """By affinity, else the first in rank that is not behind; failing that the next calm one."""
        request = job.request
        scaled_ms = job.request_class.target_per_1000_tokens_ms * request.prompt_tokens / 1000
        target_ms = job.request_class.target_ms + scaled_ms
        order, affinity = self._ranking(request), self.affinities.get(request.session)
        bound = affinity.server if affinity else None
        if bound is not None and bound in order:
            order = [bound, *(server for server in order if server is not bound)]
        ready = self._eligible(job, order)
        if not ready:
            return self._shed(job, GiveUpReason.NO_SERVER)
        waits, server = {server: self._prefill_wait_ms(server, request) for server in ready}, ready[0]
        if server is not bound and self._uncached_tokens(request, order[0]) > LONG_TOKENS:
            order = [each for each in order if each.role == Role.PREFILL] or order
            server = next((each for each in ready if each in order), server)
        if server is not bound:  # agreement by hash keeps a prefix together
            few = [each for each in order[:PREFIX_REPLICAS] if each in waits] or [server]
            server = min(few, key=lambda each: waits[each] + (each is not few[0]) * BEHIND * target_ms)
        if waits[server] > LATE * target_ms:
            calm = [each for each in ready if waits[each] < CLEARLY_LESS * waits[server]]
            server = next((each for each in calm if each in order), calm[0] if calm else server)
        if not job.attempts and self._fleet_memory_use(job) > MEMORY_SHORT + (1 - MEMORY_SHORT) * job.value:
            return self._shed(job, GiveUpReason.MEMORY_SHORT)  # its entry would wait, or evict a newer answer
        if self.concurrency_limit.limit_tokens < inf and not job.attempts:
            tokens, in_flight = self._uncached_tokens(request, server), self._prefill_tokens_in_flight()
            tokens += PREFILL_OVERHEAD_TOKENS
            if not self.concurrency_limit.admits(in_flight, tokens, job.value, self.rng.random()):
                return self._shed(job, GiveUpReason.TOKENS_IN_FLIGHT)
        if self._bears(job, server, waits[server], target_ms):
            return server
        return self._shed(job, GiveUpReason.WAIT_TOO_LONG)

    @staticmethod
    def _shed(job: Job, why: GiveUpReason) -> None:
        """No server for a request; the reason is kept for its final answer."""
        job.shed_why = why

    def _bears(self, job: Job, server: Server, wait_ms: float, target_ms: float) -> bool:
        """Whether a request is worth its wait, else it is shed.

        All stand in one queue: what only the class with the longest target can bear makes all others late.
        """
        shortest_ms = min(each.target_ms for each in self.settings.classes)
        urgent_ms = target_ms * shortest_ms / job.request_class.target_ms
        limit_ms = min(job.request.expires_in_ms, urgent_ms * (LATE + (1 - LATE) * job.value))
        if job.attempts or wait_ms <= limit_ms or len(self.completions[server.role]) < FIRST_PREFILLS:
            return True  # while little is known, shedding would keep it so
        # Shed in proportion: were all shed at once, nothing would tell when the wait is over.
        return wait_ms * self.rng.uniform(max(MIN_SHED_SHARE, 1 - SHED_SLOPE * job.value), 1) <= limit_ms

    def _ranking(self, request: Request) -> list[Server]:
        """Prefill and mixed servers by highest random weight for the shared prefix, else the session."""
        key = f"p{request.prefix}" if request.prefix else f"s{request.session}"
        if key not in self.rankings:
            servers = self.prefill_servers
            self.rankings[key] = sorted(servers, key=lambda each: random_weight(key, each), reverse=True)
        return self.rankings[key]


def random_weight(key: str, server: Server) -> float:
    """The weight of a server for a key, over 0 and at most 1: the same on every router."""
    digest = blake2b(f"{key}|{server.entry.server}".encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 1) / 256**6
