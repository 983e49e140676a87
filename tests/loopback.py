"""The real program as a process, with stand-in servers and discovery beside it: the one way to start it."""

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
    """The program, started with a folder's configuration; its log as it comes."""

    module = "ringledge"  # that is run
    descriptors = 0  # that the system allows it; 0: as many as this process

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
        """The next log line of that event; `passed` are those before it."""
        seen, until = list[dict[str, Any]](), time.monotonic() + WAIT_S
        while time.monotonic() < until:
            try:
                line = self.lines.get(timeout=WAIT_S)
            except queue.Empty:
                break
            if line["event"] == name:
                self.skipped_lines = seen
                return line
            seen.append(line)
        raise AssertionError(f"no {name} among {seen}")

    def client(self, front: str = "platform") -> http.client.HTTPConnection:
        return http.client.HTTPConnection(*self.address(front), timeout=WAIT_S)

    def address(self, front: str = "platform") -> tuple[str, int]:
        """Host and port at which a front listens."""
        host, port = self.listening[front].split(":")
        return host, int(port)

    def connect(self) -> socket.socket:
        """A plain connection to the platform's front, for what no client library would send."""
        return socket.create_connection(self.address(), WAIT_S)

    def call(self, method: str, path: str) -> Answer:
        """One call at the operators' address."""
        client = self.client("operator")
        client.request(method, path)
        return take(client)

    def stats(self) -> dict[str, str]:
        """What /stats says."""
        lines = self.call("GET", "/stats").body.decode().splitlines()
        return dict(line.split(":") for line in lines)


@dataclass
class Node(Process):
    """The program with one reader, one writer (or more of them) and discovery."""

    folder: Path
    readers: int = 1
    writers: int = 1
    unreachable: int = 0  # further writers that no connection reaches
    mixed: tuple[StandIn, ...] = ()  # servers that do both, of whoever made them: each in a rack of its own
    sockets: int = 256
    descriptors: int = 0
    memory_mb: float = 192
    files: dict[str, str] = field(default_factory=dict)  # deploy files by name
    clients: list[http.client.HTTPConnection] = field(default_factory=list)  # whose answers a test waits for
    initial_listing: Callable[[Node], str] = lambda _: ""  # what discovery says first of all
    operator: bool = False  # it listens at a second address too
    flags: tuple[str, ...] = ()  # the interpreter's
    name: str = "n1"
    module: str = "ringledge"

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
            call.begin().chunk(self.initial_listing(self) + "\n")
            self.watches.put(call)
            gone.wait()
            return True

        self.stop_watches = gone
        self.reader = [StandIn(release) for _ in range(self.readers)]
        self.writer = [StandIn(release) for _ in range(self.writers)]
        self.unreachable_servers = [UnreachableServer() for _ in range(self.unreachable)]
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
        for away in self.unreachable_servers:
            away.close()

    def successor(self) -> Process:
        """Start the program again beside this one, with another second address."""
        self.configure(operator=f"127.0.0.{len(self.extra_processes) + 3}:0")
        self.extra_processes.append(Process())
        self.extra_processes[-1].start(self.folder)
        return self.extra_processes[-1]

    def configure(self, **changes: Any) -> None:
        """Write the configuration's file, with changes."""
        self.config |= changes
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def listing(self, index: int, **status: str) -> dict[str, Any]:
        """The whole list; `status` gives servers by name another state."""
        fleet: list[tuple[str, str, StandIn | UnreachableServer]]
        fleet = [(f"r{n}", "prefill", each) for n, each in enumerate(self.reader)]
        fleet += [(f"w{n}", "decode", each) for n, each in enumerate(self.writer)]
        fleet += [(f"h{n}", "decode", each) for n, each in enumerate(self.unreachable_servers)]
        entries = [
            {"name": name, "address": each.address, "zone": "east", "type": kind, "group": 1,
             "status": status.get(name, "active"), "weight": 1.0, "since_ms": 0}
            for name, kind, each in fleet
        ]  # fmt: skip
        for n, each in enumerate(self.mixed):
            its = {"name": f"m{n}", "address": each.address, "type": "mixed", "group": n + 1}
            entries.append({"zone": "east", "status": "active", "weight": 1.0, "since_ms": 0} | its)
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


def read(node: Node, name: str = "a1", **headers: Any) -> tuple[http.client.HTTPConnection, Call]:
    """Send a request and have it read; give the client and the call at the writer."""
    client = node.post(name, **headers)
    node.reader[0].next().read()
    return client, node.writer[0].next()
