"""Where and when what servers hold for an ended request is let go; free of I/O and clocks.

The protocol lets any server that runs be told: all that is held for the request anywhere is let go, also the
state of a read that is still under way. So a release is asked for only once no attempt will follow: at the
holder where it can be heard, and elsewhere at once where it can't. What a read leaves that ended unseen at a
server cut off may come to be after that; such a release is said again until its holder is heard.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf

from ringledge.decide.servers.reachability import Reachability

HEDGE = 0.2  # of the time left after which another is asked too: five fit, and more as it runs out
LEAST_MS = 30.0  # between two asked: some ways there and back, and a handshake
AGAIN_MS = 350.0  # between two rounds while the holder isn't heard: what it leaves may stay 500 ms
WATCH_MS = 8_000.0  # as long as that is done: links that were cut for longer have not been seen
FOR_MS = 20_000.0  # while nobody hears it: by then the server has let go by itself, or is gone


@dataclass(slots=True, frozen=True)
class Ask:
    """Tell a server to let go of all that is held for a request."""

    request: str
    server: str


@dataclass(slots=True, frozen=True)
class Ended:
    """How a release ended: done (heard), gone (no server is listed) or lost (nobody heard it)."""

    request: str
    how: str
    asked: int  # servers asked until it was heard
    took_ms: float  # until it was heard first; until it was given up where it never was
    where: str  # the server that heard it
    holder: bool  # that server was a holder


@dataclass(slots=True)
class Release:
    """One request's release under way."""

    request: str
    holders: tuple[str, ...]
    unseen: frozenset[str]  # holders at which a read may have ended unseen
    since_ms: float
    until_ms: float  # by when it should be heard
    next_ms: float = 0.0  # when the next server is asked
    tried: set[str] = field(default_factory=set)  # in this round
    asked: int = 0
    told: Ended | None = None  # how it was heard first


class Releases:
    """All releases of one conductor; at most one call is out to a server, so they share a connection."""

    def __init__(
        self, let_go_ms: float, reach: Reachability, servers: Callable[[], Mapping[str, bool]]
    ) -> None:
        """`let_go_ms`: how long a state may be held; `servers`: all listed; may they be asked?."""
        self._let_go_ms, self._reach, self._servers = let_go_ms, reach, servers
        self._open: dict[str, Release] = {}
        self._due: list[tuple[float, int, Release]] = []  # a heap; one whose time was changed is skipped
        self._numbers = count()
        self._busy = Counter[str]()  # calls out, by server
        self._calls = Counter[str]()  # and by request
        self._ended: list[Ended] = []

    def __len__(self) -> int:
        """How many are under way."""
        return len(self._open)

    def unheard(self) -> int:
        """How many no server has heard yet: an end of the process would leave a state pinned."""
        return sum(release.told is None for release in self._open.values())

    def add(
        self,
        now_ms: float,
        request: str,
        known: set[str],
        unseen: Mapping[str, float],
        begun: bool = False,
    ) -> None:
        """No attempt of the request is out any more.

        `known` hold its state for certain; at the `unseen` a read was given up at the time told. If an answer
        has `begun` all was let go with it, save at servers that have said nothing since.
        """
        holders = (*sorted(known), *sorted(unseen.keys() - known))
        silent = {server for server, at_ms in unseen.items() if self._reach.answered_ms(server) <= at_ms}
        if begun and not silent:
            return
        until_ms = now_ms + self._let_go_ms
        release = Release(request, holders, frozenset(silent), now_ms, until_ms)
        self._open[request] = release
        self._plan(release, now_ms)

    def answered(self, now_ms: float, ask: Ask) -> None:
        """A server has heard the release."""
        self._back(ask)
        release = self._open.get(ask.request)
        if release is None:
            return
        if release.told is None:
            took_ms, holder = now_ms - release.since_ms, ask.server in release.holders
            release.told = Ended(ask.request, "done", release.asked, took_ms, ask.server, holder)
        release.tried.clear()
        if not self._settle(now_ms, release):
            release.until_ms = now_ms + AGAIN_MS + self._let_go_ms
            self._plan(release, now_ms + AGAIN_MS)

    def unanswered(self, now_ms: float, ask: Ask) -> None:
        """A server could not be told, or has not answered: the next one is asked at once."""
        self._back(ask)
        release = self._open.get(ask.request)
        if release is not None and release.told is None:
            self._plan(release, now_ms)

    def quiet(self, request: str) -> bool:
        """Whether nothing more of a release is under way: no call of it can reach a server any more."""
        return request not in self._open and not self._calls[request]

    def step(self, now_ms: float) -> list[Ask]:
        """Whom to ask now; those that have waited longest come first."""
        asks = []
        while self.wake_ms() <= now_ms:
            _, _, release = heappop(self._due)
            if self._settle(now_ms, release):
                continue
            server = self._where(now_ms, release)
            if server is None:  # in this round those that are free have been asked
                release.tried.clear()
                self._plan(release, now_ms + LEAST_MS)
                continue
            release.asked += 1
            release.tried.add(server)
            self._busy[server] += 1
            self._calls[release.request] += 1
            self._plan(release, now_ms + max(LEAST_MS, HEDGE * (release.until_ms - now_ms)))
            asks.append(Ask(release.request, server))
        return asks

    def wake_ms(self) -> float:
        """When to step next, unless a call ends before; inf where that is sure to."""
        while self._due and not self._stands(*self._due[0]):
            heappop(self._due)
        listed = self._servers()
        if not self._due or (listed and self._busy.keys() >= listed.keys()):
            return inf  # all are busy: each call ends in time
        return self._due[0][0]

    def ended(self) -> list[Ended]:
        """Those that ended since this was asked last."""
        ended, self._ended = self._ended, []
        return ended

    def _plan(self, release: Release, at_ms: float) -> None:
        release.next_ms = at_ms
        heappush(self._due, (at_ms, next(self._numbers), release))

    def _stands(self, at_ms: float, _: int, release: Release) -> bool:
        return release.next_ms == at_ms and self._open.get(release.request) is release

    def _back(self, ask: Ask) -> None:
        for calls, name in ((self._busy, ask.server), (self._calls, ask.request)):
            calls[name] -= 1
            if not calls[name]:
                del calls[name]

    def _settle(self, now_ms: float, release: Release) -> bool:
        """End a release where nothing is left to be done for it."""
        listed = self._servers()
        told = release.told
        if told is not None:
            if self._unheard(release, listed) and now_ms - release.since_ms < WATCH_MS:
                return False
        elif not listed:
            told = Ended(release.request, "gone", release.asked, now_ms - release.since_ms, "", False)
        elif now_ms - release.since_ms >= FOR_MS:
            told = Ended(release.request, "lost", release.asked, now_ms - release.since_ms, "", False)
        else:
            return False
        self._ended.append(told)
        del self._open[release.request]
        return True

    def _unheard(self, release: Release, listed: Mapping[str, bool]) -> list[str]:
        """Holders at which a read may have ended unseen, and that have said nothing since."""
        answered_ms = self._reach.answered_ms
        return [
            s
            for s in release.holders
            if s in release.unseen and s in listed and answered_ms(s) <= release.since_ms
        ]

    def _where(self, now_ms: float, release: Release) -> str | None:
        """The holder if it can be heard, else who answered last; a server that may be silent comes last."""
        listed = self._servers()
        free = [s for s in listed if s not in release.tried and not self._busy[s]]
        wanted = release.holders if release.told is None else self._unheard(release, listed)
        holders = [s for s in wanted if s in free]
        sure = next((s for s in holders if not self._reach.doubtful(s, now_ms)), None)
        if sure is not None:
            return sure
        others = [s for s in free if listed[s] and s not in release.holders]
        reachable = [s for s in others if not self._reach.doubtful(s, now_ms)]
        return self._reach.surest(reachable) or self._reach.surest(holders or others)
