"""What one router knows of servers and requests, and its estimates; its types are in ``interface.py``.

Nothing is chosen here.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from math import exp, inf

from crowstand import interface as i

# Tuned values: unit, and why.
READ_START_TOKENS = 300.0  # tokens' worth of fixed cost in a read: a step and the way there and back
NEW = 0.6  # weight of a new sample of a delay or failure: a router of many sees few, each tells much
FADE_MS = 10_000.0  # ms after which evidence counts about a third: troubles last some times that
EARLY = 4  # first reads, of which the fastest tells the pace: the very first may have waited in a queue
SLOWEST = 4.0  # times the pace so far that one sample counts at most: a short read may stand behind long ones
DONE_KEPT = 256  # times kept of work got done: a busy router gets that done while a server warms
MEAN_OF = 64  # requests that a mean of their work counts at most: a router's mix changes within a day
SURE = 4.0  # usual streams that are credited beforehand: the first few at a writer say little
USUALLY_FILLED = 0.5  # share of all writers' memory that is held on an ordinary day
STREAMS_FADE = 0.9  # weight of the streams before with each one that ends: about ten count
STREAM_MS = 2_000.0  # ms that a stream is taken to last until some have ended: some 40 tokens at 50 ms

LOST = (i.Status.CONNECT_FAILED, i.Status.RESET)  # with a note a kept connection broke: no server's fault


@dataclass(slots=True)
class Fading:
    """A running mean that fades to 0 while no samples come."""

    mean: float = 0.0
    at_ms: float = 0.0
    fade_ms: float = FADE_MS

    def now(self, now_ms: float) -> float:
        """The value as far as it still counts."""
        return self.mean * exp((self.at_ms - now_ms) / self.fade_ms)

    def add(self, now_ms: float, value: float) -> None:
        """Take one sample in."""
        self.mean, self.at_ms = (1 - NEW) * self.now(now_ms) + NEW * value, now_ms


@dataclass(slots=True, eq=False)
class Server:
    """One server as this router sees it."""

    entry: i.ServerEntry
    role: i.Role
    tokens: float = 0.0  # this router's tokens under way there: to be read, or read and to be written
    out: list[Job] = field(default_factory=list)  # requests with an attempt there that has no outcome
    delay: Fading = field(default_factory=Fading)  # ms until it has read or written, beyond own load
    streamed: float = 0.0  # time that its ended streams lasted, each against its class's usual
    streams: float = 0.0  # how many ended; both fade with each further one
    prefixes: dict[int, float] = field(default_factory=dict)  # shared beginnings read there, and when
    blame: defaultdict[str, Fading] = field(default_factory=lambda: defaultdict(Fading))  # by what failed
    credit: float = 0.0  # sends that it may get from this router while cold
    credit_ms: float = 0.0  # when the credit was counted
    cold_ms: float = 0.0  # since when it warms: its start, or its call back; 0: long ago


@dataclass(slots=True, eq=False)
class Job:
    """One request, from its arrival until its last attempt has an outcome."""

    request: i.Request
    kind: i.RequestClass
    value: float  # its worth against the worthiest class inside its share
    deadline_ms: float
    scopes: list[str]  # whose failures it shares: its class's and, where there are some, its tenant's
    sent: int = 0  # attempts so far
    at: Server | None = None  # where one has no outcome yet
    sent_ms: float = 0.0  # when it was sent
    tokens: float = 0.0  # what it adds to the server's tokens under way
    ahead: float = 0.0  # tokens of this router to be read there, its own included
    state_at: Server | None = None  # the reader where the read state waits
    may_have_run: list[tuple[Server, float]] = field(default_factory=list)  # where, and sent when
    avoid: list[Server] = field(default_factory=list)  # servers that failed it
    started: bool = False  # its answer streams
    started_ms: float = 0.0  # since when
    ended: bool = False


class Evidence:
    """What a router has seen, and what follows from it."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.now_ms, self.actions = 0.0, list[i.Action]()
        self.servers, self.jobs = dict[str, Server](), dict[str, Job]()
        self.readers, self.writers = list[Server](), list[Server]()  # those that are up and not left out
        self.out, self.recalled = set[str](), set[str]()  # by hand: left out; called back and not yet used
        self.silent = frozenset[str]()  # servers that no connection reaches just now
        self.roles = i.Roles()  # which servers that do both are kept to one role, by plan
        self.rankings: dict[str, list[Server]] = {}
        self.peak = Counter[i.Role]()  # most servers listed at once
        self.leave: dict[str, float] = {}  # chance that a state leaves a place for want of writers
        self.homes: dict[int | None, tuple[Server, float, float]] = {}  # where, tokens kept, and when
        self.read_pace = 0.0  # ms per unread token at a reader that nobody else keeps busy
        self.done = {role: deque[float](maxlen=DONE_KEPT) for role in i.Role}  # times of work got done
        self.mean_work = dict.fromkeys(i.Role, 0.0)  # tokens of a request that got done
        self.usual = {role: Fading() for role in i.Role}  # ms until servers of a role have read or written
        self.stream_ms: dict[int, float] = {}  # how long a class's streams usually last
        self.fetch_delays = defaultdict[tuple[int, bool], Fading](Fading)  # ms; from a cell, and out of it?
        self.tenant_room: dict[int, tuple[float, float]] = {}  # tokens left in the bucket, and when
        self.arrived = (0.0, 0.0)  # requests lately, fading over a window, and when that was counted

    def _unread(self, request: i.Request, server: Server) -> float:
        """Prompt tokens likely not kept there, by the session's home and the beginnings read there."""
        home, kept, _ = self.homes.get(request.session, (None, 0.0, 0.0))
        kept = kept if home is server else 0.0
        if request.prefix in server.prefixes:
            kept = max(kept, request.prefix_tokens)
        return max(1.0, request.prompt_tokens - kept)

    def _read_ms(self, server: Server, request: i.Request) -> float:
        """How long it likely takes until a read from there is fetched."""
        tokens = server.tokens + self._unread(request, server) + READ_START_TOKENS
        cell = server.entry.cell
        fetch_ms = self.fetch_delays[cell, False].now(self.now_ms)
        fetch_ms += max(0.0, self.leave.get(f"cell {cell}", 0.0)) * self._farther(cell)
        return server.delay.now(self.now_ms) + fetch_ms + tokens * self.read_pace

    def _drag(self, server: Server) -> float:
        """How long its streams last against others', those that still run included: the slow ones run on."""
        running = sum((self.now_ms - j.started_ms) / self._usual_ms(j) for j in server.out if j.started)
        return (SURE + server.streamed + running) / (SURE + server.streams)

    def _usual_ms(self, job: Job) -> float:
        """How long a stream of its class usually lasts."""
        return max(1.0, self.stream_ms.get(job.request.class_index, STREAM_MS))

    def _farther(self, cell: int) -> float:
        """How much longer it takes to fetch a state from a cell than within it."""
        near_ms, far_ms = (self.fetch_delays[cell, away].now(self.now_ms) for away in (False, True))
        return max(0.0, far_ms - near_ms)

    def _tokens(self, job: Job) -> float:
        """Tokens a stream puts under way: its prompt and the hint, or else half of what it may produce."""
        pace, hint_ms = job.kind.token_aim_ms, job.request.hint_ms
        answer = hint_ms / pace if hint_ms is not None and pace else job.request.max_output_tokens / 2
        return job.request.prompt_tokens + answer

    def _work(self, job: Job, server: Server) -> float:
        """Tokens that a request may cost a server, what is kept of its prompt elsewhere not counted."""
        reads = server.role == i.Role.READER
        return job.request.prompt_tokens + READ_START_TOKENS if reads else max(1.0, self._tokens(job))

    def _work_share(self, job: Job, server: Server) -> float:
        """The same against the mean of those that got done, one at least: as many light ones are no less."""
        return max(1.0, self._work(job, server) / (self.mean_work[server.role] or self._work(job, server)))

    def _filled(self, server: Server, job: Job) -> float:
        """Share of a writer's memory that is likely held once it has a further stream."""
        memory = self.settings.kinds[server.entry.kind].memory_tokens
        return self._share(server.tokens + self._tokens(job), memory, job, self._fleet_filled(job))

    def _fleet_filled(self, job: Job) -> float:
        """The same for all writers together, with what is being read and will come to them."""
        memory = sum(self.settings.kinds[s.entry.kind].memory_tokens or 0.0 for s in self.writers)
        coming = sum(len(s.out) for s in self.readers if s.role == i.Role.READER) * self._tokens(job)
        return self._share(sum(s.tokens for s in self.writers) + coming, memory, job, USUALLY_FILLED)

    def _share(self, tokens: float, memory: float | None, job: Job, usual: float) -> float:
        """What is held of a memory, as if every router had as much there: few streams say little alone."""
        if not memory:
            return 0.0  # not told
        few = SURE * self._tokens(job)  # a Poisson count's mean, with as many streams known beforehand
        return (tokens + few) / (memory / self.settings.routers + few / usual)

    def _doubt(self, job: Job, server: Server) -> float:
        """How likely it fails this request: what failed there is the server, or its class and its tenant."""
        marks = [server.blame[scope].now(self.now_ms) for scope in job.scopes]
        once = job.state_at is not None and job.kind.effect == i.Effect.UNSAFE  # it gets no second try
        if once and server.blame.get("error", Fading()).now(self.now_ms) > NEW / 2:
            return 1.0  # one that is well answers hundreds before it fails one: a single error tells
        return max(server.blame["all"].now(self.now_ms), min(marks))

    def warmth(self, server: Server) -> float:
        """The part of its capacity that a server is trusted with since its start."""
        age_ms, warm_ms = self.now_ms - server.cold_ms, self.settings.warm_after_ms
        if server.cold_ms <= 0 or age_ms >= warm_ms:
            return 1.0
        share = max(0.0, age_ms) / max(1.0, warm_ms)
        return self.settings.cold_share * (1 - share) + share

    def availability(self, server: Server) -> i.Availability:
        """By the list, unless it was left out by hand: then it finishes what it has, as if it drained."""
        out = server.entry.server in self.out
        return i.Availability.DRAINING if out else server.entry.availability

    def _learn(self, job: Job, server: Server, outcome: i.Outcome) -> None:
        """Judge the server by this router's own outcomes."""
        status, over_ms = outcome.status, max(0.0, outcome.latency_ms - job.ahead * self.read_pace)
        if status == i.Status.READ:
            unread = max(0.0, job.request.prompt_tokens - outcome.note)
            pace = min(outcome.latency_ms / (unread + READ_START_TOKENS), SLOWEST * self.read_pace or inf)
            rate = NEW / (6 if pace < self.read_pace else 60)  # seeks the pace of an idle reader
            early = len(self.done[server.role]) < EARLY and pace < self.read_pace
            self.read_pace += (1.0 if early or not self.read_pace else rate) * (pace - self.read_pace)
        if status == i.Status.READ or (status == i.Status.OK and not job.started):
            self._got_done(job, server, over_ms)
        elif status == i.Status.OK:
            lasted_ms, usual_ms = self.now_ms - job.started_ms, self._usual_ms(job)
            self.stream_ms[job.request.class_index] = usual_ms + NEW / 20 * (lasted_ms - usual_ms)
            server.streamed = STREAMS_FADE * server.streamed + lasted_ms / usual_ms
            server.streams = STREAMS_FADE * server.streams + 1
        elif not job.started and over_ms > server.delay.now(self.now_ms):
            server.delay.add(self.now_ms, over_ms)  # it would have taken at least so long
        if status == i.Status.ERROR and server.role != i.Role.READER:
            server.blame["error"].add(self.now_ms, 1.0)
        if status in LOST and not outcome.note:
            server.blame["all"].add(self.now_ms, 1.0)
        elif status in (i.Status.ERROR, i.Status.TIMEOUT) or (status == i.Status.FULL and not outcome.note):
            self._note(job, server, 1.0)

    def _got_done(self, job: Job, server: Server, delay_ms: float) -> None:
        """A read or an answer's start: it tells the pace of the server and of its role, and clears blame."""
        self.done[server.role].append(self.now_ms)
        work, mean = self._work(job, server), self.mean_work[server.role]
        weight = 1 / min(len(self.done[server.role]), MEAN_OF)
        self.mean_work[server.role] = mean + weight * (work - mean) if mean else work
        self.usual[server.role].add(self.now_ms, delay_ms)
        server.delay.add(self.now_ms, delay_ms)
        server.blame.pop("all", None)
        self._note(job, server, 0.0)

    def _note(self, job: Job, server: Server, failed: float) -> None:
        """Keep evidence by what failed: other classes' and tenants' answers don't clear it."""
        for scope in job.scopes:
            if failed or scope in server.blame:
                server.blame[scope].add(self.now_ms, failed)

    def _bind(self, job: Job, server: Server) -> None:
        """Evidence binds a session and refreshes it: a silent server can't keep what it never answered."""
        if job.request.prefix:
            server.prefixes[job.request.prefix] = self.now_ms
        if job.request.session is not None:
            self.homes[job.request.session] = (server, job.request.prompt_tokens, self.now_ms)
