"""Stand-in servers and discovery on loopback that a test plays itself."""

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

WAIT_S = 10.0  # a test that waits longer has failed
REPORT = '{"x0":0.25,"x1":1.5}'


class Call:
    """One request at a stand-in, answered by the test; its connection stays as it is until then."""

    def __init__(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        self.method, self.path, self.headers, self.body = handler.command, handler.path, handler.headers, body
        self._handler, self.done, self.hung_up = handler, threading.Event(), threading.Event()

    @property
    def id(self) -> str:
        return self.headers["X-Call-Id"]

    @property
    def port(self) -> int:
        """Where the connection comes from."""
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
        """Say just that, and leave the connection open."""
        self._handler.wfile.write(text)
        self.done.set()

    def say(self, text: bytes) -> None:
        """Say just that; more may follow."""
        self._handler.wfile.write(text)

    def drop(self) -> None:
        self._handler.close_connection = True
        self.done.set()

    def say_without_end(self, opening: bytes, piece: bytes, pause_s: float = 0.0) -> bytes:
        """Say the piece again and again until the other side closes; give what that side said meanwhile.

        A pause ends early when something comes. TimeoutError if the other side neither reads nor closes.
        """
        sock, until = self._handler.connection, time.monotonic() + 2 * WAIT_S
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(WAIT_S)
        heard = b""
        try:
            sock.sendall(opening)
            while time.monotonic() < until:
                sock.sendall(piece)
                if select.select([sock], [], [], pause_s)[0]:
                    if not (said := sock.recv(65536)):
                        return heard
                    heard += said
            raise TimeoutError("the other side still listens")
        except (ConnectionResetError, BrokenPipeError):
            return heard
        finally:
            self.drop()

    def reset(self) -> None:
        """Reset the connection: what was on its way is lost."""
        linger = struct.pack("ii", 1, 0)
        self._handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.drop()

    def hang_up_after(self) -> Call:
        """Close the connection after the answer, without a word of it before."""
        self._handler.close_connection = True
        finish = self._handler.server.shutdown_request

        def closed(request: Any) -> None:
            finish(request)
            self.hung_up.set()

        self._handler.server.shutdown_request = closed  # type: ignore[method-assign]
        return self

    def closed(self) -> bool:
        """Wait until the other side closes the connection."""
        self._handler.connection.settimeout(WAIT_S)
        return not self._handler.connection.recv(1)


def event(text: str) -> str:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return f"data: {json.dumps({'choices': [choice]})}\n\n"


class StandIn:
    """A server on loopback whose calls wait in a queue for the test; those that `auto` takes don't."""

    def __init__(self, auto: Callable[[Call], bool] = lambda _: False) -> None:
        self.calls, self.seen = queue.Queue[Call](), list[Call]()
        self.ignores_releases = False  # releases are accepted and never answered
        self.drop_next_call = False  # the next call's connection breaks without an answer
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def take(self) -> None:
                call = Call(self, self.rfile.read(int(self.headers.get("Content-Length", 0))))
                if outer.drop_next_call:
                    outer.drop_next_call, self.close_connection = False, True
                    return
                outer.seen.append(call)
                if (outer.ignores_releases and call.method == "DELETE") or not auto(call):
                    outer.calls.put(call)
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
        """Answer all calls in a thread, also those of a process that has ended since."""

        def run() -> None:
            while True:
                call = self.calls.get()
                with contextlib.suppress(OSError):
                    respond(call)

        threading.Thread(target=run, daemon=True).start()

    def attempts(self) -> int:
        """How many requests were sent here; a release may come at any time beside them and is none."""
        return [each.method for each in self.seen].count("POST")

    def close(self) -> None:
        self._http.shutdown()
        self._http.server_close()


class UnreachableServer:
    """A server that no connection reaches, as if its machine were cut off: its queue is full."""

    def __init__(self) -> None:
        self._door = socket.socket()
        self._door.bind(("127.0.0.1", 0))
        self._door.listen(0)
        self.address = "{}:{}".format(*self._door.getsockname())
        self._queue = [socket.socket() for _ in range(4)]
        for sock in self._queue:
            sock.setblocking(False)
            sock.connect_ex(self._door.getsockname())

    def close(self) -> None:
        for sock in [*self._queue, self._door]:
            sock.close()


def answer_in_background(server: StandIn, answer: Callable[[Call], None]) -> None:
    """Have a server answer all calls that come; one that was given up meanwhile takes no answer."""

    def run() -> None:
        while True:
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                answer(server.calls.get())

    threading.Thread(target=run, daemon=True).start()
