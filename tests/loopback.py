"""The real program as a process, with stand-in servers and discovery on loopback that a test plays itself."""

from __future__ import annotations

import http.client
import json
import os
import queue
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
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

    def drop(self) -> None:
        self._handler.close_connection = True
        self.done.set()

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
        self.deaf = False  # releases are accepted and never answered
        self.refuse_next = False  # the next call's connection breaks without an answer
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def take(self) -> None:
                call = Call(self, self.rfile.read(int(self.headers.get("Content-Length", 0))))
                if outer.refuse_next:
                    outer.refuse_next, self.close_connection = False, True
                    return
                outer.seen.append(call)
                if (outer.deaf and call.method == "DELETE") or not auto(call):
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

    def close(self) -> None:
        self._http.shutdown()
        self._http.server_close()


class Hung:
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


SETTINGS: dict[str, Any] = {
    "azs": ["east", "west"],
    "shapes": ["prefill", "decode", "mixed"],
    "caps": {"cancel": True, "max_attempts": 6, "retry_after": True, "max_retry_after_ms": 1000.0,
             "keepalive_ms": 30000.0, "connect_timeout_ms": 250.0, "second_copies": False},
    "classes": [
        {"name": "query", "deadline_ms": 5000.0, "goal_time_ms": 1200.0, "effect": "retryable", "worth": 2.0},
        {"name": "booking", "deadline_ms": 5000.0, "goal_time_ms": 2500.0, "effect": "fragile", "worth": 6.0},
    ],
    "tenants": [{"name": "farm", "fraction": 1.0}],
    "stats": {"how": "piggyback", "fields": ["x0", "x1"]},
    "specifics": {"role_by_kind": ["read", "write", "both"], "token_aim_ms": [50.0, 80.0], "resume": True},
    "safety": {"cold_share": 0.28, "warm_after_ms": 13000.0, "fall_multiple": 3.0, "overload_for_ms": 3000.0},
    "replicas_of_me": 1, "position": 0, "tick_ms": 2.0, "zone": 0, "membership_mode": "automatic",
}  # fmt: skip


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class Process:
    """The program, started with a folder's configuration; its log as it comes."""

    def start(self, folder: Path) -> None:
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "RINGLEDGE_"))}
        environ |= {"RELAY_CONFIG": str(folder / "config.json"), "RINGLEDGE_DEPLOY": str(folder)}
        environ["TMPDIR"] = str(folder)
        command = [sys.executable, "-m", "ringledge"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environ, stderr=subprocess.PIPE)
        self.lines = queue.Queue[dict[str, Any]]()
        threading.Thread(target=self._read_log, daemon=True).start()
        self.listening = self.logged("ready")["listening"]

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def _read_log(self) -> None:
        assert self.process.stderr
        for line in self.process.stderr:
            try:
                self.lines.put(json.loads(line))
            except ValueError:
                self.lines.put({"event": "text", "text": line.decode()})

    def logged(self, name: str) -> dict[str, Any]:
        """The next log line of that event; `passed` are those before it."""
        seen, until = list[dict[str, Any]](), time.monotonic() + WAIT_S
        while time.monotonic() < until:
            try:
                line = self.lines.get(timeout=WAIT_S)
            except queue.Empty:
                break
            if line["event"] == name:
                self.passed = seen
                return line
            seen.append(line)
        raise AssertionError(f"no {name} among {seen}")

    def client(self, front: str = "platform") -> http.client.HTTPConnection:
        host, port = self.listening[front].split(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_S)

    def call(self, method: str, path: str) -> Answer:
        """One call at the operators' address."""
        client = self.client("operator")
        client.request(method, path)
        return take(client)

    def figures(self) -> dict[str, str]:
        """What /stats says."""
        lines = self.call("GET", "/stats").body.decode().splitlines()
        return dict(line.split(":") for line in lines)


@dataclass
class Node(Process):
    """The program with one reader, one writer (or more of them) and discovery."""

    folder: Path
    readers: int = 1
    writers: int = 1
    hung: int = 0  # further writers that no connection reaches
    sockets: int = 256
    memory_mb: float = 192
    files: dict[str, str] = field(default_factory=dict)  # deploy files by name
    clients: list[http.client.HTTPConnection] = field(default_factory=list)  # whose answers a test waits for
    told: Callable[[Node], str] = lambda _: ""  # what discovery says first of all
    operator: bool = False  # it listens at a second address too

    def __enter__(self) -> Node:
        gone = threading.Event()
        self.deleted = queue.Queue[Call]()
        self.watches = queue.Queue[Call]()

        def release(call: Call) -> bool:
            if call.method == "DELETE":
                call.answer(204)
                self.deleted.put(call)
            return call.method == "DELETE"

        def watch(call: Call) -> bool:
            call.begin().chunk(self.told(self) + "\n")
            self.watches.put(call)
            gone.wait()
            return True

        self.stop_watches = gone
        self.reader = [StandIn(release) for _ in range(self.readers)]
        self.writer = [StandIn(release) for _ in range(self.writers)]
        self.away = [Hung() for _ in range(self.hung)]
        self.discovery = StandIn(watch)
        self.config = {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.listing(7), "settings": SETTINGS,
        }  # fmt: skip
        if self.operator:
            self.config["operator"] = "127.0.0.2:0"
        self.configure()
        for name, text in self.files.items():
            (self.folder / name).write_text(text)
        self.later: list[Process] = []
        self.start(self.folder)
        return self

    def __exit__(self, *_: object) -> None:
        for process in (self, *self.later):
            process.kill()
        self.stop_watches.set()
        for each in [*self.reader, *self.writer, self.discovery]:
            each.close()
        for away in self.away:
            away.close()

    def successor(self) -> Process:
        """Start the program again beside this one, with another second address."""
        self.configure(operator=f"127.0.0.{len(self.later) + 3}:0")
        self.later.append(Process())
        self.later[-1].start(self.folder)
        return self.later[-1]

    def configure(self, **changes: Any) -> None:
        """Write the configuration's file, with changes."""
        self.config |= changes
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def listing(self, index: int, **status: str) -> dict[str, Any]:
        """The whole list; `status` gives servers by name another state."""
        fleet: list[tuple[str, str, StandIn | Hung]]
        fleet = [(f"r{n}", "prefill", each) for n, each in enumerate(self.reader)]
        fleet += [(f"w{n}", "decode", each) for n, each in enumerate(self.writer)]
        fleet += [(f"h{n}", "decode", each) for n, each in enumerate(self.away)]
        entries = [
            {"name": name, "address": each.address, "zone": "east", "type": kind, "group": 1,
             "status": status.get(name, "active"), "weight": 1.0, "since_ms": 0}
            for name, kind, each in fleet
        ]  # fmt: skip
        return {"index": index, "snapshot": True, "endpoints": entries}

    def post(self, name: str, body: bytes | None = None, **headers: str) -> http.client.HTTPConnection:
        """Send a platform request and leave its answer to be taken."""
        told = {
            "X-Call-Id": name, "X-Call-Class": "query", "X-Caller": "farm",
            "X-Route-Hash": "7f3a9c21e0b4d655", "X-Budget-Ms": "4800",
            "X-Call-Info": "prompt_len=9,max_out=80",
        }  # fmt: skip
        told |= {key.replace("_", "-"): value for key, value in headers.items()}
        client = self.client()
        text = body if body is not None else b'{"model":"chat","stream":true,"messages":[]}'
        client.request("POST", "/v1/chat/completions", text, {k: v for k, v in told.items() if v != "-"})
        return client

    def chat(self, told: Any, **headers: str) -> http.client.HTTPConnection:
        """Send a chat request and leave its answer to be taken."""
        client = self.client("chat")
        text = told if isinstance(told, bytes) else json.dumps(told).encode()
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        client.request("POST", "/v1/chat/completions", text, {"X-Caller": "farm"} | named)
        return client


def take(client: http.client.HTTPConnection) -> Answer:
    """The whole answer."""
    answer = client.getresponse()
    return Answer(answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read())
