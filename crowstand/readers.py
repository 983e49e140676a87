"""The choice of a reader, or to shed; the types are in ``crowstand/interface.py``."""

from __future__ import annotations

from hashlib import blake2b
from math import inf

from crowstand import interface as i
from crowstand.evidence import EARLY, READ_START_TOKENS, Job, Server
from crowstand.jam import WAITED, Jam
from crowstand.usable import Usable

# Tuned values: unit, and why.
SPREAD = 2  # readers of a beginning's ranking that may read it: one falls behind, many keep it twice
BEHIND = 0.03  # share of the time wanted by which the first in rank may be behind: about a short read
LATE = 0.5  # share of the time wanted: a read that waits it tries others, worthless requests are shed from it
EASED = 0.5  # least share of a wait that counts for shedding: beyond twice the limit all are turned away
SHED = 1.5  # how fast that share falls with worth: from a third of the highest worth on it is the least
CLEARLY_LESS = 0.6  # share of a wait or burden that the farther server must stay under
SHORT = 0.9  # share of all writers' memory from which the worthless are turned away; the worthiest: from 1
LONG_TOKENS = 2_000.0  # unkept tokens that would stall a mixed server's streams: a few of its steps


class Readers(Usable):
    """The session's home, the shared hash, and who is turned away before a read."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.jam = Jam()

    def _learn(self, job: Job, server: Server, outcome: i.Outcome) -> None:
        super()._learn(job, server, outcome)
        if server.role == i.Role.READER and outcome.status in (i.Status.READ, i.Status.CANCELLED):
            aim_ms = job.kind.aim_ms
            wait = (outcome.latency_ms - job.ahead * self.read_pace) / aim_ms
            told = outcome.status == i.Status.READ or wait > WAITED  # given up at once it tells nothing
            if told and self.jam.waited(self.now_ms, wait, job.sent_ms):
                warm = sum(self.warmth(each) for each in self.readers if each.role == i.Role.READER)
                least = warm * WAITED * aim_ms / max(self.read_pace, 1e-3) / self.settings.routers
                self.jam.cut(self.now_ms, job.tokens + READ_START_TOKENS + self._reads_out(), least)

    def _reads_out(self) -> float:
        """Unread tokens of this router at all readers."""
        return sum(s.tokens + READ_START_TOKENS * len(s.out) for s in self.readers if s.role == i.Role.READER)

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
        if not job.sent and self._fleet_filled(job) > SHORT + (1 - SHORT) * job.value:
            return None  # read now, its state would wait for memory, or push a newer answer out
        if self.jam.most < inf and not job.sent:
            need = self._unread(request, server) + READ_START_TOKENS
            if not self.jam.room(self._reads_out(), need, job.value, self.rng.random()):
                return None
        # All stand in one queue: a wait that only the patient class can bear makes every other one late.
        urgent_ms = aim_ms * min(kind.aim_ms for kind in self.settings.classes) / job.kind.aim_ms
        limit_ms = min(request.expires_in_ms, urgent_ms * (LATE + (1 - LATE) * job.value))
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


def draw(key: str, server: Server) -> float:
    """The random weight of a server for a key, over 0 and at most 1: the same on every router."""
    digest = blake2b(f"{key}|{server.entry.server}".encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 1) / 256**6
