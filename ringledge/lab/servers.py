"""Stand-in servers and discovery on loopback, as one process.

Each request's runs are counted, so that a booking that ran twice, or two attempts that were out together,
show in the audit whatever the conductor says.
"""

from __future__ import annotations

import asyncio
import signal
from dataclasses import asdict
from functools import partial
from pathlib import Path

import orjson

from ringledge.lab.audit import Audit
from ringledge.lab.deployment import SETTINGS
from ringledge.lab.http_peer import Peer, answer, chunk
from ringledge.lab.instances import Instance, ServersPlan

HOST = "127.0.0.1"
EMPTY_LINE_S = 2.0  # an open watch says so often that nothing has changed


class Discovery(Peer):
    """A connection to discovery: the list, a watch that stays quiet, and the audit."""

    def __init__(self, audit: Audit, listing: bytes) -> None:
        super().__init__()
        self.audit = audit
        self.listing = listing
        self.timer: asyncio.TimerHandle | None = None

    def handle(self, method: bytes, target: bytes) -> None:
        """Answer as discovery does."""
        if target == b"/audit":
            self.transport.write(answer(200, self.audit.as_json()))
        elif b"watch=1" in target:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.transport.write(chunk(self.listing + b"\n"))
            self._quiet()
        else:
            self.transport.write(answer(200, self.listing))

    def _quiet(self) -> None:
        self.transport.write(chunk(b"\n"))
        self.timer = asyncio.get_running_loop().call_later(EMPTY_LINE_S, self._quiet)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        if self.timer is not None:
            self.timer.cancel()


async def _serve(plan: ServersPlan, folder: Path, limits: dict[str, float], operator: str) -> None:
    loop, audit = asyncio.get_running_loop(), Audit()
    entries = []
    for number in range(plan.readers + plan.writers):
        prefills = number < plan.readers
        server = await loop.create_server(partial(Instance, audit, plan, prefills), HOST, 0, backlog=1024)
        entries.append({
            "name": f"{'r' if prefills else 'w'}{number}", "zone": "hall-east", "group": 1, "weight": 1.0,
            "address": f"{HOST}:{server.sockets[0].getsockname()[1]}", "status": "active", "since_ms": 0,
            "type": "prefill" if prefills else "decode",
        })  # fmt: skip
    listing = {"index": 1, "snapshot": True, "endpoints": entries}
    discovery = await loop.create_server(lambda: Discovery(audit, orjson.dumps(listing)), HOST, 0)
    address = f"{HOST}:{discovery.sockets[0].getsockname()[1]}"
    told = {
        "name": "lab", "listen": f"{HOST}:0", "operator": operator, "discovery": address, "seed": "1",
        "limits": limits, "known": listing, "settings": SETTINGS,
    }  # fmt: skip
    (folder / "config.json").write_bytes(orjson.dumps(told))
    print(orjson.dumps({"event": "ready", "discovery": address, "plan": asdict(plan)}).decode(), flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    print(audit.as_json().decode(), flush=True)


def run(plan: ServersPlan, folder: Path, limits: dict[str, float], operator: str) -> None:
    """Serve until a signal."""
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(_serve(plan, folder, limits, operator))
