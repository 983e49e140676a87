"""Every decision, read as the life of a request; its types are in ``crowstand/interface.py``."""

from __future__ import annotations

from math import exp
from typing import Any

from crowstand import interface as i
from crowstand.evidence import LOST, READ_START_TOKENS, Job, Server
from crowstand.listing import Listing
from crowstand.readers import LATE, Readers
from crowstand.shares import ARRIVED_MS, Shares
from crowstand.writers import Writers

# Tuned values: unit, and why.
COME_BACK = 0.25  # of the longest wait that a client follows: a jam often clears within a try's time
SILENT = 4.0  # times the usual delay that make a server silent, if over the share of the time wanted above
AVOIDED = 0.5  # doubt from which a server counts as avoided: it is then left out more often than not

NEVER_RAN = (i.Status.READ, i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.MOOT)


class Policy(Readers, Writers, Listing, Shares):
    """One router's decisions: events in, actions out."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers: dict[type, Any] = {
            i.Members: self._members, i.Request: self._arrive, i.Outcome: self._outcome,
            i.FirstToken: self._first_token, i.ClientGone: self._client_gone, i.Timer: self._timer,
            i.ByHand: self._by_hand, i.LastCall: self._last_call, i.Silent: self._fall_silent,
            i.Roles: self._take_roles,
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

    def _proceed(self, job: Job) -> None:
        """Take the next step of a request with no attempt out: read, write, or give up."""
        server = self._writer(job, job.state_at) if job.state_at else self._reader(job)
        if server is None or job.sent + (server.role == i.Role.READER) >= self.settings.max_attempts:
            self._give_up(job)  # a read needs one more attempt, for the writer
        else:
            self._send(job, server)

    def _send(self, job: Job, server: Server) -> None:
        self.recalled.discard(server.entry.server)
        tokens = self._unread(job.request, server) if job.state_at is None else self._tokens(job)
        job.ahead = server.tokens + tokens + READ_START_TOKENS if server.role == i.Role.READER else 0.0
        job.at, job.sent_ms, job.tokens = server, self.now_ms, tokens
        job.sent += 1
        server.out.append(job)
        server.credit, server.tokens = server.credit - self._work_share(job, server), server.tokens + tokens
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
            self._reap()
