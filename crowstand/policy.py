"""Every decision, read as the life of a request; its types are in ``crowstand/interface.py``."""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from math import exp, inf
from typing import Any

from crowstand import interface as i

# Tuned values: unit, and why.
REAP_MS = 1_000.0  # ms between looks at what is old, and at how warm servers are
HOME_TTL_MS = 60_000.0  # ms a session stays bound after its last read: the design's default
SPREAD = 2  # readers of a beginning's ranking that may read it: one falls behind, many keep it twice
EVEN = 0.1  # share of the time wanted by which waits may differ before they count: a read takes about that
BEHIND = 0.03  # share of the time wanted by which the first in rank may be behind: about a short read
LATE = 0.5  # share of the time wanted: a read that waits it tries others, worthless requests are shed from it
EASED = 0.5  # least share of a wait that counts for shedding: beyond twice the limit all are turned away
SHED = 1.5  # how fast that share falls with worth: from a third of the highest worth on it is the least
CLEARLY_LESS = 0.6  # share of a wait or burden that the farther server must stay under
LONG_TOKENS = 2_000.0  # unkept tokens that would stall a mixed server's streams: a few of its steps
READ_START_TOKENS = 300.0  # tokens' worth of fixed cost in a read: a step and the way there and back
NEW = 0.6  # weight of a new sample of a delay or failure: a router of many sees few, each tells much
TRIED_MS = 1_000.0  # ms between tries of a failing server by all routers together: each costs a request
FADE_MS = 10_000.0  # ms after which evidence counts about a third: troubles last some times that
EARLY = 4  # first reads, of which the fastest tells the pace: the very first may have waited in a queue
SLOWEST = 4.0  # times the pace so far that one sample counts at most: a short read may stand behind long ones
ARRIVED_MS = 1_000.0  # ms over which arrivals are counted: a tenant's bucket holds about a second's
COLD_SENDS = 0.75  # of what pushes a cold server over, were the usual all that a warm one can do
COLD_WORK = 0.5  # of the reads that push a cold reader over: the rest is for busy routers, and for chance
COME_BACK = 0.25  # of the longest wait that a client follows: a jam often clears within a try's time
DONE_KEPT = 256  # times kept of work got done: a busy router gets that done while a server warms
DRAGS = 2.0  # times as long as usual that a writer's streams must last to count: answers' lengths vary much
SURE = 4.0  # usual streams that each writer is credited with: the first few say little
STREAMS_FADE = 0.9  # weight of the streams before with each one that ends: about ten count
STREAM_MS = 2_000.0  # ms that a stream is taken to last until some have ended: some 40 tokens at 50 ms
SILENT = 4.0  # times the usual delay that make a server silent, if over the share of the time wanted above
AVOIDED = 0.5  # doubt from which a server counts as avoided: it is then left out more often than not
BURST = 4.0  # requests of a tenant that may come together: its part at one of many routers is under one

LOST = (i.Status.CONNECT_FAILED, i.Status.RESET)  # with a note a kept connection broke: no server's fault
NEVER_RAN = (i.Status.READ, i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.MOOT)


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


class Policy:
    """One router's decisions: events in, actions out."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.now_ms, self.actions = 0.0, list[i.Action]()
        self.servers, self.jobs = dict[str, Server](), dict[str, Job]()
        self.readers, self.writers = list[Server](), list[Server]()  # those that are up and not left out
        self.out, self.recalled = set[str](), set[str]()  # by hand: left out; called back and not yet used
        self.silent = frozenset[str]()  # servers that no connection reaches just now
        self.rankings: dict[str, list[Server]] = {}
        self.peak = Counter[i.Role]()  # most servers listed at once
        self.leave: dict[str, float] = {}  # chance that a state leaves a place for want of writers
        self.homes: dict[int | None, tuple[Server, float, float]] = {}  # where, tokens kept, and when
        self.read_pace = 0.0  # ms per unread token at a reader that nobody else keeps busy
        self.done = {role: deque[float](maxlen=DONE_KEPT) for role in i.Role}  # times of work got done
        self.usual = {role: Fading() for role in i.Role}  # ms until servers of a role have read or written
        self.stream_ms: dict[int, float] = {}  # how long a class's streams usually last
        self.fetch_delays = defaultdict[tuple[int, bool], Fading](Fading)  # ms; from a cell, and out of it?
        self.tenant_room: dict[int, tuple[float, float]] = {}  # tokens left in the bucket, and when
        self.arrived = (0.0, 0.0)  # requests lately, fading over a window, and when that was counted
        self.handlers: dict[type, Any] = {
            i.Members: self._members, i.Request: self._arrive, i.Outcome: self._outcome,
            i.FirstToken: self._first_token, i.ClientGone: self._client_gone, i.Timer: self._timer,
            i.ByHand: self._by_hand, i.LastCall: self._last_call, i.Silent: self._fall_silent,
        }

    def handle(self, now_ms: float, event: i.Event) -> list[i.Action]:
        """Take one event; give the actions it calls for."""
        self.now_ms, self.actions = now_ms, []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def _arrive(self, request: i.Request) -> None:
        classes = self.settings.classes
        if request.class_index >= len(classes):
            return self.actions.append(i.Refuse(request.request))
        lately, at_ms = self.arrived
        self.arrived = (lately * exp((at_ms - self.now_ms) / ARRIVED_MS) + 1, self.now_ms)
        value = classes[request.class_index].worth / max(each.worth for each in classes)
        if self._over_share(request.tenant):
            value *= self.settings.over_share_worth
        shared = request.tenant < len(self.settings.tenants)
        scopes = [f"class {request.class_index}", *[f"tenant {request.tenant}"] * shared]
        job = Job(request, classes[request.class_index], value, self.now_ms + request.expires_in_ms, scopes)
        self.jobs[request.request] = job
        self._proceed(job)
        self._look(job)

    def _over_share(self, tenant: int) -> bool:
        """Whether a tenant asks for more than this router's part of its quota (a token bucket)."""
        if tenant >= len(self.settings.tenants) or self.settings.tenants[tenant].quota_per_s is None:
            return False
        share = self.settings.tenants[tenant]
        # While peers are down theirs comes here as well: a tenant then keeps its part of what comes.
        coming = self.arrived[0] * 1000 / ARRIVED_MS
        rate = max((share.quota_per_s or 0.0) / self.settings.routers, share.fraction * coming)
        room, at_ms = self.tenant_room.get(tenant, (max(rate, BURST), self.now_ms))
        room = min(max(rate, BURST), room + rate * (self.now_ms - at_ms) / 1000)
        self.tenant_room[tenant] = (room - 1 if room >= 1 else room, self.now_ms)
        return room < 1

    def _proceed(self, job: Job) -> None:
        """Take the next step of a request with no attempt out: read, write, or give up."""
        server = self._writer(job, job.state_at) if job.state_at else self._reader(job)
        if server is None or job.sent + (server.role == i.Role.READER) >= self.settings.max_attempts:
            self._give_up(job)  # a read needs one more attempt, for the writer
        else:
            self._send(job, server)

    def _reader(self, job: Job) -> Server | None:
        """The session's home, else the first in rank that is not behind; failing that the next calm one."""
        request = job.request
        aim_ms = job.kind.aim_ms + job.kind.aim_per_1000_tokens_ms * request.prompt_tokens / 1000
        order, home = self._ranking(request), self.homes.get(request.session, (None,))[0]
        if home is not None and home in order:
            order = [home, *(server for server in order if server is not home)]
        ready = self._usable(job, order)
        if not ready:
            return None
        waits, server = {server: self._read_ms(server, request) for server in ready}, ready[0]
        if server is not home and self._unread(request, order[0]) > LONG_TOKENS:
            order = [server for server in order if server.role == i.Role.READER] or order
            server = next((server for server in ready if server in order), server)
        if server is not home:  # to agree by hash keeps text together
            few = [each for each in order[:SPREAD] if each in waits] or [server]
            server = min(few, key=lambda s: waits[s] + (s is not few[0]) * BEHIND * aim_ms)
        if waits[server] > LATE * aim_ms:
            calm = [each for each in ready if waits[each] < CLEARLY_LESS * waits[server]]
            server = next((each for each in calm if each in order), calm[0] if calm else server)
        limit_ms = min(request.expires_in_ms, aim_ms * (LATE + (1 - LATE) * job.value))
        if job.sent or waits[server] <= limit_ms or len(self.done[server.role]) < EARLY:
            return server  # while little is known, to turn away would keep it so
        # Shed in proportion: were all turned away at once, nothing would tell when the wait is over.
        share = self.rng.uniform(max(EASED, 1 - SHED * job.value), 1)
        return server if waits[server] * share <= limit_ms else None

    def _ranking(self, request: i.Request) -> list[Server]:
        """Readers and mixed servers, highest random weight for the beginning, else the session, first."""
        key = f"p{request.prefix}" if request.prefix else f"s{request.session}"
        if key not in self.rankings:
            self.rankings[key] = sorted(self.readers, key=lambda server: draw(key, server), reverse=True)
        return self.rankings[key]

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

    def _writer(self, job: Job, reader: Server) -> Server | None:
        """Late power of two choices: one of the reader's cell, one of its zone, if much lighter."""
        ready = self._usable(job, self.writers)
        cell, zone = reader.entry.cell, reader.entry.zone
        near = [server for server in ready if server.entry.cell == cell]
        rest = [server for server in ready if server.entry.cell != cell]
        far = [server for server in rest if server.entry.zone == zone]
        chance = self.rng.random()
        out_of_zone = chance < self.leave.get(f"zone {zone}", 0.0)
        far = rest if out_of_zone or not far else far
        waits = {s: EVEN * job.kind.aim_ms + s.delay.now(self.now_ms) for s in ready}
        for server in rest:
            waits[server] += self._farther(cell)
        for server in ready:
            waits[server] *= max(1.0, self._drag(server) / DRAGS) ** 2
        drawn = [self.rng.choices(s, [self.warmth(w) / waits[w] for w in s])[0] for s in (near, far) if s]
        if len(drawn) < 2:
            return drawn[0] if drawn else None
        first, second = drawn
        if out_of_zone or chance < self.leave.get(f"cell {cell}", 0.0):
            first, second = second, first
        burdens = [(self._tokens(job) + s.tokens) * waits[s] for s in (first, second)]
        return second if burdens[1] < CLEARLY_LESS * burdens[0] else first

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

    def _usable(self, job: Job, servers: list[Server]) -> list[Server]:
        """Those it may be sent to, without those that chance leaves out by their blame, unless all are."""
        allowed = [s for s in servers if self._repeatable(job, s) and self._cold_room(job, s)]
        fresh = [s for s in allowed if s not in job.avoid] or allowed
        fresh = [s for s in fresh if s.entry.server not in self.silent] or fresh
        if job.kind.effect == i.Effect.SAFE:  # who was called back is next, once: else chance may pass it by
            fresh = [s for s in fresh if s.entry.server in self.recalled] or fresh
        return [s for s in fresh if not s.blame or self.rng.random() >= self._doubt(job, s)] or fresh

    def _doubt(self, job: Job, server: Server) -> float:
        """How likely it fails this request: what failed there is the server, or its class and its tenant."""
        marks = [server.blame[scope].now(self.now_ms) for scope in job.scopes]
        once = job.state_at is not None and job.kind.effect == i.Effect.UNSAFE  # it gets no second try
        if once and server.blame.get("error", Fading()).now(self.now_ms) > NEW / 2:
            return 1.0  # one that is well answers hundreds before it fails one: a single error tells
        return max(server.blame["all"].now(self.now_ms), min(marks))

    def _repeatable(self, job: Job, server: Server) -> bool:
        """No effect twice: what may have run goes again only where the repeat is dropped."""
        if job.kind.effect == i.Effect.SAFE or not job.may_have_run:
            return True
        entry, group = server.entry, job.kind.group
        return job.kind.effect == i.Effect.KEYED and all(
            self.now_ms < sent_ms + job.kind.window_ms
            and (group != i.Group.ZONE or ran.entry.zone == entry.zone)
            and (group != i.Group.CELL or ran.entry.cell == entry.cell)
            for ran, sent_ms in job.may_have_run
        )

    def _cold_room(self, job: Job, server: Server) -> bool:
        """Slow start: room in what would push a fresh server over, by what a warm one here is known to do."""
        warmth = self.warmth(server)
        if warmth == 1.0:
            return True
        window_ms, done = self.settings.overload_for_ms, self.done[server.role]
        span_ms = max(window_ms, self.settings.warm_after_ms, self.now_ms - done[0] if done else 0.0)
        usual = len(done) * window_ms / span_ms / self.peak[server.role]
        least = self.settings.fall_multiple * self.settings.cold_share / self.settings.routers
        if server.role == i.Role.READER and self.read_pace:
            read_ms = self.read_pace * (job.request.prompt_tokens + READ_START_TOKENS)
            least *= max(1.0, COLD_WORK * window_ms / read_ms)
        rate = max(COLD_SENDS * self.settings.fall_multiple * warmth * usual, least)
        gained = rate * (self.now_ms - server.credit_ms) / max(1.0, window_ms)
        server.credit, server.credit_ms = min(max(1.0, rate), server.credit + gained), self.now_ms
        return server.credit >= 1.0

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

    def _send(self, job: Job, server: Server) -> None:
        self.recalled.discard(server.entry.server)
        tokens = self._unread(job.request, server) if job.state_at is None else self._tokens(job)
        job.ahead = server.tokens + tokens + READ_START_TOKENS if server.role == i.Role.READER else 0.0
        job.at, job.sent_ms, job.tokens = server, self.now_ms, tokens
        job.sent += 1
        server.out.append(job)
        server.credit, server.tokens = server.credit - 1.0, server.tokens + tokens
        patience_ms = None if self.settings.may_cancel else self._patience(job, server)
        self.actions.append(i.Send(job.request.request, server.entry.server, patience_ms))

    def _patience(self, job: Job, server: Server) -> float:
        """How long a server may give no sign of life while a request waits: a slow fleet earns more."""
        usual_ms = self.usual[server.role].now(self.now_ms)
        return max(SILENT * (usual_ms + job.ahead * self.read_pace), LATE * job.kind.aim_ms)

    def _look(self, job: Job) -> None:
        """Give up a request in time; suspect a server with no sign of life since its attempt was sent."""
        if job.ended or job.started:
            return
        end_ms = next_ms = job.deadline_ms - self.settings.tick_ms
        if self.now_ms >= end_ms:
            return self._give_up(job)
        if job.at is not None:
            next_ms = job.sent_ms + self._patience(job, job.at)
            if self.now_ms >= next_ms:
                self._note(job, job.at, 1.0)
                next_ms = end_ms
                reads = job.at.role == i.Role.READER
                again = reads or job.kind.effect != i.Effect.UNSAFE  # else a cancel could only fail it
                if again and job.sent + reads < self.settings.max_attempts:
                    self._cancel(job)
        self.actions.append(i.SetTimer(min(end_ms, next_ms), f"look:{job.request.request}"))

    def _outcome(self, outcome: i.Outcome) -> None:
        job = self.jobs.get(outcome.request)
        if job is None or job.at is None or outcome.attempt != job.sent - 1:
            return
        server, job.at = job.at, None
        server.out.remove(job)
        server.tokens -= job.tokens
        self._learn(job, server, outcome)
        if outcome.status == i.Status.READ:
            job.state_at = server
            self._bind(job, server)
        elif outcome.status == i.Status.FULL and outcome.note == 1:
            job.state_at = None
        if outcome.status not in NEVER_RAN and server.role != i.Role.READER:
            job.may_have_run.append((server, job.sent_ms))
        if outcome.status != i.Status.READ and not (outcome.status in LOST and outcome.note):
            job.avoid.append(server)
        job.ended = job.ended or outcome.over
        (self._forget if job.ended else self._proceed)(job)

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
        self.usual[server.role].add(self.now_ms, delay_ms)
        server.delay.add(self.now_ms, delay_ms)
        server.blame.pop("all", None)
        self._note(job, server, 0.0)

    def _note(self, job: Job, server: Server, failed: float) -> None:
        """Keep evidence by what failed: other classes' and tenants' answers don't clear it."""
        for scope in job.scopes:
            if failed or scope in server.blame:
                server.blame[scope].add(self.now_ms, failed)

    def _cancel(self, job: Job) -> None:
        if job.at is not None and not job.started and self.settings.may_cancel:
            self.actions.append(i.Cancel(job.request.request, job.sent - 1))

    def _bind(self, job: Job, server: Server) -> None:
        """Evidence binds a session and refreshes it: a silent server can't keep what it never answered."""
        if job.request.prefix:
            server.prefixes[job.request.prefix] = self.now_ms
        if job.request.session is not None:
            self.homes[job.request.session] = (server, job.request.prompt_tokens, self.now_ms)

    def _first_token(self, event: i.FirstToken) -> None:
        job = self.jobs.get(event.request)
        if job is None or job.at is None or event.attempt != job.sent - 1:
            return
        far_ms = 0.0
        if job.state_at is not None:
            cell, away = job.state_at.entry.cell, job.at.entry.cell != job.state_at.entry.cell
            far_ms = self._farther(cell) if away else 0.0
            self.fetch_delays[cell, away].add(self.now_ms, event.latency_ms)
        job.started, job.started_ms, job.state_at = True, self.now_ms, None
        self._got_done(job, job.at, max(0.0, event.latency_ms - far_ms))
        if job.at.role == i.Role.MIXED:
            self._bind(job, job.at)

    def _give_up(self, job: Job) -> None:
        """Answer at once: refuse where a repeat is harmless, else fail; let go of what is held."""
        ran = bool(job.may_have_run) or job.at is not None  # one still out proves nothing, a read neither
        effect, group = job.kind.effect, job.kind.group
        if not ran or effect == i.Effect.SAFE or (effect == i.Effect.KEYED and group == i.Group.ALL):
            come_back_ms = COME_BACK * self.settings.max_retry_after_ms if self.settings.retry_after else None
            self.actions.append(i.Refuse(job.request.request, come_back_ms))
        else:
            self.actions.append(i.Fail(job.request.request))
        self._end(job)

    def _end(self, job: Job) -> None:
        job.ended = True
        self._cancel(job)
        self._forget(job)

    def _forget(self, job: Job) -> None:
        """Nothing is left pinned: with no attempt out, drop an ended request and release its state."""
        if job.at is None:
            if job.state_at is not None:
                self.actions.append(i.Release(job.request.request))
            del self.jobs[job.request.request]

    def _last_call(self, _: i.LastCall) -> None:
        """Give up all that has not begun while there is time to say so and to let go of what is held."""
        for job in [job for job in self.jobs.values() if not (job.started or job.ended)]:
            self._give_up(job)

    def _client_gone(self, event: i.ClientGone) -> None:
        if event.request in self.jobs:
            self._end(self.jobs[event.request])

    def _timer(self, timer: i.Timer) -> None:
        what, _, name = timer.token.partition(":")
        if what == "look" and name in self.jobs:
            self._look(self.jobs[name])
        elif what == "members":
            self.actions.append(i.Subscribe())
        elif what == "reap":
            idle_ms = self.now_ms - HOME_TTL_MS
            self._level()  # what is cold has warmed a little
            self.homes = {key: home for key, home in self.homes.items() if home[2] >= idle_ms}
            for server in self.servers.values():
                server.prefixes = {key: at_ms for key, at_ms in server.prefixes.items() if at_ms >= idle_ms}
            self.actions.append(i.SetTimer(self.now_ms + REAP_MS, "reap"))

    def _members(self, members: i.Members) -> None:
        if members.form == i.ListForm.KEPT:  # comes once, at the start
            self._timer(i.Timer("reap"))
            if self.settings.membership == i.Membership.ASK:
                self.actions.append(i.Subscribe())
        if members.form == i.ListForm.FAILED:  # ask again, spread out and well before the list counts as old
            wait_ms = self.settings.ask_every_ms * self.rng.uniform(0.1, 0.2)
            return self.actions.append(i.SetTimer(self.now_ms + wait_ms, "members"))
        gone = [each.server for each in members.entries if each.availability == i.Availability.GONE]
        if members.form != i.ListForm.CHANGES:  # a whole list: who isn't named is gone
            gone += sorted(self.servers.keys() - {entry.server for entry in members.entries})
        for name in gone:
            if name in self.servers:  # what waits there is taken back; the outcomes bring the requests on
                for job in self.servers.pop(name).out:
                    self._cancel(job)
        for entry in members.entries:
            if entry.availability == i.Availability.GONE or entry.kind >= len(self.settings.kinds):
                continue
            server = self.servers.get(entry.server)
            if server is None or server.entry.started_ms != entry.started_ms:  # cold, with nothing kept
                server = self._fresh(entry, self.rng.random(), entry.started_ms)
            server.entry = entry
        self._level()

    def _fresh(self, entry: i.ServerEntry, credit: float, cold_ms: float) -> Server:
        """A server of which nothing is known yet."""
        role, name = self.settings.kinds[entry.kind].role, entry.server
        server = Server(entry, role, credit=credit, credit_ms=self.now_ms, cold_ms=cold_ms)
        fade_ms = max(FADE_MS, TRIED_MS * self.settings.routers)
        server.blame = defaultdict(lambda: Fading(fade_ms=fade_ms))
        self.servers[name] = server
        return server

    def _fall_silent(self, event: i.Silent) -> None:
        self.silent = event.servers

    def _by_hand(self, event: i.ByHand) -> None:
        """Whom operators leave out gets nothing, whatever the list says; called back, it is cold and new."""
        if event.out:
            self.out.add(event.server)
        elif event.server in self.out:
            self.out.discard(event.server)
            self.recalled.add(event.server)
            if event.server in self.servers:
                self._fresh(self.servers[event.server].entry, 1.0, self.now_ms)
        self._level()

    def _level(self) -> None:
        """What follows from the list: rankings, and how far each cell's writers fall short of its reads."""
        up = [s for s in self.servers.values() if self.availability(s) == i.Availability.UP]
        self.rankings.clear()
        self.writers = [s for s in up if s.role != i.Role.READER]
        self.readers = [s for s in up if s.role != i.Role.WRITER] or self.writers * self.settings.writers_read
        self.peak |= Counter(server.role for server in self.servers.values())  # the larger of both
        cells = {server.entry.cell for server in self.servers.values()}
        self.fetch_delays = defaultdict(Fading, {k: v for k, v in self.fetch_delays.items() if k[0] in cells})
        reads, writes = defaultdict[str, float](float), defaultdict[str, float](float)
        for server in up:
            for place in ("all", f"cell {server.entry.cell}", f"zone {server.entry.zone}"):
                reads[place] += self.warmth(server) * (server.role != i.Role.WRITER)
                writes[place] += self.warmth(server) * (server.role != i.Role.READER)
        need = writes["all"] / max(1.0, reads["all"])
        self.leave = {place: 1 - writes[place] / (need * n) for place, n in reads.items() if need * n}


def draw(key: str, server: Server) -> float:
    """The random weight of a server for a key, over 0 and at most 1: the same on every router."""
    digest = blake2b(f"{key}|{server.entry.server}".encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 1) / 256**6
