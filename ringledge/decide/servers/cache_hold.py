"""What servers may hold of one request's KV cache, and for how long already; free of I/O and clocks.

A server may hold an entry while an attempt of its request is out, and only for a limited time otherwise.
An attempt that was written but has not arrived is not out, so the time counts on until the server of an
attempt has begun to answer, or any server has answered a release. Times are in ms of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf


class ReleaseReason(StrEnum):
    """Why the entries of an open request are released; the values stand in logs and metrics."""

    NO_SERVER_REACHED = "no_server_reached"  # no decode server took a connection within the hold limit
    NOT_DELIVERED = "not_delivered"  # the attempt in flight may not have arrived by the hold limit
    SERVER_RESUMED = (
        "server_resumed"  # a server that hung has answered, and may have run an abandoned attempt
    )
    BEFORE_ATTEMPT = "before_attempt"  # an earlier attempt may have left one that the next does not use


@dataclass(slots=True, frozen=True)
class _ReleaseInProgress:
    """A release in progress."""

    idle_since_ms: float  # as it began
    unobserved: dict[str, float]  # as it began
    # An attempt that had been written was in flight: if it has arrived, the entry it waits for stays.
    attempt_in_flight: bool


@dataclass(slots=True)
class CacheEntryTracker:
    """The KV cache entries of one request."""

    holders: set[str] = field(default_factory=set)  # servers that hold an entry
    # Servers on which an attempt may have left an entry unobserved, and when it ended (inf: it may yet run).
    unobserved: dict[str, float] = field(default_factory=dict)
    _suspended_ms: dict[str, float] = field(default_factory=dict)  # when the attempts that may yet run ended
    # Since when an entry may be held while no attempt is known to be out; inf: none is held.
    idle_since_ms: float = inf
    released_early: bool = False  # the entry was released while the policy still counts on it
    _release: _ReleaseInProgress | None = None

    @property
    def may_exist(self) -> bool:
        """Whether a server may hold an entry."""
        return bool(self.holders or self.unobserved)

    @property
    def is_idle(self) -> bool:
        """Whether an entry may be held while no attempt is known to be out."""
        return self.idle_since_ms < inf

    @property
    def releasing(self) -> bool:
        """Whether a release is in progress."""
        return self._release is not None

    def held_ms(self, now_ms: float) -> float:
        """For how long an entry may have been held while no attempt was out; 0 if none is held."""
        return max(0.0, now_ms - self.idle_since_ms)

    # What becomes of attempts.

    def record_prefill(self, server: str) -> None:
        """A prefill has ended well: its server holds an entry."""
        self.holders.add(server)
        self.released_early = False

    def record_missing_entry(self, now_ms: float) -> None:
        """A decode found no entry: its holder has none any more; an earlier decode may have fetched it."""
        self.unobserved |= dict.fromkeys(self.holders, now_ms)
        self.holders.clear()

    def record_unobserved_end(self, server: str, now_ms: float, has_answered: bool) -> None:
        """An attempt that may have left an entry ended without a response.

        `has_answered`: its server has answered something since the attempt was sent; one that has not may
        hang, and run the attempt once it resumes.
        """
        self.unobserved[server] = now_ms if has_answered else inf
        if not has_answered:
            self._suspended_ms[server] = now_ms

    def record_attempt_end(self, now_ms: float, was_delivered: bool) -> None:
        """An attempt has ended, and what it left is noted; `has_arrived`: its server began to answer it."""
        if not self.may_exist:
            self.idle_since_ms = inf
        elif was_delivered or self.idle_since_ms == inf:
            self.idle_since_ms = now_ms

    def record_first_token(self) -> None:
        """The first token has arrived: with it servers release by themselves what they hold."""
        self.holders.clear()
        self.idle_since_ms = inf

    # Releases while the request is open.

    def begin_release(self, now_ms: float, attempt_in_flight: bool) -> set[str]:
        """Have everything released; returns the servers that hold or may hold an entry.

        Until a server has answered, they count as holding it, and the time counts on. `attempt_in_flight`:
        an attempt that was written is in flight, so that the release may be void.
        """
        self.released_early = self.released_early or bool(self.holders)
        self.unobserved = dict.fromkeys(self.holders, now_ms) | self.unobserved
        self.holders.clear()
        self._release = _ReleaseInProgress(self.idle_since_ms, dict(self.unobserved), attempt_in_flight)
        return set(self.unobserved)

    def end_release(self, now_ms: float, answered_by: Collection[str], attempt_in_flight: bool) -> None:
        """The release has ended, answered by these servers; by none if it failed.

        One answer releases all that is held, wherever it is, unless an attempt waits for it: then the time
        starts anew with the end of that attempt. Only a server that may yet run an attempt holds nothing more
        once it has answered itself.
        """
        release, self._release = self._release, None
        if release is None or not answered_by:
            return
        is_idle_as_before = self.idle_since_ms == release.idle_since_ms  # else an attempt has ended meanwhile
        if attempt_in_flight and is_idle_as_before:
            self.idle_since_ms = inf
        elif release.attempt_in_flight and is_idle_as_before:
            self.idle_since_ms = now_ms
        elif not (release.attempt_in_flight or attempt_in_flight):
            self._forget_released(release, answered_by)
            if is_idle_as_before:
                self.idle_since_ms = inf

    def _forget_released(self, release: _ReleaseInProgress, answered_by: Collection[str]) -> None:
        for server, ended_ms in release.unobserved.items():
            is_settled = ended_ms < inf or server in answered_by
            if is_settled and self.unobserved.get(server) == ended_ms:
                del self.unobserved[server]

    # Servers that hung.

    def unresponsive_servers(self) -> list[tuple[str, float]]:
        """The servers that may yet run an attempt, and when that attempt ended."""
        return [
            (server, at_ms)
            for server, at_ms in self._suspended_ms.items()
            if self.unobserved.get(server) == inf
        ]

    def record_resumption(self, server: str, now_ms: float) -> None:
        """Such a server has answered something: it may have run the attempt by now, and will not later."""
        self.unobserved[server] = now_ms
        self.idle_since_ms = min(self.idle_since_ms, now_ms)

    def record_release_answered(self, server: str) -> None:
        """Such a server has answered a release of this request."""
        if self.unobserved.get(server) == inf:
            del self.unobserved[server]

    # The end of the request.

    def take_locations(self) -> tuple[set[str], dict[str, float]]:
        """Remove the servers that hold an entry, and those that may, from the record."""
        taken = self.holders, self.unobserved
        self.holders, self.unobserved, self.idle_since_ms = set(), {}, inf
        return taken
