"""Errors of system calls that say nothing of the peer, and may be over in a moment.

accept(2), socket(2), connect(2) and bind(2) list them: the process or the whole system is out of descriptors,
buffers, ports or memory, a route is missing while the network changes, a caller has gone before it was taken.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Of connect: our side has no port or no route just now. The peer was not asked.
NO_PATH = frozenset({errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN})
# Of accept: the one that waited has gone, or its connection had an error; whoever waits behind it is well.
CALLER_GONE = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})
TRANSIENT = EXHAUSTED | NO_PATH | CALLER_GONE | {errno.EIO, errno.EADDRINUSE}

AGAIN_S = 0.05  # between two tries
START_S = 5.0  # that a start tries: it has to be over in some seconds

T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Whether the same call may do in a moment."""
    return error.errno in TRANSIENT


def at_start(call: Callable[[], T]) -> T:
    """Make a call that the start needs, again and again while it fails for a reason that may pass.

    It blocks: nothing is served yet.
    """
    until_s = time.monotonic() + START_S
    while True:
        try:
            return call()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= until_s:
                raise
        time.sleep(AGAIN_S)
