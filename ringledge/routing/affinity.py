"""Session affinity: which server prefilled a session's last prompt. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.routing.events import Request
from ringledge.routing.state import Server


@dataclass(slots=True, frozen=True)
class Affinity:
    """Where a session's last prompt was prefilled."""

    server: Server
    cached_tokens: float
    used_ms: float


class SessionAffinities:
    """The affinities of one router, by session."""

    def __init__(self) -> None:
        self.by_session: dict[int | None, Affinity] = {}

    def get(self, session: int | None) -> Affinity | None:
        """The affinity of a session, or None where it has none."""
        return self.by_session.get(session)

    def bind(self, request: Request, server: Server, now_ms: float) -> None:
        """Record that a server has the request's prefix and its session's prompt in its cache.

        Called when a server has answered, not when it is sent a request: a server that does not respond
        must not retain the session.
        """
        if request.prefix:
            server.cached_prefixes[request.prefix] = now_ms
        if request.session is not None:
            self.by_session[request.session] = Affinity(server, request.prompt_tokens, now_ms)

    def expire(self, oldest_ms: float) -> None:
        """Delete the affinities that were last used before a time."""
        self.by_session = {key: each for key, each in self.by_session.items() if each.used_ms >= oldest_ms}
