"""Starts the program as a process on loopback, with stand-in servers and a stand-in discovery service."""

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
from pathlib import Path
from typing import Any

from tests.standins import REPORT as REPORT
from tests.standins import WAIT_S as WAIT_S
from tests.standins import Call as Call
from tests.standins import StandIn as StandIn
from tests.standins import UnreachableServer as UnreachableServer
from tests.standins import event as event

ROOT = Path(__file__).parent.parent


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
    """The program as a process, started with the configuration in a folder. Collects its log lines."""

    module = "ringledge"  # Python module to run
    descriptors = 0  # limit of open file descriptors; 0 inherits the limit of the test process

    def start(self, folder: Path, *flags: str) -> None:
        self.start_process(folder, *flags)
        self.wait_until_ready()

    def wait_until_ready(self) -> None:
        self.listening = self.logged("ready")["listening"]

    def start_process(self, folder: Path, *flags: str) -> None:
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "RINGLEDGE_"))}
        environ |= {"RELAY_CONFIG": str(folder / "config.json"), "RINGLEDGE_DEPLOY": str(folder)}
        environ["TMPDIR"] = str(folder)
        command = [sys.executable, *flags, "-m", self.module]
        limit = ["prlimit", f"--nofile={self.descriptors}"] if self.descriptors else []
        self.process = subprocess.Popen([*limit, *command], cwd=ROOT, env=environ, stderr=subprocess.PIPE)
        self.lines = queue.Queue[dict[str, Any]]()
        threading.Thread(target=self._read_log, daemon=True).start()

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
        """Waits for the next log line with this event; earlier lines are kept in `skipped_lines`."""
        lines_read, deadline_s = list[dict[str, Any]](), time.monotonic() + WAIT_S
        while time.monotonic() < deadline_s:
            try:
                line = self.lines.get(timeout=WAIT_S)
            except queue.Empty:
                break
            if line["event"] == name:
                self.skipped_lines = lines_read
                return line
            lines_read.append(line)
        raise AssertionError(f"event {name} was not logged in time; lines read: {lines_read}")

    def client(self, front: str = "platform") -> http.client.HTTPConnection:
        return http.client.HTTPConnection(*self.address(front), timeout=WAIT_S)

    def address(self, front: str = "platform") -> tuple[str, int]:
        """Host and port that a front listens on."""
        host, port = self.listening[front].split(":")
        return host, int(port)

    def connect(self) -> socket.socket:
        """Opens a TCP connection to the platform front, for input that no HTTP client library sends."""
        return socket.create_connection(self.address(), WAIT_S)

    def call(self, method: str, path: str) -> Answer:
        """Sends a request to the operator address and returns the response."""
        client = self.client("operator")
        client.request(method, path)
        return take(client)

    def stats(self) -> dict[str, str]:
        """Returns the metrics of /stats, by name."""
        lines = self.call("GET", "/stats").body.decode().splitlines()
        return dict(line.split(":") for line in lines)


@dataclass
class Node(Process):
    """The program under test with its stand-in readers, writers and discovery service."""

    folder: Path
    readers: int = 1
    writers: int = 1
    unreachable: int = 0  # number of additional writers that accept no connection
    mixed: tuple[StandIn, ...] = ()  # mixed servers owned by the caller, each in its own group
    sockets: int = 256
    descriptors: int = 0
    memory_mb: float = 192
    files: dict[str, str] = field(default_factory=dict)  # contents of settings files, by file name
    clients: list[http.client.HTTPConnection] = field(default_factory=list)  # connections awaiting responses
    initial_listing: Callable[[Node], str] = lambda _: ""  # first text on each watch
    operator: bool = False  # also listen on an operator address
    flags: tuple[str, ...] = ()  # options of the Python interpreter
    name: str = "n1"
    module: str = "ringledge"

    def __enter__(self) -> Node:
        stopped = threading.Event()
        self.deleted = queue.Queue[Call]()
        self.watches = queue.Queue[Call]()

        def release(call: Call) -> bool:
            if call.method == "DELETE":
                call.answer(204)
                self.deleted.put(call)
            return call.method == "DELETE"

        def watch(call: Call) -> bool:
            call.begin().chunk(self.initial_listing(self) + "\n")
            self.watches.put(call)
            stopped.wait()
            return True

        self.stop_watches = stopped
        self.reader = [StandIn(release) for _ in range(self.readers)]
        self.writer = [StandIn(release) for _ in range(self.writers)]
        self.unreachable_server = [UnreachableServer() for _ in range(self.unreachable)]
        self.discovery = StandIn(watch)
        self.config = {
            "name": self.name, "listen": "127.0.0.1:0", "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.listing(7), "settings": SETTINGS,
        }  # fmt: skip
        if self.operator:
            self.config["operator"] = "127.0.0.2:0"
        self.configure()
        for name, text in self.files.items():
            (self.folder / name).write_text(text)
        self.extra_processes: list[Process] = []
        self.start(self.folder, *self.flags)
        return self

    def __exit__(self, *_: object) -> None:
        for process in (self, *self.extra_processes):
            process.kill()
        self.stop_watches.set()
        for each in [*self.reader, *self.writer, self.discovery]:
            each.close()
        for unreachable_server in self.unreachable_server:
            unreachable_server.close()

    def successor(self) -> Process:
        """Starts a successor process beside this one, with a different operator address."""
        self.configure(operator=f"127.0.0.{len(self.extra_processes) + 3}:0")
        self.extra_processes.append(Process())
        self.extra_processes[-1].start(self.folder)
        return self.extra_processes[-1]

    def configure(self, **changes: Any) -> None:
        """Applies changes to the configuration and writes the configuration file."""
        self.config |= changes
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def listing(self, index: int, **status: str) -> dict[str, Any]:
        """The complete endpoint list; `status` overrides the status of servers by name."""
        fleet: list[tuple[str, str, StandIn | UnreachableServer]]
        fleet = [(f"r{n}", "prefill", each) for n, each in enumerate(self.reader)]
        fleet += [(f"w{n}", "decode", each) for n, each in enumerate(self.writer)]
        fleet += [(f"h{n}", "decode", each) for n, each in enumerate(self.unreachable_server)]
        entries = [
            {"name": name, "address": each.address, "zone": "east", "type": kind, "group": 1,
             "status": status.get(name, "active"), "weight": 1.0, "since_ms": 0}
            for name, kind, each in fleet
        ]  # fmt: skip
        for n, each in enumerate(self.mixed):
            fields = {"name": f"m{n}", "address": each.address, "type": "mixed", "group": n + 1}
            entries.append({"zone": "east", "status": "active", "weight": 1.0, "since_ms": 0} | fields)
        return {"index": index, "snapshot": True, "endpoints": entries}

    def post(self, name: str, body: bytes | None = None, **headers: str) -> http.client.HTTPConnection:
        """Sends a platform request; the caller reads the response with `take`."""
        fields = {
            "X-Call-Id": name, "X-Call-Class": "query", "X-Caller": "farm",
            "X-Route-Hash": "7f3a9c21e0b4d655", "X-Budget-Ms": "4800",
            "X-Call-Info": "prompt_len=9,max_out=80",
        }  # fmt: skip
        fields |= {key.replace("_", "-"): value for key, value in headers.items()}
        client = self.client()
        text = body if body is not None else b'{"model":"chat","stream":true,"messages":[]}'
        client.request("POST", "/v1/chat/completions", text, {k: v for k, v in fields.items() if v != "-"})
        return client

    def chat(self, body: Any, **headers: str) -> http.client.HTTPConnection:
        """Sends a chat request; the caller reads the response with `take`."""
        client = self.client("chat")
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
        header_fields = {key.replace("_", "-"): value for key, value in headers.items()}
        client.request("POST", "/v1/chat/completions", text, {"X-Caller": "farm"} | header_fields)
        return client


def take(client: http.client.HTTPConnection) -> Answer:
    """Reads the complete response."""
    answer = client.getresponse()
    return Answer(answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read())


def read(node: Node, name: str = "a1", **headers: Any) -> tuple[http.client.HTTPConnection, Call]:
    """Sends a request and answers its prefill; returns the client and the decode call at the writer."""
    client = node.post(name, **headers)
    node.reader[0].next().read()
    return client, node.writer[0].next()
