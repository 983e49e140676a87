"""Tracks which servers may hold a request's KV cache entries, and for how long; free of I/O and clocks.

A server may hold an entry while a delivered attempt of the request is in flight, and for a limited time
otherwise. An attempt that was written may not have been delivered, so the hold time runs on until its server
has begun to answer, or any server has answered a release. Times are in ms of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf


class ReleaseReason(StrEnum):
    """Why the entries of an open request are released; the values appear in logs and metrics."""

    NO_SERVER_REACHED = "no_server_reached"  # no decode server accepted a connection within the hold limit
    NOT_DELIVERED = "not_delivered"  # the attempt in flight may not have been delivered by the hold limit
    SERVER_RESUMED = "server_resumed"  # a hung server has resumed and may have run an abandoned attempt
    BEFORE_ATTEMPT = "before_attempt"  # an earlier attempt may have left an entry that the next one can't use


@dataclass(slots=True, frozen=True)
class _ReleaseInProgress:
    """The tracker's state at the start of the release in progress."""

    idle_since_ms: float
    unobserved: dict[str, float]
    # Whether a written attempt was in flight. If it was delivered, servers keep the entry that it waits for.
    attempt_in_flight: bool


@dataclass(slots=True)
class CacheEntryTracker:
    """Where the KV cache entries of one request are held, and since when."""

    holders: set[str] = field(default_factory=set)  # servers known to hold an entry
    # Servers on which an attempt without a response may have left an entry, mapped to the time at which the
    # attempt ended; inf if the server may yet run the attempt.
    unobserved: dict[str, float] = field(default_factory=dict)
    # Servers that may yet run an attempt, mapped to the time at which that attempt ended.
    _unresponsive_ms: dict[str, float] = field(default_factory=dict)
    # Since when an entry may be held while no attempt known to be delivered is in flight; else inf.
    idle_since_ms: float = inf
    released_early: bool = False  # whether the entry was released although the policy still relies on it
    _release: _ReleaseInProgress | None = None

    @property
    def may_exist(self) -> bool:
        """Whether a server may hold an entry."""
        return bool(self.holders or self.unobserved)

    @property
    def is_idle(self) -> bool:
        """Whether an entry may be held while no attempt known to be delivered is in flight."""
        return self.idle_since_ms < inf

    @property
    def releasing(self) -> bool:
        """Whether a release is in progress."""
        return self._release is not None

    def held_ms(self, now_ms: float) -> float:
        """For how long an entry may have been held with no delivered attempt in flight; 0 if none is held."""
        return max(0.0, now_ms - self.idle_since_ms)

    # Outcomes of attempts.

    def record_prefill(self, server: str) -> None:
        """Record a successful prefill, after which its server holds an entry."""
        self.holders.add(server)
        self.released_early = False

    def record_missing_entry(self, now_ms: float) -> None:
        """Record that a decode found no entry at the holders; an earlier decode may have fetched it."""
        self.unobserved |= dict.fromkeys(self.holders, now_ms)
        self.holders.clear()

    def record_unobserved_end(self, server: str, now_ms: float, has_answered: bool) -> None:
        """Record that an attempt ended without a response, and may have left an entry on its server.

        `has_answered`: whether the server has answered any call since the attempt was sent. A server that has
        not may hang, and run the attempt when it resumes.
        """
        self.unobserved[server] = now_ms if has_answered else inf
        if not has_answered:
            self._unresponsive_ms[server] = now_ms

    def record_attempt_end(self, now_ms: float, was_delivered: bool) -> None:
        """Record that an attempt has ended; call it after recording which entries the attempt may have left.

        `was_delivered`: whether its server had begun to answer it.
        """
        if not self.may_exist:
            self.idle_since_ms = inf
        elif was_delivered or self.idle_since_ms == inf:
            self.idle_since_ms = now_ms

    def record_first_token(self) -> None:
        """Record the first token, after which servers release the request's entries by themselves."""
        self.holders.clear()
        self.idle_since_ms = inf

    # Releases of an open request.

    def begin_release(self, now_ms: float, attempt_in_flight: bool) -> set[str]:
        """Start a release of all entries; returns the servers that hold or may hold one.

        Those servers count as holding an entry, and the hold time runs on, until a server has answered.
        `attempt_in_flight`: whether a written attempt is in flight, because of which the release may have no
        effect.
        """
        self.released_early = self.released_early or bool(self.holders)
        self.unobserved = dict.fromkeys(self.holders, now_ms) | self.unobserved
        self.holders.clear()
        self._release = _ReleaseInProgress(self.idle_since_ms, dict(self.unobserved), attempt_in_flight)
        return set(self.unobserved)

    def end_release(self, now_ms: float, answered_by: Collection[str], attempt_in_flight: bool) -> None:
        """Record the end of the release, with the servers that answered it; none did if it failed.

        One answer releases the entries on all servers, unless an attempt waits for an entry: then the hold
        time restarts when that attempt ends. A server that may yet run an attempt is an exception: it is
        cleared only by its own answer.
        """
        release, self._release = self._release, None
        if release is None or not answered_by:
            return
        # False if an attempt has ended since the release started.
        is_idle_as_before = self.idle_since_ms == release.idle_since_ms
        if attempt_in_flight and is_idle_as_before:
            self.idle_since_ms = inf
        elif release.attempt_in_flight and is_idle_as_before:
            self.idle_since_ms = now_ms
        elif not (release.attempt_in_flight or attempt_in_flight):
            self._remove_released(release, answered_by)
            if is_idle_as_before:
                self.idle_since_ms = inf

    def _remove_released(self, release: _ReleaseInProgress, answered_by: Collection[str]) -> None:
        for server, ended_ms in release.unobserved.items():
            is_released = ended_ms < inf or server in answered_by
            if is_released and self.unobserved.get(server) == ended_ms:
                del self.unobserved[server]

    # Unresponsive servers, which may yet run an attempt.

    def unresponsive_servers(self) -> list[tuple[str, float]]:
        """The servers that may yet run an attempt, each with the time at which that attempt ended."""
        return [
            (server, at_ms)
            for server, at_ms in self._unresponsive_ms.items()
            if self.unobserved.get(server) == inf
        ]

    def record_resumption(self, server: str, now_ms: float) -> None:
        """Record that an unresponsive server has answered a call.

        It may have run the attempt by now, and will not run it later.
        """
        self.unobserved[server] = now_ms
        self.idle_since_ms = min(self.idle_since_ms, now_ms)

    def record_release_answered(self, server: str) -> None:
        """Record that an unresponsive server has answered a release, and so holds no entry any more."""
        if self.unobserved.get(server) == inf:
            del self.unobserved[server]

    # The end of the request.

    def take_locations(self) -> tuple[set[str], dict[str, float]]:
        """Return `holders` and `unobserved`, and clear them."""
        locations = self.holders, self.unobserved
        self.holders, self.unobserved, self.idle_since_ms = set(), {}, inf
        return locations
