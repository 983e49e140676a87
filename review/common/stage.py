"""Parts that the cases share: stand-in servers, discovery, the conductor as a process, a chat client.

Everything listens on free ports of 127.0.0.1. The stand-ins do what the protocol page says and nothing else:
a reader answers 202, a writer streams events, both accept DELETE; discovery sends the list and empty lines.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
START_S = 30.0  # a conductor has to be ready within this time
LIMIT_S = 115  # a script ends by itself before its 120 s are over
HELD, BROKEN, NOT_RUN = 0, 1, 2

# A small deployment: one zone, a class that may be repeated, and one that must never run twice.
SETTINGS: dict[str, Any] = {
    "azs": ["hall"],
    "shapes": ["prefill", "decode"],
    "caps": {
        "cancel": True,
        "max_attempts": 6,
        "retry_after": True,
        "max_retry_after_ms": 1000.0,
        "keepalive_ms": 30000.0,
        "connect_timeout_ms": 250.0,
        "second_copies": False,
    },
    "classes": [
        {"name": "query", "deadline_ms": 5000.0, "goal_time_ms": 1200.0, "effect": "retryable", "worth": 2.0},
        {
            "name": "booking",
            "deadline_ms": 12000.0,
            "goal_time_ms": 2500.0,
            "effect": "fragile",
            "worth": 6.0,
        },
    ],
    "tenants": [{"name": "farm", "fraction": 1.0}],
    "stats": {"how": "piggyback", "fields": ["x0", "x1"]},
    "specifics": {
        "role_by_kind": ["read", "write"],
        "token_aim_ms": [50.0, 80.0],
        "resume": True,
        "let_go_by_ms": 500.0,
    },
    "safety": {
        "cold_share": 0.28,
        "warm_after_ms": 13000.0,
        "fall_multiple": 3.0,
        "overload_for_ms": 3000.0,
        "drain_grace_ms": 250.0,
    },
    "replicas_of_me": 1,
    "position": 0,
    "tick_ms": 2.0,
    "zone": 0,
    "membership_mode": "automatic",
}

CHAT = """enabled = true
listen = "127.0.0.1:0"
tenant = "farm"

[models]
yard-assistant = "query"
yard-booking = "booking"
"""


class CaseError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """The file `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Add one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()


class Call:
    """A request at a stand-in server, with its connection."""

    def __init__(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        self._handler = handler
        self.method, self.path, self.body = handler.command, handler.path, body
        self.id = handler.headers.get("X-Call-Id", "")

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a complete answer."""
        self._handler.send_response(status)
        for name, value in headers.items():
            self._handler.send_header(name.replace("_", "-"), value)
        self._handler.send_header("Content-Length", str(len(body)))
        self._handler.end_headers()
        self._handler.wfile.write(body)

    def stream(self, tokens: list[str], pace_s: float = 0.0) -> None:
        """Stream the tokens as events, then the usage and the end."""
        self.begin()
        for number, token in enumerate(tokens):
            if number:
                time.sleep(pace_s)
            self.token(token)
        self.end(len(tokens))

    def begin(self) -> None:
        """Send the head of a stream."""
        self._handler.send_response(200)
        self._handler.send_header("Content-Type", "text/event-stream")
        self._handler.send_header("Transfer-Encoding", "chunked")
        self._handler.end_headers()

    def token(self, text: str) -> None:
        """Send one event."""
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        self._chunk(f"data: {json.dumps({'choices': [choice]})}\n\n")

    def end(self, count: int) -> None:
        """Send the last events and the last chunk."""
        stop = {"choices": [{"index": 0, "delta": {"content": ""}, "finish_reason": "stop"}]}
        usage = {"choices": [], "usage": {"prompt_tokens": 9, "completion_tokens": count}}
        self._chunk(f"data: {json.dumps(stop)}\n\ndata: {json.dumps(usage)}\n\ndata: [DONE]\n\n")
        self._handler.wfile.write(b"0\r\n\r\n")

    def break_off(self) -> None:
        """Close the connection without the last chunk."""
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self._handler.connection.shutdown(socket.SHUT_RDWR)

    def _chunk(self, text: str) -> None:
        self._handler.wfile.write(f"{len(text.encode()):x}\r\n{text}\r\n".encode())


class Server:
    """A stand-in server; `answer` is called with each request, in the connection's thread."""

    def __init__(self, name: str, record: Record, answer: Callable[[Call], None]) -> None:
        self.name, self._record = name, record
        self.answer = answer
        self.bodies: list[dict[str, Any]] = []  # of the requests that arrived whole
        self.arrived_s: list[float] = []  # when each of them did
        self._sockets: set[socket.socket] = set()
        stand_in = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                stand_in._sockets.add(self.connection)

            def finish(self) -> None:
                stand_in._sockets.discard(self.connection)
                with contextlib.suppress(OSError):
                    super().finish()

            def do_POST(self) -> None:  # noqa: N802
                stand_in._take(Call(self, self.rfile.read(int(self.headers.get("Content-Length", 0)))))

            def do_DELETE(self) -> None:  # noqa: N802
                Call(self, b"").answer(204)

            def do_GET(self) -> None:  # noqa: N802
                Call(self, b"").answer(404)

            def log_message(self, *_: object) -> None:
                pass

        self._http = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._http.daemon_threads, self._http.block_on_close = True, False
        self._http.handle_error = lambda *_: None  # type: ignore[method-assign]
        self.address = f"127.0.0.1:{self._http.server_port}"
        threading.Thread(target=self._http.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self) -> None:
        """End like a process that died: connections are reset, new ones refused."""
        self._http.shutdown()
        self._http.server_close()
        for sock in list(self._sockets):
            reset(sock)

    def _take(self, call: Call) -> None:
        body = json.loads(call.body)
        self.arrived_s.append(time.monotonic())
        self.bodies.append(body)
        self._record.write(f"{self.name} got {call.id}: {last_words(body)}")
        with contextlib.suppress(OSError):
            self.answer(call)
            self._record.write(f"{self.name} answered {call.id}")

    def runs_of(self, words: str) -> int:
        """How many requests with these last words arrived whole."""
        return sum(last_words(body) == words for body in self.bodies)


def last_words(body: dict[str, Any]) -> str:
    """The content of the last message of a request that is not the assistant's."""
    texts = [each["content"] for each in body.get("messages", ()) if each.get("role") != "assistant"]
    return str(texts[-1])[:60] if texts else ""


def read(call: Call) -> None:
    """What a sound reader does."""
    call.answer(202, b'{"cached_tokens":0}')


class Discovery:
    """The agent that tells the list: the whole list first, each change, an empty line every 2 s."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.endpoints, self.index = endpoints, 1
        self._watches: list[queue.Queue[str]] = []
        self._sockets: set[socket.socket] = set()
        self._port = 0
        self.up()
        self.address = f"127.0.0.1:{self._port}"

    def up(self) -> None:
        """Listen, again at the same port."""
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                discovery._sockets.add(self.connection)

            def finish(self) -> None:
                discovery._sockets.discard(self.connection)
                with contextlib.suppress(OSError):
                    super().finish()

            def do_GET(self) -> None:  # noqa: N802
                discovery._answer(self)

            def log_message(self, *_: object) -> None:
                pass

        self._http = ThreadingHTTPServer(("127.0.0.1", self._port), Handler)
        self._http.daemon_threads, self._http.block_on_close = True, False
        self._http.handle_error = lambda *_: None  # type: ignore[method-assign]
        self._port = self._http.server_port
        threading.Thread(target=self._http.serve_forever, args=(0.02,), daemon=True).start()

    def down(self) -> None:
        """End like a process that died: connections are reset, new ones refused."""
        self._http.shutdown()
        self._http.server_close()
        for sock in list(self._sockets):
            reset(sock)

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.endpoints}

    def set_status(self, status: str, *names: str) -> None:
        """Change the status of servers, and tell the change on each open watch."""
        self.index += 1
        changed = [each for each in self.endpoints if each["name"] in names]
        for each in changed:
            each["status"] = status
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": changed})
        for watch in list(self._watches):
            watch.put(line)

    def _answer(self, handler: BaseHTTPRequestHandler) -> None:
        if "watch=1" not in handler.path:
            Call(handler, b"").answer(200, json.dumps(self.listing()).encode())
            return
        lines: queue.Queue[str] = queue.Queue()
        lines.put(json.dumps(self.listing()))
        self._watches.append(lines)
        with contextlib.suppress(OSError):
            handler.send_response(200)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()
            while True:
                try:
                    line = lines.get(timeout=2.0)
                except queue.Empty:
                    line = ""
                handler.wfile.write(f"{len(line) + 1:x}\r\n{line}\n\r\n".encode())
        handler.close_connection = True
        self._watches.remove(lines)


def reset(sock: socket.socket) -> None:
    """Reset a connection whose thread may still use it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)  # wakes a thread that reads
        os.close(sock.detach())


class Conductor:
    """One process of the program, started with the deploy file's line `run`."""

    def __init__(self, stage: Stage, name: str, config: dict[str, Any]) -> None:
        self.label = f"{name}#{len(stage.conductors) + 1}"
        folder = stage.folder / name
        folder.mkdir(exist_ok=True)
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        environ = {
            key: each for key, each in os.environ.items() if not key.startswith(("RELAY_", "RINGLEDGE_"))
        }
        environ |= {"RELAY_CONFIG": str(path), "TMPDIR": str(folder), "RINGLEDGE_DEPLOY": str(stage.deploy)}
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        self.events: list[dict[str, Any]] = []
        self._record = stage.record
        self._stage_log = (stage.logs / f"{self.label}.log").open("wb")
        threading.Thread(target=self._read_log, daemon=True).start()
        stage.record.write(f"{self.label} started")

    def _read_log(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self._stage_log.write(line)
            self._stage_log.flush()
            with contextlib.suppress(ValueError):
                self.events.append(json.loads(line))

    def logged(self, event: str) -> dict[str, Any] | None:
        """The first log line of this event so far."""
        return next((each for each in self.events if each.get("event") == event), None)

    def wait_ready(self) -> Conductor:
        """Wait until the program says that it is ready."""
        line = wait_for(lambda: self.logged("ready"), START_S, f"{self.label} is not ready")
        self._listening: dict[str, str] = line["listening"]
        return self

    def address(self, front: str) -> tuple[str, int]:
        """Where a front listens."""
        host, _, port = self._listening[front].rpartition(":")
        return host, int(port)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self._record.write(f"{self.label} gets {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Stage:
    """The folder, the record, the servers and the conductors of one case."""

    def __init__(self, case: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case / "record.txt")
        self.record.write(f"TROUBLE={int(self.trouble)}")
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._temporary.name)
        self.deploy, self.logs = self.folder / "deploy", self.folder / "logs"
        self.deploy.mkdir()
        self.logs.mkdir()
        self.servers: list[tuple[str, Server]] = []  # with its kind
        self.conductors: list[Conductor] = []
        self.discovery: Discovery | None = None

    def server(self, kind: str, answer: Callable[[Call], None]) -> Server:
        """Start a stand-in server of a kind."""
        server = Server(f"{kind}-{len(self.servers) + 1}", self.record, answer)
        self.servers.append((kind, server))
        return server

    def file(self, name: str, text: str) -> None:
        """Write an operators' file."""
        (self.deploy / name).write_text(text)

    def conductor(self, name: str = "n1", **changes: Any) -> Conductor:
        """Start a conductor; it is not waited for."""
        if self.discovery is None:
            self.discovery = Discovery(
                [
                    {
                        "name": server.name,
                        "address": server.address,
                        "zone": "hall",
                        "type": kind,
                        "group": 1,
                        "status": "active",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                    for kind, server in self.servers
                ]
            )
        config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "operator": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self.discovery.listing(),
            "settings": SETTINGS,
        }
        self.conductors.append(Conductor(self, name, config | changes))
        return self.conductors[-1]

    def close(self) -> None:
        """End every process that was started."""
        for conductor in self.conductors:
            conductor.kill()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.logs.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def wait_for(check: Callable[[], Any], timeout_s: float, what: str) -> Any:
    """Wait until `check` returns something true, and return that; CaseError after the time."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if found := check():
            return found
        time.sleep(0.02)
    raise CaseError(what)


def open_chat(
    conductor: Conductor, words: str, model: str = "yard-booking", *, stream: bool = False, **headers: str
) -> http.client.HTTPConnection:
    """Send a chat request and return its connection."""
    body = {"model": model, "stream": stream, "messages": [{"role": "user", "content": words}]}
    fields = {name.replace("_", "-"): each for name, each in headers.items()}
    client = http.client.HTTPConnection(*conductor.address("chat"), timeout=40.0)
    client.request("POST", "/v1/chat/completions", json.dumps(body), {"X-Caller": "farm"} | fields)
    return client


def take(client: http.client.HTTPConnection) -> tuple[int, dict[str, str], bytes]:
    """Read the complete answer; status 0 if the connection ended without one."""
    try:
        answer = client.getresponse()
        return answer.status, {name.lower(): each for name, each in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        client.close()


def get(conductor: Conductor, path: str) -> tuple[int, dict[str, str], bytes]:
    """Ask the chat front for a path."""
    client = http.client.HTTPConnection(*conductor.address("chat"), timeout=10.0)
    client.request("GET", path, headers={"X-Caller": "farm"})
    return take(client)


def main(case: str, play: Callable[[Stage], str]) -> None:
    """Play a case; `play` returns how the rule was broken, or an empty text if it held."""
    signal.signal(signal.SIGALRM, _out_of_time)
    signal.alarm(LIMIT_S)
    stage = Stage(Path(case).resolve().parent)
    status = NOT_RUN
    try:
        broken = play(stage)
        stage.record.write(f"BROKEN: {broken}" if broken else "the rule held")
        print(f"BROKEN: {broken}" if broken else "the rule held")
        status = BROKEN if broken else HELD
    except (CaseError, OSError, http.client.HTTPException) as error:
        stage.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        stage.close()
    sys.exit(status)


def _out_of_time(*_: object) -> None:
    raise CaseError("out of time")
