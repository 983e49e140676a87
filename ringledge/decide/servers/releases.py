"""Schedules the release calls for the KV cache entries of requests; free of I/O and clocks.

Any running server accepts a release call. It then releases the request's entries on all servers, including
the result of a prefill that is still running, so a release starts only when no further attempt will follow.
The call goes to a holder of an entry if one is reachable, otherwise immediately to another server. A prefill
that was abandoned at an unreachable server may finish later and create an entry again; such a release is
repeated until that server answers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from heapq import heappop, heappush
from itertools import count
from math import inf

from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.release_state import (
    ActiveRelease,
    ReleaseCall,
    ReleaseOutcome,
    ReleaseResult,
)
from ringledge.decide.servers.release_targets import ReleaseTargets

# A hedged call goes to another server after this fraction of the time remaining until the deadline, so that
# five calls fit into it, and more as the deadline approaches.
HEDGE_FRACTION = 0.2
# Minimum time between two calls of a release: a few round trips and a handshake.
MIN_CALL_INTERVAL_MS = 30.0
# Time between two rounds of calls while a holder doesn't answer; an entry may be held for 500 ms. In a round
# each server is called at most once.
RETRY_INTERVAL_MS = 350.0
# Time after which rounds are not repeated; most network partitions are over by then.
RETRY_WINDOW_MS = 8_000.0
# Time allowed for the answer, out of the 350 ms that an entry may be held beyond the hold limit.
ANSWER_SLACK_MS = 250.0
# Time without any answer after which a release ends; by then a holder has released by itself, or is down.
RELEASE_TIMEOUT_MS = 20_000.0


class ReleaseScheduler:
    """Schedules all releases of one router process.

    Invariant: at most one call per server is in flight, so that all releases share one connection to it.
    """

    def __init__(
        self, hold_limit_ms: float, reachability: Reachability, servers: Callable[[], Mapping[str, bool]]
    ) -> None:
        """`hold_limit_ms`: how long a KV cache entry may be held after its request's last attempt.

        `servers`: returns all listed servers, each with whether it may be called on behalf of other servers.
        """
        self._hold_limit_ms = hold_limit_ms
        self._reachability = reachability
        self._servers = servers
        self._active: dict[str, ActiveRelease] = {}
        # A heap of due times. Rescheduling adds an item; the outdated one is skipped.
        self._queue: list[tuple[float, int, ActiveRelease]] = []
        self._sequence = count()
        self._calls_by_server = Counter[str]()  # in flight
        self._calls_by_request = Counter[str]()  # in flight
        self._targets = ReleaseTargets(reachability, servers, self._calls_by_server)
        self._results: list[ReleaseResult] = []

    def __len__(self) -> int:
        """The number of releases in progress."""
        return len(self._active)

    def unanswered_releases(self) -> int:
        """The number of releases without an answer; their entries would remain held if the process exited."""
        return sum(release.result is None for release in self._active.values())

    def add(
        self,
        now_ms: float,
        request: str,
        holders: set[str],
        abandoned: Mapping[str, float],
        stream_began: bool = False,
        idle_since_ms: float = inf,
    ) -> None:
        """Start a release; call it while no attempt of the request is in flight.

        `holders`: servers known to hold an entry. `abandoned`: servers that may hold an entry because an
        attempt was abandoned there, each with the time of that. `stream_began`: whether a decode server began
        to stream, which released all entries except on `abandoned` servers that have not answered since;
        without such servers no release is started. `idle_since_ms`: since when the entries may have been
        held; if that is long ago, the deadline is earlier.
        """
        all_holders = (*sorted(holders), *sorted(abandoned.keys() - holders))
        unconfirmed = {
            server
            for server, abandoned_ms in abandoned.items()
            if self._reachability.last_answer_ms(server) <= abandoned_ms
        }
        if stream_began and not unconfirmed:
            return
        deadline_ms = min(now_ms, idle_since_ms + ANSWER_SLACK_MS) + self._hold_limit_ms
        release = ActiveRelease(request, all_holders, frozenset(unconfirmed), now_ms, deadline_ms)
        self._active[request] = release
        self._schedule(release, now_ms)

    def call_answered(self, now_ms: float, call: ReleaseCall) -> None:
        """Record that a server has answered a call."""
        self._call_ended(call)
        release = self._active.get(call.request)
        if release is None:
            return
        if release.result is None:
            release.result = ReleaseResult(
                call.request,
                ReleaseOutcome.DONE,
                release.calls,
                now_ms - release.started_ms,
                call.server,
                call.server in release.holders,
            )
        release.called.clear()
        if not self._finish_if_settled(now_ms, release):
            release.deadline_ms = now_ms + RETRY_INTERVAL_MS + self._hold_limit_ms
            self._schedule(release, now_ms + RETRY_INTERVAL_MS)

    def call_failed(self, now_ms: float, call: ReleaseCall) -> None:
        """Record that a call was not sent or not answered in time; the next server is called immediately."""
        self._call_ended(call)
        release = self._active.get(call.request)
        if release is not None and release.result is None:
            self._schedule(release, now_ms)

    def is_finished(self, request: str) -> bool:
        """Whether the request has no release in progress and no call in flight that may reach a server."""
        return request not in self._active and not self._calls_by_request[request]

    def take_due_calls(self, now_ms: float) -> list[ReleaseCall]:
        """The calls to send now, ordered by the due times of their releases."""
        calls = []
        while self.next_wake_ms() <= now_ms:
            _, _, release = heappop(self._queue)
            if self._finish_if_settled(now_ms, release):
                continue
            holders = self._target_holders(release)
            server = self._targets.select(now_ms, release, holders)
            if server is None:  # every server without a call in flight has been called in this round
                release.called.clear()
                self._schedule(release, now_ms + MIN_CALL_INTERVAL_MS)
            else:
                calls.append(self._start_call(now_ms, release, server))
        return calls

    def next_wake_ms(self) -> float:
        """When to call `take_due_calls` next; inf if there is nothing to do before a call in flight ends."""
        while self._queue and not self._is_current(*self._queue[0]):
            heappop(self._queue)
        listed = self._servers()
        all_busy = bool(listed) and self._calls_by_server.keys() >= listed.keys()
        if not self._queue or all_busy:  # when all servers are busy, a call ends within its timeout
            return inf
        return self._queue[0][0]

    def take_results(self) -> list[ReleaseResult]:
        """Return the results since the last call of this method."""
        results, self._results = self._results, []
        return results

    def _start_call(self, now_ms: float, release: ActiveRelease, server: str) -> ReleaseCall:
        release.calls += 1
        release.called.add(server)
        self._calls_by_server[server] += 1
        self._calls_by_request[release.request] += 1
        hedge_ms = HEDGE_FRACTION * (release.deadline_ms - now_ms)
        self._schedule(release, now_ms + max(MIN_CALL_INTERVAL_MS, hedge_ms))
        return ReleaseCall(release.request, server)

    def _schedule(self, release: ActiveRelease, at_ms: float) -> None:
        release.next_call_ms = at_ms
        heappush(self._queue, (at_ms, next(self._sequence), release))

    def _is_current(self, at_ms: float, _: int, release: ActiveRelease) -> bool:
        """Whether a queue item is up to date: its release is active and was not rescheduled."""
        return release.next_call_ms == at_ms and self._active.get(release.request) is release

    def _call_ended(self, call: ReleaseCall) -> None:
        _decrement(self._calls_by_server, call.server)
        _decrement(self._calls_by_request, call.request)

    def _finish_if_settled(self, now_ms: float, release: ActiveRelease) -> bool:
        """Finish the release if it needs no further call; returns whether it is finished."""
        result = self._final_result(now_ms, release)
        if result is None:
            return False
        self._results.append(result)
        del self._active[release.request]
        return True

    def _final_result(self, now_ms: float, release: ActiveRelease) -> ReleaseResult | None:
        """The result of the release, or None if it needs further calls."""
        listed = self._servers()
        elapsed_ms = now_ms - release.started_ms
        if release.result is not None:
            repeats = self._unanswered_holders(release, listed) and elapsed_ms < RETRY_WINDOW_MS
            return None if repeats else release.result
        if not listed:
            return ReleaseResult(release.request, ReleaseOutcome.NO_SERVER, release.calls, elapsed_ms)
        if elapsed_ms >= RELEASE_TIMEOUT_MS:
            return ReleaseResult(release.request, ReleaseOutcome.TIMED_OUT, release.calls, elapsed_ms)
        return None

    def _target_holders(self, release: ActiveRelease) -> Sequence[str]:
        """The holders to call: once a server has answered, those that have not."""
        if release.result is None:
            return release.holders
        return self._unanswered_holders(release, self._servers())

    def _unanswered_holders(self, release: ActiveRelease, listed: Mapping[str, bool]) -> list[str]:
        """The listed holders in `unconfirmed` that have answered no call since the release started."""
        return [
            server
            for server in release.holders
            if server in release.unconfirmed
            and server in listed
            and self._reachability.last_answer_ms(server) <= release.started_ms
        ]


def _decrement(counter: Counter[str], key: str) -> None:
    """Decrement a count, and remove the key when the count is zero."""
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
