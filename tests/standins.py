"""Stand-ins for the servers and the discovery service on loopback; the test sends their responses."""

from __future__ import annotations

import contextlib
import json
import queue
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

WAIT_S = 10.0  # a longer wait fails the test
REPORT = '{"x0":0.25,"x1":1.5}'


class Call:
    """A request received by a stand-in. The connection stays open until the test sends the response."""

    def __init__(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        self.method, self.path, self.headers, self.body = handler.command, handler.path, handler.headers, body
        self._handler, self.done, self.hung_up = handler, threading.Event(), threading.Event()

    @property
    def id(self) -> str:
        return self.headers["X-Call-Id"]

    @property
    def port(self) -> int:
        """Source port of the connection."""
        return int(self._handler.client_address[1])

    def answer(self, status: int, body: str = "", **headers: str) -> None:
        self._handler.send_response(status)
        for name, value in headers.items():
            self._handler.send_header(name.replace("_", "-"), value)
        self._handler.send_header("Content-Length", str(len(body)))
        self._handler.end_headers()
        self._handler.wfile.write(body.encode())
        self.done.set()

    def read(self, cached: int = 0) -> None:
        self.answer(202, json.dumps({"cached_tokens": cached}), X_Load_Report=REPORT)

    def begin(self) -> Call:
        self._handler.send_response(200)
        self._handler.send_header("Content-Type", "text/event-stream")
        self._handler.send_header("Transfer-Encoding", "chunked")
        self._handler.end_headers()
        return self

    def chunk(self, text: str) -> Call:
        self._handler.wfile.write(f"{len(text):x}\r\n{text}\r\n".encode())
        return self

    def token(self, text: str) -> Call:
        return self.chunk(event(text))

    def end(self) -> None:
        usage = '{"prompt_tokens":9,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":4}}'
        self.chunk(f'data: {{"choices":[],"usage":{usage}}}\n\ndata: [DONE]\n\n: X-Load-Report: {REPORT}\n\n')
        self._handler.wfile.write(b"0\r\n\r\n")
        self.done.set()

    def serve(self, *tokens: str) -> None:
        self.begin()
        for token in tokens:
            self.token(token)
        self.end()

    def raw(self, text: bytes) -> None:
        """Sends these bytes as the whole response and leaves the connection open."""
        self._handler.wfile.write(text)
        self.done.set()

    def say(self, text: bytes) -> None:
        """Sends these bytes; more may follow."""
        self._handler.wfile.write(text)

    def drop(self) -> None:
        self._handler.close_connection = True
        self.done.set()

    def say_without_end(self, opening: bytes, piece: bytes, pause_s: float = 0.0) -> bytes:
        """Sends `piece` repeatedly until the peer closes the connection; returns the bytes received.

        A pause ends early when bytes arrive. Raises TimeoutError if the peer neither reads nor closes.
        """
        sock, deadline_s = self._handler.connection, time.monotonic() + 2 * WAIT_S
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(WAIT_S)
        received = b""
        try:
            sock.sendall(opening)
            while time.monotonic() < deadline_s:
                sock.sendall(piece)
                if select.select([sock], [], [], pause_s)[0]:
                    if not (data := sock.recv(65536)):
                        return received
                    received += data
            raise TimeoutError("the peer did not close the connection")
        except (ConnectionResetError, BrokenPipeError):
            return received
        finally:
            self.drop()

    def reset(self) -> None:
        """Resets the connection; bytes in transit are lost."""
        linger = struct.pack("ii", 1, 0)
        self._handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.drop()

    def hang_up_after(self) -> Call:
        """Closes the connection after the response, without announcing it in a `Connection: close` header."""
        self._handler.close_connection = True
        finish = self._handler.server.shutdown_request

        def closed(request: Any) -> None:
            finish(request)
            self.hung_up.set()

        self._handler.server.shutdown_request = closed  # type: ignore[method-assign]
        return self

    def closed(self) -> bool:
        """Waits for bytes or end of stream; returns whether the peer closed the connection."""
        self._handler.connection.settimeout(WAIT_S)
        return not self._handler.connection.recv(1)


def event(text: str) -> str:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return f"data: {json.dumps({'choices': [choice]})}\n\n"


class StandIn:
    """A server on loopback. Its calls are queued for the test, except those that `auto` handles."""

    def __init__(self, auto: Callable[[Call], bool] = lambda _: False) -> None:
        self.calls, self.seen = queue.Queue[Call](), list[Call]()
        self.ignores_releases = False  # if set, DELETE calls get no response
        self.drop_next_call = False  # if set, the connection of the next call is closed without a response
        stand_in = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def take(self) -> None:
                call = Call(self, self.rfile.read(int(self.headers.get("Content-Length", 0))))
                if stand_in.drop_next_call:
                    stand_in.drop_next_call, self.close_connection = False, True
                    return
                stand_in.seen.append(call)
                if (stand_in.ignores_releases and call.method == "DELETE") or not auto(call):
                    stand_in.calls.put(call)
                    call.done.wait()

            do_GET = do_POST = do_DELETE = take  # noqa: N815

            def log_message(self, *_: object) -> None:
                pass

        self._http = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._http.daemon_threads, self._http.block_on_close = True, False
        self._http.handle_error = lambda *_: None  # type: ignore[method-assign]
        self.address = f"127.0.0.1:{self._http.server_port}"
        threading.Thread(target=self._http.serve_forever, args=(0.01,), daemon=True).start()

    def next(self) -> Call:
        return self.calls.get(timeout=WAIT_S)

    def answer_calls(self, respond: Callable[[Call], object]) -> None:
        """Answers all calls in a thread; errors are ignored for calls of a process that has ended."""

        def run() -> None:
            while True:
                call = self.calls.get()
                with contextlib.suppress(OSError):
                    respond(call)

        threading.Thread(target=run, daemon=True).start()

    def attempts(self) -> int:
        """Number of requests (POST) received; releases (DELETE) can arrive at any time and do not count."""
        return [each.method for each in self.seen].count("POST")

    def close(self) -> None:
        self._http.shutdown()
        self._http.server_close()


class UnreachableServer:
    """A server that accepts no connection, like an unreachable machine: its accept queue is kept full."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._pending = [socket.socket() for _ in range(4)]
        for sock in self._pending:
            sock.setblocking(False)
            sock.connect_ex(self._listener.getsockname())

    def close(self) -> None:
        for sock in [*self._pending, self._listener]:
            sock.close()


def answer_in_background(server: StandIn, answer: Callable[[Call], None]) -> None:
    """Answers all calls of a stand-in in a thread; calls that the client has closed are ignored."""

    def run() -> None:
        while True:
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                answer(server.calls.get())

    threading.Thread(target=run, daemon=True).start()
