"""The response to one platform request: each chunk is forwarded to the client as it arrives."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import h11

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import FloodError

if TYPE_CHECKING:
    from ringledge.memory.buffered_bytes import BufferedBytes

# The head of every streamed response. It is built once, because h11 validates the headers of each new one.
STREAM_HEAD = h11.Response(
    status_code=200,
    headers=[
        (b"Content-Type", b"text/event-stream"),
        (b"Cache-Control", b"no-cache"),
        (b"Transfer-Encoding", b"chunked"),
    ],
)


class PlatformResponse:
    """The response sink of one request.

    Chunks are written to the socket directly. What the socket does not accept is written by the request's
    task.
    """

    def __init__(self, conn: Connection, buffered_bytes: BufferedBytes | None = None) -> None:
        self._buffered_bytes = buffered_bytes
        self.begun = False  # the head of the response has been encoded
        self.result: str | None = None
        self.retry_after_ms: float | None = None
        self._conn = conn
        self._chunks: list[bytes] = []
        self._unsent_bytes = 0
        self._changed, self._drained = anyio.Event(), anyio.Event()

    def reject(self, retry_delay_ms: float | None) -> None:
        """End the response: the request was rejected and may safely be retried."""
        self.retry_after_ms = retry_delay_ms
        self._end("refused")

    def fail(self) -> None:
        """End the response: the request failed."""
        self._end("failed")

    def finish(self) -> None:
        """End the response: the stream is complete."""
        self._end("served")

    def abort(self) -> None:
        """End the response: the stream broke off."""
        self._end("broken")

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self._conn.peer_disconnected()

    async def relay(self, chunk: bytes) -> None:
        """Forward a chunk; blocks while a slow client leaves more unsent than its connection's limit."""
        body_data = h11.Data(data=chunk)
        data = self._conn.encode(body_data) if self.begun else self._conn.encode(STREAM_HEAD, body_data)
        self.begun = True
        if not self._unsent_bytes:
            try:
                data = data[self._conn.write_nowait(data) :]
            except OSError:
                return  # the client has disconnected, which its connection's task is notified of
        if data:
            self._chunks.append(data)
            self._count(len(data))
            self._changed.set()
        while self._unsent_bytes > self._conn.memory.max_unsent():
            self._drained = anyio.Event()
            await self._drained.wait()

    def _count(self, change: int) -> None:
        self._unsent_bytes += change
        self._conn.memory.add_unsent(change)
        if self._buffered_bytes is not None:
            self._buffered_bytes.stream_bytes += change

    def discard_unsent(self) -> None:
        """Stop counting the unsent bytes as buffered, because they will not be sent."""
        self._count(-self._unsent_bytes)

    def _end(self, outcome: str) -> None:
        self.result = outcome
        self._changed.set()

    async def write_out(self) -> None:
        """Write unsent chunks until all are written and the response has ended."""
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
    may_reject: Callable[[], bool],
    on_disconnect: Callable[[], None] = lambda: None,
) -> None:
    """Write the answer while watching for the client's disconnect, even while nothing is being written.

    `on_disconnect` is called in the same iteration of the event loop that detects the disconnect: other tasks
    could otherwise still send something for that client before the cancelled task runs.

    The disconnect of a client that pipelines without limit ahead of its response cannot be detected. So if
    none of its response has been written, the request ends with FloodError: rejected if `may_reject` returns
    that a retry is safe, else failed.
    """
    is_flooding = False

    def disconnected() -> None:
        on_disconnect()
        scope.cancel()

    def flooded() -> None:
        nonlocal is_flooding
        if conn.h11.our_state is h11.SEND_RESPONSE:  # none of the response has been written
            is_flooding = True
            disconnected()

    with anyio.CancelScope() as scope:
        conn.set_disconnect_callback(disconnected, flooded)
        try:
            await answer
        except (OSError, anyio.ClosedResourceError):
            conn.close()  # the client disconnected during a write
        finally:
            conn.set_disconnect_callback(None)
    if scope.cancelled_caught and is_flooding:
        raise FloodError(may_reject())
    if scope.cancelled_caught:
        conn.close()
