"""Exceptions that end an exchange on a connection, with the error response for the peer."""

from __future__ import annotations

import anyio
import h11

from ringledge.wire.http.headers import Headers


class HttpError(Exception):
    """A message that is answered with an error status; the process is otherwise unaffected."""

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
    """A client pipelines too much data before its response; it is rejected, and its connection is closed.

    A 429 promises that a retry is safe. So a request that may have run and must not run twice gets a 500.
    """

    def __init__(self, may_reject: bool) -> None:
        if may_reject:
            super().__init__(429, "too much was sent ahead of the answer", "rate_limit_exceeded")
        else:
            super().__init__(500, "too much was sent ahead of the answer; it may have run", "may_have_run")


class ConnectionIdleError(Exception):
    """No data arrived on a connection for a while, so that it becomes idle."""


class ShedError(HttpError):
    """A request that the admission gate shed before its body was read; its connection stays usable."""


# Errors that end an exchange with a peer: of the socket or the protocol, or an oversized or late message.
PEER_ERRORS = (OSError, h11.RemoteProtocolError, anyio.ClosedResourceError, HttpError)
