"""Session affinity: which server prefilled the last prompt of a session. Holds no decision logic."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.routing.events import Request
from ringledge.routing.state import Server


@dataclass(slots=True, frozen=True)
class Affinity:
    """The server that prefilled the last prompt of a session."""

    server: Server
    cached_tokens: float
    used_ms: float


class SessionAffinities:
    """Affinities of one router, by session."""

    def __init__(self) -> None:
        self.by_session: dict[int | None, Affinity] = {}
        self._caching_servers = dict[Server, None]()  # servers with cached prefixes

    def get(self, session: int | None) -> Affinity | None:
        """Return the affinity of a session, or None."""
        return self.by_session.get(session)

    def bind(self, request: Request, server: Server, now_ms: float) -> None:
        """Record that a server has cached the request's shared prefix and the prompt of its session.

        Call it once the server has answered, not when the request is sent, so that an unresponsive server
        does not keep the session.
        """
        if request.prefix:
            self.record_prefix(server, request.prefix, now_ms)
        if request.session is not None:
            self.by_session[request.session] = Affinity(server, request.prompt_tokens, now_ms)

    def record_prefix(self, server: Server, prefix: int, now_ms: float) -> None:
        """Record that a server has cached a shared prefix."""
        server.cached_prefixes[prefix] = now_ms
        self._caching_servers[server] = None

    def expire(self, oldest_ms: float) -> None:
        """Delete affinities and cached prefixes that were last used before `oldest_ms`."""
        for server in list(self._caching_servers):
            cached = server.cached_prefixes.items()
            server.cached_prefixes = {prefix: used_ms for prefix, used_ms in cached if used_ms >= oldest_ms}
            if not server.cached_prefixes:
                del self._caching_servers[server]
        self.by_session = {key: each for key, each in self.by_session.items() if each.used_ms >= oldest_ms}
