"""What one router has observed of servers and requests, and its estimates; its types are in ``interface.py``.

Nothing is decided here.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from math import inf

from ringledge.routing.actions import RoutingAction
from ringledge.routing.concurrency_limit import WAIT_SHARE, ConcurrencyLimit
from ringledge.routing.control_events import RolePlan
from ringledge.routing.endpoints import Availability
from ringledge.routing.events import AttemptOutcome, AttemptStatus, Request
from ringledge.routing.settings import Idempotency, Role, RouterSettings
from ringledge.routing.state import (
    ANY_REQUEST,
    SAMPLE_WEIGHT,
    SERVER_ERROR,
    Affinity,
    DecayingMean,
    Job,
    Server,
)

# Tuned values: unit, and why.
PREFILL_OVERHEAD_TOKENS = 300.0  # tokens' worth of fixed cost in a prefill: a step and the round trip
FIRST_PREFILLS = 4  # whose fastest sets the pace: the very first may have waited in a queue
MAX_SLOWDOWN = 4.0  # times the pace so far that one sample counts at most: it may have queued
COMPLETIONS_KEPT = 256  # completion times kept: a busy router completes that many while a server warms
PRIOR_STREAMS = 4.0  # usual streams that are credited beforehand: the first few at a server say little
USUAL_MEMORY_SHARE = 0.5  # share of all decode servers' memory that is held on an ordinary day
STREAM_DECAY = 0.9  # weight of the streams before with each one that ends: about ten count
STREAM_LOAD = 0.3  # of the tokens of running streams that count as queued: their steps slow prefills
DEFAULT_STREAM_MS = 2_000.0  # ms that streams are taken to last until some have ended: 40 tokens at 50 ms

CONNECTION_LOST = (
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
)  # `note` 1: an idle connection's end, no failure


class Estimates:
    """What a router has observed, and what it estimates from that."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.now_ms = 0.0
        self.actions = list[RoutingAction]()
        self.servers = dict[str, Server]()
        self.jobs = dict[str, Job]()
        self.prefill_servers = list[Server]()  # those that are up and not excluded
        self.decode_servers = list[Server]()
        self.excluded = set[str]()  # by operators
        self.readmitted = set[str]()  # by operators, and not used since
        self.unreachable = frozenset[str]()  # servers that no connection reaches just now
        self.role_plan = RolePlan()  # which servers of mixed kinds are kept to one role
        self.rankings: dict[str, list[Server]] = {}
        self.peak_servers = Counter[Role]()  # most servers listed at once
        self.spill_chance: dict[str, float] = {}  # that a KV cache entry leaves a short place
        self.affinities: dict[int | None, Affinity] = {}  # by session
        self.prefill_ms_per_token = 0.0  # uncached tokens, at a server that nobody else keeps busy
        self.completions = {role: deque[float](maxlen=COMPLETIONS_KEPT) for role in Role}  # when
        self.mean_work = dict.fromkeys(Role, 0.0)  # tokens of a request that completed
        self.usual_delay = {role: DecayingMean() for role in Role}  # ms to prefill or first token
        self.class_stream_ms: dict[int, float] = {}  # how long a class's streams usually last
        self.fetch_delays = defaultdict[tuple[int, bool], DecayingMean](DecayingMean)  # by cell, remote?
        self.concurrency_limit = ConcurrencyLimit()  # on uncached tokens in flight
        self.quota_buckets: dict[int, tuple[float, float]] = {}  # by tenant: requests left, and when
        self.recent_arrivals = (0.0, 0.0)  # requests, decaying over a window, and when that was counted

    def _uncached_tokens(self, request: Request, server: Server) -> float:
        """Prompt tokens likely not cached there, by the session's affinity and the shared prefixes."""
        affinity = self.affinities.get(request.session)
        cached = affinity.cached_tokens if affinity and affinity.server is server else 0.0
        if request.prefix in server.cached_prefixes:
            cached = max(cached, request.prefix_tokens)
        return max(1.0, request.prompt_tokens - cached)

    def _prefill_wait_ms(self, server: Server, request: Request) -> float:
        """How long it likely takes until a prompt is prefilled there and its KV cache entry fetched."""
        tokens = server.prefill_tokens + self._uncached_tokens(request, server) + PREFILL_OVERHEAD_TOKENS
        if server.role != Role.PREFILL:
            tokens += STREAM_LOAD * server.pending_tokens
        cell = server.entry.cell
        fetch_ms = self.fetch_delays[cell, False].value(self.now_ms)
        fetch_ms += max(0.0, self.spill_chance.get(f"cell {cell}", 0.0)) * self._transfer_penalty_ms(cell)
        return server.prefill_delay.value(self.now_ms) + fetch_ms + tokens * self.prefill_ms_per_token

    def _stream_slowdown(self, server: Server) -> float:
        """How long its streams last relative to the usual, running ones included: the slow ones run on."""
        running = sum(
            (self.now_ms - job.stream_start_ms) / self._usual_stream_ms(job)
            for job in server.in_flight
            if job.streaming
        )
        return (PRIOR_STREAMS + server.stream_ratio_sum + running) / (PRIOR_STREAMS + server.stream_count)

    def _usual_stream_ms(self, job: Job) -> float:
        """How long a stream of its class usually lasts."""
        return max(1.0, self.class_stream_ms.get(job.request.class_index, DEFAULT_STREAM_MS))

    def _transfer_penalty_ms(self, cell: int) -> float:
        """How much longer it takes to fetch a KV cache entry from a cell than within it."""
        local_ms = self.fetch_delays[cell, False].value(self.now_ms)
        remote_ms = self.fetch_delays[cell, True].value(self.now_ms)
        return max(0.0, remote_ms - local_ms)

    def _decode_tokens(self, job: Job) -> float:
        """Tokens a stream adds to its server: its prompt and the hint, or else half of its bound."""
        pace_ms, hint_ms = job.request_class.target_token_ms, job.request.hint_ms
        answer = hint_ms / pace_ms if hint_ms is not None and pace_ms else job.request.max_output_tokens / 2
        return job.request.prompt_tokens + answer

    def _memory_use(self, server: Server, job: Job) -> float:
        """Share of a decode server's memory that is likely held once it has a further stream."""
        memory = self.settings.kinds[server.entry.kind].memory_tokens
        tokens = server.pending_tokens + self._decode_tokens(job)
        return self._memory_share(tokens, memory, job, self._fleet_memory_use(job))

    def _fleet_memory_use(self, job: Job) -> float:
        """The same for all decode servers together, with what is being prefilled and will come to them."""
        memory = sum(self.settings.kinds[s.entry.kind].memory_tokens or 0.0 for s in self.decode_servers)
        prefilling = sum(len(s.in_flight) for s in self.prefill_servers if s.role == Role.PREFILL)
        coming = prefilling * self._decode_tokens(job)
        tokens = sum(server.pending_tokens for server in self.decode_servers) + coming
        return self._memory_share(tokens, memory, job, USUAL_MEMORY_SHARE)

    def _memory_share(self, tokens: float, memory: float | None, job: Job, usual: float) -> float:
        """Share of a memory that is held, if every router has as much there: few streams say little."""
        if not memory:
            return 0.0  # not told
        prior = PRIOR_STREAMS * self._decode_tokens(job)  # a Poisson count's mean, with that many seen before
        return (tokens + prior) / (memory / self.settings.routers + prior / usual)

    def _failure_probability(self, job: Job, server: Server) -> float:
        """How likely it fails this request: what failed there is the server, or its class and its tenant."""
        rates = [server.failures[scope].value(self.now_ms) for scope in job.failure_scopes]
        single_try = job.kv_server is not None and job.request_class.idempotency == Idempotency.NON_IDEMPOTENT
        errors = server.failures.get(SERVER_ERROR, DecayingMean()).value(self.now_ms)
        if single_try and errors > SAMPLE_WEIGHT / 2:
            return 1.0  # one that is well answers hundreds before it fails one: a single error tells
        return max(server.failures[ANY_REQUEST].value(self.now_ms), min(rates))

    def warmth(self, server: Server) -> float:
        """The part of its capacity that a server is trusted with since its start."""
        age_ms, warm_ms = self.now_ms - server.warming_since_ms, self.settings.warm_after_ms
        if server.warming_since_ms <= 0 or age_ms >= warm_ms:
            return 1.0
        share = max(0.0, age_ms) / max(1.0, warm_ms)
        return self.settings.cold_capacity * (1 - share) + share

    def availability(self, server: Server) -> Availability:
        """By the list, unless operators excluded it: then it finishes what it has, as if it drained."""
        excluded = server.entry.server in self.excluded
        return Availability.DRAINING if excluded else server.entry.availability

    def _estimate_spill(self, up: list[Server]) -> None:
        """How far each place's decode servers fall short of its prefills, relative to the whole fleet."""
        prefills, decodes = defaultdict[str, float](float), defaultdict[str, float](float)
        for server in up:
            for place in ("all", f"cell {server.entry.cell}", f"zone {server.entry.zone}"):
                prefills[place] += self.warmth(server) * (not self._only(server, Role.DECODE))
                decodes[place] += self.warmth(server) * (not self._only(server, Role.PREFILL))
        ratio = decodes["all"] / max(1.0, prefills["all"])
        needs = {place: ratio * warm for place, warm in prefills.items()}
        self.spill_chance = {place: 1 - decodes[place] / need for place, need in needs.items() if need}

    def _only(self, server: Server, role: Role) -> bool:
        """Whether all that is new to it is of this role, by its kind or by plan."""
        plan = self.role_plan
        names = plan.no_prefill if role == Role.DECODE else plan.no_decode
        return server.role == role or (server.role == Role.MIXED and server.entry.server in names)

    def _learn(self, job: Job, server: Server, outcome: AttemptOutcome) -> None:
        """Update the estimates by the outcome of an attempt."""
        status = outcome.status
        over_ms = max(0.0, outcome.latency_ms - job.queued_tokens * self.prefill_ms_per_token)
        if status == AttemptStatus.PREFILLED:
            self._learn_prefill_pace(job, server, outcome)
        if status == AttemptStatus.PREFILLED or (status == AttemptStatus.OK and not job.streaming):
            self._record_success(job, server, over_ms)
        elif status == AttemptStatus.OK:
            self._learn_stream(job, server)
        elif not job.streaming and over_ms > server.delay_of(job).value(self.now_ms):
            server.delay_of(job).add(self.now_ms, over_ms)  # it would have taken at least so long
        if status == AttemptStatus.ERROR and server.role != Role.PREFILL:
            server.failures[SERVER_ERROR].add(self.now_ms, 1.0)
        if status in CONNECTION_LOST and not outcome.note:
            server.failures[ANY_REQUEST].add(self.now_ms, 1.0)
        elif status in (AttemptStatus.ERROR, AttemptStatus.TIMEOUT) or (
            status == AttemptStatus.FULL and not outcome.note
        ):
            self._record_result(job, server, 1.0)
        if server.role == Role.PREFILL and status in (AttemptStatus.PREFILLED, AttemptStatus.CANCELLED):
            self._learn_congestion(job, outcome)

    def _learn_congestion(self, job: Job, outcome: AttemptOutcome) -> None:
        """Adapt the limit of what is in flight to how long a prefill waited."""
        target_ms = job.request_class.target_ms
        wait = (outcome.latency_ms - job.queued_tokens * self.prefill_ms_per_token) / target_ms
        if outcome.status == AttemptStatus.CANCELLED and wait <= WAIT_SHARE:
            return  # cancelled so early it tells nothing
        if not self.concurrency_limit.observe_wait(self.now_ms, wait, job.sent_ms):
            return
        warm = sum(self.warmth(each) for each in self.prefill_servers if each.role == Role.PREFILL)
        pace = max(self.prefill_ms_per_token, 1e-3)
        floor = warm * WAIT_SHARE * target_ms / pace / self.settings.routers
        in_flight = job.pending_tokens + PREFILL_OVERHEAD_TOKENS + self._prefill_tokens_in_flight()
        self.concurrency_limit.decrease(self.now_ms, in_flight, floor)

    def _prefill_tokens_in_flight(self) -> float:
        """Uncached tokens of this router at all prefill servers."""
        servers = [server for server in self.prefill_servers if server.role == Role.PREFILL]
        return sum(each.prefill_tokens + PREFILL_OVERHEAD_TOKENS * len(each.in_flight) for each in servers)

    def _learn_prefill_pace(self, job: Job, server: Server, outcome: AttemptOutcome) -> None:
        """Seek the pace of an idle prefill server: faster samples count more than slower ones."""
        known = self.prefill_ms_per_token
        uncached = max(0.0, job.request.prompt_tokens - outcome.note)
        pace = min(outcome.latency_ms / (uncached + PREFILL_OVERHEAD_TOKENS), MAX_SLOWDOWN * known or inf)
        rate = SAMPLE_WEIGHT / (6 if pace < known else 60)
        early = len(self.completions[server.role]) < FIRST_PREFILLS and pace < known
        self.prefill_ms_per_token += (1.0 if early or not known else rate) * (pace - known)

    def _learn_stream(self, job: Job, server: Server) -> None:
        """An ended stream tells of its class's usual duration, and of its server's pace."""
        duration_ms, usual_ms = self.now_ms - job.stream_start_ms, self._usual_stream_ms(job)
        change_ms = SAMPLE_WEIGHT / 20 * (duration_ms - usual_ms)
        self.class_stream_ms[job.request.class_index] = usual_ms + change_ms
        server.stream_ratio_sum = STREAM_DECAY * server.stream_ratio_sum + duration_ms / usual_ms
        server.stream_count = STREAM_DECAY * server.stream_count + 1

    def _record_success(self, job: Job, server: Server, delay_ms: float) -> None:
        """A prefill or an answer's start: it tells the pace of server and role, and clears failures."""
        self.completions[server.role].append(self.now_ms)
        self.usual_delay[server.role].add(self.now_ms, delay_ms)
        server.delay_of(job).add(self.now_ms, delay_ms)
        server.failures.pop(ANY_REQUEST, None)
        self._record_result(job, server, 0.0)

    def _record_result(self, job: Job, server: Server, failed: float) -> None:
        """Keep results by scope: other classes' and tenants' answers don't clear a failure."""
        for scope in job.failure_scopes:
            if failed or scope in server.failures:
                server.failures[scope].add(self.now_ms, failed)

    def _end_prefill(self, job: Job, server: Server) -> None:
        """Stop counting what a request had to prefill."""
        server.prefill_tokens -= job.prefill_tokens
        job.prefill_tokens = 0.0

    def _bind(self, job: Job, server: Server) -> None:
        """Bind a session to the server that answered: a silent one can't keep what it never answered."""
        if job.request.prefix:
            server.cached_prefixes[job.request.prefix] = self.now_ms
        if job.request.session is not None:
            affinity = Affinity(server, job.request.prompt_tokens, self.now_ms)
            self.affinities[job.request.session] = affinity
