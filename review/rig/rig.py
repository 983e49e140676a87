"""What the cases share: the platform that starts conductors, and stand-ins of servers, discovery and clients.

A case is an `async def play(case: Case)`; `run(play)` ends the process with 0 (the rule held), 1 (it was
broken) or 2 (the case could not run). Only the standard library is used, every address is one of the
loopback, and only processes that were started here are ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 112.0  # of a whole case
SPAWN_LIMIT_S = 20.0

SETTINGS: dict[str, Any] = {
    "azs": ["east"],
    "shapes": ["prefill", "decode", "mixed"],
    "caps": {
        "cancel": True, "max_attempts": 6, "retry_after": True, "max_retry_after_ms": 1000.0,
        "keepalive_ms": 30000.0, "connect_timeout_ms": 250.0, "second_copies": False,
    },
    "classes": [
        {"name": "yard-query", "effect": "retryable", "worth": 2.0,
         "deadline_ms": 5000.0, "goal_time_ms": 1200.0},
        {"name": "manifest-booking", "effect": "fragile", "worth": 6.0,
         "deadline_ms": 12000.0, "goal_time_ms": 2500.0},
    ],
    "tenants": [
        {"name": "tokachi-farm-coop", "fraction": 0.6},
        {"name": "kushiro-fish-union", "fraction": 0.4},
    ],
    "stats": {"how": "piggyback", "fields": ["x0", "x1"]},
    "specifics": {
        "role_by_kind": ["read", "write", "both"], "token_aim_ms": [50.0, 80.0], "resume": True,
        "let_go_by_ms": 500.0, "read_in_place": True,
    },
    "safety": {
        "cold_share": 0.28, "warm_after_ms": 13000.0, "fall_multiple": 3.0, "overload_for_ms": 3000.0,
        "drain_grace_ms": 250.0, "answer_slack_ms": 8.0,
    },
    "replicas_of_me": 1, "position": 0, "tick_ms": 2.0, "zone": 0, "membership_mode": "automatic",
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not be set up, which says nothing of the rule."""


@dataclass
class Case:
    """One play of a case: its record, its processes and its findings."""

    folder: Path  # of the case: record.txt is written there
    work: Path  # temporary
    trouble: bool
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    conductors: list[Conductor] = field(default_factory=list)

    def note(self, what: str, **fields: Any) -> None:
        """Add a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f}  {what}  {text}".rstrip())

    def breaks(self, finding: str) -> None:
        """The rule is broken."""
        self.broken.append(finding)
        self.note("BROKEN", finding=finding)


def free_address() -> str:
    """A loopback address that nobody listens at."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


def free_udp_address() -> str:
    """The same for datagrams."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


# HTTP


@dataclass
class Message:
    """A request that a stand-in got, or an answer that a client got."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start[1])

    def json(self) -> Any:
        """The body."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    start, *fields = head[:-4].split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (each.partition(":") for each in fields)
    }
    return Message(start.split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message; IncompleteReadError if its connection ends before."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def encode(start: str, body: bytes = b"", **headers: str) -> bytes:
    """Encode a message."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()} | {
        "Content-Length": str(len(body))
    }
    return (start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode() + body


def chunk(text: str) -> bytes:
    """Encode one chunk."""
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


async def call(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 20.0, **headers: str
) -> Message:
    """Make one request on a new connection; OSError, TimeoutError or IncompleteReadError if it fails."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", body, Host=address, **headers))
            return await read_message(reader)
        finally:
            writer.close()


class StandIn:
    """A server on a loopback address; `respond` answers each request."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to listen, at the same address as before if there was one."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=256)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()

    def die(self) -> None:
        """End as a process does that is killed: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self.respond(await read_message(reader), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


@dataclass
class Run:
    """A request that an engine got whole, and so began."""

    at_s: float
    engine: str
    name: str  # X-Call-Id
    text: str  # the last message of the prompt: what is asked for


class Engine(StandIn):
    """A reader, writer or mixed server that behaves as the protocol page says."""

    def __init__(self, case: Case, name: str, role: str) -> None:
        super().__init__()
        self.case, self.name, self.role = case, name, role
        self.read_s, self.write_s = 0.03, 0.05
        self.runs: list[Run] = []  # of requests at a writer or mixed server
        self.hangs = asyncio.Event()  # set: says nothing
        self.resumed = asyncio.Event()
        self.quiet = False  # its runs are not recorded

    async def respond(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a read, a write or a release."""
        method, path = request.start[:2]
        if path.startswith("/internal/"):
            await self._pause()
            writer.write(
                encode("HTTP/1.1 204 No Content" if method == "DELETE" else "HTTP/1.1 404 Not Found")
            )
            return
        if method != "POST":
            writer.write(encode("HTTP/1.1 404 Not Found"))
            return
        text = json.loads(request.body)["messages"][-1]["content"]
        name = request.headers.get("x-call-id", "")
        if self.role == "prefill":
            await self._pause()
            await asyncio.sleep(self.read_s)
            writer.write(encode("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
            return
        self.runs.append(Run(time.monotonic(), self.name, name, text))
        if not self.quiet:
            self.case.note("runs", engine=self.name, call=name, asks=repr(text))
        await self._pause()
        await asyncio.sleep(self.write_s)
        await self.stream(writer, text)

    async def stream(self, writer: asyncio.StreamWriter, text: str) -> None:
        """Answer with a stream."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for word in ("answer", " to ", text):
            choice = {"index": 0, "delta": {"content": word}, "finish_reason": None}
            writer.write(chunk(f"data: {json.dumps({'choices': [choice]})}\n\n"))
            await writer.drain()
            await asyncio.sleep(0.01)
        usage = {"prompt_tokens": 20, "completion_tokens": 3, "prompt_tokens_details": {"cached_tokens": 0}}
        writer.write(
            chunk(f"data: {json.dumps({'choices': [], 'usage': usage})}\n\ndata: [DONE]\n\n") + b"0\r\n\r\n"
        )
        await writer.drain()

    async def _pause(self) -> None:
        if self.hangs.is_set():
            await self.resumed.wait()

    def hang(self) -> None:
        """Say nothing from now on; connections come up as before."""
        self.resumed.clear()
        self.hangs.set()

    def resume(self) -> None:
        """Go on."""
        self.hangs.clear()
        self.resumed.set()


class Discovery(StandIn):
    """Discovery's agent: the whole list, and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self._log: list[tuple[int, list[dict[str, Any]]]] = []
        self._changed = asyncio.Event()

    def entry(
        self, engine: Engine, status: str = "active", since_ms: float = 0, group: int = 1
    ) -> dict[str, Any]:
        """The entry of an engine."""
        return {
            "name": engine.name, "address": engine.address, "zone": "east", "type": engine.role,
            "group": group, "status": status, "weight": 1.0, "since_ms": since_ms,
        }  # fmt: skip

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries, and tell all watches."""
        self.index += 1
        for each in entries:
            if each["status"] == "left":
                self.entries.pop(each["name"], None)
            else:
                self.entries[each["name"]] = each
        self._log.append((self.index, list(entries)))
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer with the list or a watch."""
        path, _, query = request.start[1].partition("?")
        if path != "/v1/endpoints":
            writer.write(encode("HTTP/1.1 404 Not Found"))
            return
        if "watch=1" not in query:
            writer.write(encode("HTTP/1.1 200 OK", json.dumps(self.listing()).encode()))
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        after = int(query.rpartition("after=")[2] or 0)
        if self._log and self._log[0][0] <= after + 1 and after <= self.index:
            seen = after  # what changed after that version
        else:
            writer.write(chunk(json.dumps(self.listing()) + "\n"))
            seen = self.index
        while True:
            changed = self._changed
            while seen < self.index:
                index, entries = self._log[seen - self.index]
                text = json.dumps({"index": index, "snapshot": False, "endpoints": entries})
                writer.write(chunk(text + "\n"))
                seen = index
            await writer.drain()
            try:
                await asyncio.wait_for(changed.wait(), 2.0)
            except TimeoutError:
                writer.write(chunk("\n"))


# The platform


class Conductor:
    """One process of the program, started with the command of the deploy file."""

    def __init__(self, case: Case, name: str, tmp: Path | None = None) -> None:
        self.case, self.name = case, name
        self.tmp = tmp or case.work / name / "tmp"
        self.files = case.work / name / "deploy"
        self.tmp.mkdir(parents=True, exist_ok=True)
        self.files.mkdir(parents=True, exist_ok=True)
        self.listen = free_address()
        self.operator = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.log = self.tmp.parent / f"log-{len(case.conductors)}.jsonl"
        case.conductors.append(self)

    def configure(
        self, discovery: Discovery, settings: dict[str, Any], memory_mb: float = 192, **more: Any
    ) -> None:
        """Write the configuration."""
        config = {
            "name": self.name, "listen": self.listen, "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.listing(), "settings": settings,
        } | more  # fmt: skip
        if self.operator:
            config["operator"] = self.operator
        self.config = self.tmp.parent / f"config-{self.log.stem}.json"
        self.config.write_text(json.dumps(config))

    def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "RINGLEDGE_"))
        }
        environ |= {
            "RELAY_CONFIG": str(self.config),
            "RINGLEDGE_DEPLOY": str(self.files),
            "TMPDIR": str(self.tmp),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.case.note("started", conductor=self.name, pid=self.process.pid)

    async def ready(self) -> None:
        """Wait until the process says that it is ready."""
        deadline_s = time.monotonic() + SPAWN_LIMIT_S
        while time.monotonic() < deadline_s:
            if not self.alive():
                raise CannotRunError(f"{self.name} ended at its start: {self.tail()}")
            if any(line.get("event") == "ready" for line in self.logged()):
                with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    if (await call(self.listen, "GET", "/ready", timeout_s=2.0)).status == 200:
                        self.case.note("ready", conductor=self.name)
                        return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready in time: {self.tail()}")

    def logged(self) -> list[dict[str, Any]]:
        """The log so far; what is no JSON is left out."""
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return [line for line in lines if isinstance(line, dict)]

    def tail(self, count: int = 3) -> str:
        """The end of the log."""
        text = self.log.read_text(errors="replace").replace(str(ROOT) + "/", "")
        return " | ".join(each[-300:].strip(" |") for each in text.splitlines()[-count:])

    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.case.note("signal", conductor=self.name, pid=self.process.pid, signal=number.name)

    def end(self) -> None:
        """End the process for good."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()


async def until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Wait for a condition of the set-up; CannotRunError if it does not come true."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise CannotRunError(f"not in time: {what}")
        await asyncio.sleep(0.05)


def run(play: Callable[[Case], Awaitable[None]], folder: Path) -> None:
    """Play a case and end this process with its verdict."""
    work = Path(tempfile.mkdtemp(prefix="ringledge-review-"))
    case = Case(folder, work, os.environ.get("TROUBLE", "1") != "0")
    case.note("case", folder=folder.name, trouble=int(case.trouble))

    async def limited() -> None:
        async with asyncio.timeout(LIMIT_S):
            await play(case)

    verdict = 0
    try:
        asyncio.run(limited())
    except CannotRunError as error:
        case.note("CANNOT RUN", why=error)
        verdict = 2
    except Exception:  # noqa: BLE001  whatever fails here says nothing of the rule
        case.note("CANNOT RUN", why=traceback.format_exc().replace("\n", " / "))
        verdict = 2
    finally:
        for conductor in case.conductors:
            conductor.end()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(work, ignore_errors=True)
    if case.broken:
        verdict = 1
    case.note("verdict", exit=verdict, broken=len(case.broken))
    (folder / "record.txt").write_text("\n".join(case.lines) + "\n")
    sys.stdout.write("\n".join(case.lines[-4:]) + "\n")
    sys.exit(verdict)
