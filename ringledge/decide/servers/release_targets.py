"""Selects the server that a release calls next, without a look at the whole endpoint list; free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from itertools import islice

from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.release_state import ActiveRelease

# Servers that a selection looks at, of those reached last and of any. Most can be called.
MAX_VISITED_SERVERS = 128


class ReleaseTargets:
    """Selects servers for the releases of one router."""

    def __init__(
        self,
        reachability: Reachability,
        servers: Callable[[], Mapping[str, bool]],
        calls_by_server: Counter[str],
    ) -> None:
        """`servers`: as for `ReleaseScheduler`; `calls_by_server`: the calls in flight, kept by its owner."""
        self._reachability = reachability
        self._servers = servers
        self._calls_by_server = calls_by_server

    def select(self, now_ms: float, release: ActiveRelease, target_holders: Sequence[str]) -> str | None:
        """A reachable holder, else the most recently reached other server; unreachable ones come last."""
        listed = self._servers()
        holders = [each for each in target_holders if each in listed and self._is_free(release, each)]
        for server in holders:
            if not self._reachability.is_likely_unreachable(server, now_ms):
                return server
        others = list(dict.fromkeys(self._others(listed)))
        others = [server for server in others if self._may_stand_in(release, server, listed)]
        for server in others:
            if not self._reachability.is_likely_unreachable(server, now_ms):
                return server
        return self._reachability.most_recently_reached(holders or others)

    def _others(self, listed: Mapping[str, bool]) -> Iterator[str]:
        """Some listed servers: those reached last, then any of the own zone, then any; some occur twice."""
        yield from islice(self._reachability.latest_reached(), MAX_VISITED_SERVERS)
        unordered = list(islice(listed, MAX_VISITED_SERVERS))
        yield from (server for server in unordered if self._reachability.is_in_own_zone(server))
        yield from unordered

    def _is_free(self, release: ActiveRelease, server: str) -> bool:
        """Whether a server has not been called in this round and has no call in flight."""
        return server not in release.called and server not in self._calls_by_server

    def _may_stand_in(self, release: ActiveRelease, server: str, listed: Mapping[str, bool]) -> bool:
        """Whether a server may be called on behalf of the holders."""
        return listed.get(server, False) and server not in release.holders and self._is_free(release, server)
