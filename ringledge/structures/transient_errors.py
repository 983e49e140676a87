"""Transient errors of system calls: they say nothing about the peer, and the same call may soon succeed.

The manual pages of accept(2), socket(2), connect(2) and bind(2) list them: the process or the system is out
of descriptors, buffers, ports or memory, a route is missing while the network changes, or a client has closed
its connection before it was accepted.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

RESOURCE_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors of connect(2): this host has no port or no route at the moment; nothing was sent to the peer.
NO_LOCAL_PATH = frozenset({errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN})
# Errors of accept(2): the first connection in the backlog was closed or failed; the others are not affected.
CLIENT_DISCONNECTED = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})
TRANSIENT = RESOURCE_EXHAUSTED | NO_LOCAL_PATH | CLIENT_DISCONNECTED | {errno.EIO, errno.EADDRINUSE}

RETRY_INTERVAL_S = 0.05
START_TIMEOUT_S = 5.0  # for all retries of one call; the start-up has to be complete within some seconds

T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Whether the same call may soon succeed after this error."""
    return error.errno in TRANSIENT


def retry_while_transient(call: Callable[[], T]) -> T:
    """Make a call during start-up, and retry it after transient errors for at most START_TIMEOUT_S.

    Blocks the thread, so it is only for start-up, before any request is served.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return call()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= deadline_s:
                raise
        time.sleep(RETRY_INTERVAL_S)
