"""What ends an exchange on a connection, and what a peer is told of it."""

from __future__ import annotations

import anyio
import h11

from ringledge.wire.http.headers import Headers


class HttpError(Exception):
    """Input that is answered with a plain status and costs nothing else."""

    def __init__(
        self,
        status: int,
        reason: str,
        code: str = "invalid_request",
        param: str | None = None,
        headers: Headers | None = None,
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.code, self.param = status, reason, code, param
        self.headers: Headers = headers or []


class FloodError(HttpError):
    """A client sends without end ahead of its answer: it is told so, and its connection ends.

    429 promises that a retry does no harm; where the request may have run and must not run twice, it failed.
    """

    def __init__(self, may_refuse: bool) -> None:
        if may_refuse:
            super().__init__(429, "too much was sent ahead of the answer", "rate_limit_exceeded")
        else:
            super().__init__(500, "too much was sent ahead of the answer; it may have run", "may_have_run")


class ConnectionIdleError(Exception):
    """Nobody spoke on a connection for a while: it is put to rest."""


class ShedError(HttpError):
    """A request that the gate turned away, before its body was read; its connection may go on."""


# What ends an exchange with a peer: its socket, its HTTP, or an answer past all bounds.
PEER_ERRORS = (OSError, h11.RemoteProtocolError, anyio.ClosedResourceError, HttpError)
