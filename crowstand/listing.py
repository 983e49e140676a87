"""What the list of servers and the operators say; the types are in ``crowstand/interface.py``."""

from __future__ import annotations

from collections import Counter, defaultdict

from crowstand import interface as i
from crowstand.evidence import FADE_MS, Evidence, Fading, Job, Server

# Tuned values: unit, and why.
REAP_MS = 1_000.0  # ms between looks at what is old, and at how warm servers are
HOME_TTL_MS = 60_000.0  # ms a session stays bound after its last read: the design's default
TRIED_MS = 1_000.0  # ms between tries of a failing server by all routers together: each costs a request


class Listing(Evidence):
    """Who is listed, up and warm, and how far each place's writers fall short of its reads."""

    def _members(self, members: i.Members) -> None:
        if members.form == i.ListForm.KEPT:  # comes once, at the start
            self._reap()
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

    def _reap(self) -> None:
        """Let go of what is old, and look again in a while."""
        idle_ms = self.now_ms - HOME_TTL_MS
        self._level()  # what is cold has warmed a little
        self.homes = {key: home for key, home in self.homes.items() if home[2] >= idle_ms}
        for server in self.servers.values():
            server.prefixes = {key: at_ms for key, at_ms in server.prefixes.items() if at_ms >= idle_ms}
        self.actions.append(i.SetTimer(self.now_ms + REAP_MS, "reap"))

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

    def _take_roles(self, event: i.Roles) -> None:
        """What is under way goes on: a server that does both can end whatever it was sent."""
        self.roles = event
        self._level()

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
        writers = [s for s in up if s.role != i.Role.READER]
        readers = [s for s in up if s.role != i.Role.WRITER] or writers * self.settings.writers_read
        # By plan each does one; were a role left to nobody, any that can would be better than none.
        self.writers = [s for s in writers if not self._shut(s, i.Role.READER)] or writers
        self.readers = [s for s in readers if not self._shut(s, i.Role.WRITER)] or readers
        self.peak |= Counter(server.role for server in self.servers.values())  # the larger of both
        cells = {server.entry.cell for server in self.servers.values()}
        self.fetch_delays = defaultdict(Fading, {k: v for k, v in self.fetch_delays.items() if k[0] in cells})
        reads, writes = defaultdict[str, float](float), defaultdict[str, float](float)
        for server in up:
            for place in ("all", f"cell {server.entry.cell}", f"zone {server.entry.zone}"):
                reads[place] += self.warmth(server) * (not self._shut(server, i.Role.WRITER))
                writes[place] += self.warmth(server) * (not self._shut(server, i.Role.READER))
        need = writes["all"] / max(1.0, reads["all"])
        self.leave = {place: 1 - writes[place] / (need * n) for place, n in reads.items() if need * n}

    def _shut(self, server: Server, other: i.Role) -> bool:
        """Whether all that is new to it is of the other role, by its kind or by plan."""
        names = self.roles.no_reads if other == i.Role.WRITER else self.roles.no_writes
        return server.role == other or (server.role == i.Role.MIXED and server.entry.server in names)

    def _cancel(self, job: Job) -> None:
        if job.at is not None and not job.started and self.settings.may_cancel:
            self.actions.append(i.Cancel(job.request.request, job.sent - 1))
