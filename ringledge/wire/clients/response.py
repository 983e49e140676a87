"""The client's side of one platform request: pieces of its answer go out as they come."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import h11

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import FloodError

if TYPE_CHECKING:
    from ringledge.memory.buffered_bytes import BufferedBytes

HIGH_WATER = 64 * 1024  # bytes of a stream that may wait for a slow client

# The head of every streamed answer, made once: h11 checks headers each time one is made.
STREAM_HEAD = h11.Response(
    status_code=200,
    headers=[
        (b"Content-Type", b"text/event-stream"),
        (b"Cache-Control", b"no-cache"),
        (b"Transfer-Encoding", b"chunked"),
    ],
)


class PlatformResponse:
    """One request's client side. Pieces go straight to the socket; what it leaves waits for the task."""

    def __init__(self, conn: Connection, held: BufferedBytes | None = None) -> None:
        self._buffered = held
        self.begun = False
        self.result: str | None = None
        self.retry_after_ms: float | None = None
        self._conn = conn
        self._chunks: list[bytes] = []
        self._unsent_bytes = 0  # bytes that the client has not taken
        self._changed, self._drained = anyio.Event(), anyio.Event()

    def reject(self, come_back_ms: float | None) -> None:
        """Final answer: refused."""
        self.retry_after_ms = come_back_ms
        self._end("refused")

    def fail(self) -> None:
        """Final answer: failed."""
        self._end("failed")

    def finish(self) -> None:
        """The stream is whole."""
        self._end("served")

    def abort(self) -> None:
        """The stream broke."""
        self._end("broken")

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self._conn.peer_disconnected()

    async def relay(self, piece: bytes) -> None:
        """Pass a piece on; wait while too much is waiting for a slow client."""
        told = h11.Data(data=piece)
        data = self._conn.encode(told) if self.begun else self._conn.encode(STREAM_HEAD, told)
        self.begun = True
        if not self._unsent_bytes:
            try:
                data = data[self._conn.write_nowait(data) :]
            except OSError:
                return  # the client has gone: its connection's task is told so
        if data:
            self._chunks.append(data)
            self._count(len(data))
            self._changed.set()
        while self._unsent_bytes > HIGH_WATER:
            self._drained = anyio.Event()
            await self._drained.wait()

    def _count(self, change: int) -> None:
        self._unsent_bytes += change
        if self._buffered is not None:
            self._buffered.stream_bytes += change

    def discard_unsent(self) -> None:
        """Nobody takes what still waits."""
        self._count(-self._unsent_bytes)

    def _end(self, how: str) -> None:
        self.result = how
        self._changed.set()

    async def write_out(self) -> None:
        """Write what waits for the client until the request's end is known."""
        while self._chunks or self.result is None:
            if self._chunks:
                data = b"".join(self._chunks)
                self._chunks.clear()
                await self._conn.write(data)
                self._count(-len(data))
                self._drained.set()
            else:
                self._changed = anyio.Event()
                await self._changed.wait()


async def write_while_connected(
    conn: Connection,
    answer: Awaitable[None],
    may_refuse: Callable[[], bool],
    left: Callable[[], None] = lambda: None,
) -> None:
    """Write the answer while watching for the client's disconnect, also when nothing is written.

    `left` is called in the very turn of the loop that hears of a disconnect: before the cancelled task comes
    round, others might still send something for that client. One that sends without end ahead of its answer
    could leave unheard; unless its answer has begun, it is told so instead: refused where `may_refuse` says
    that a retry does no harm, else failed.
    """
    floods = False

    def gone() -> None:
        left()
        scope.cancel()

    def flooded() -> None:
        nonlocal floods
        if conn.h11.our_state is h11.SEND_RESPONSE:  # nothing of the answer is written
            floods = True
            gone()

    with anyio.CancelScope() as scope:
        conn.set_disconnect_callback(gone, flooded)
        try:
            await answer
        except (OSError, anyio.ClosedResourceError):
            conn.close()  # the client has gone while it was written to
        finally:
            conn.set_disconnect_callback(None)
    if scope.cancelled_caught and floods:
        raise FloodError(may_refuse())
    if scope.cancelled_caught:
        conn.close()
