"""Runs stand-in servers and a stand-in discovery on loopback in one process.

The servers count the attempts of each request. So the audit shows a booking that was decoded twice, or two
concurrent attempts of a request, independently of what the conductor reports.
"""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path
from typing import Any

import orjson

from ringledge.lab.audit import Audit
from ringledge.lab.deployment import SETTINGS
from ringledge.lab.http_peer import HttpConnection, encode_chunk, response
from ringledge.lab.instances import ServerConnection, StandInPlan

HOST = "127.0.0.1"
KEEP_ALIVE_INTERVAL_S = 2.0  # between the empty lines that keep a watch alive


class DiscoveryConnection(HttpConnection):
    """A connection to discovery, which serves the endpoint list, a watch without changes, and the audit."""

    def __init__(self, audit: Audit, endpoint_list: bytes) -> None:
        super().__init__()
        self.audit = audit
        self.endpoint_list = endpoint_list
        self.timer: asyncio.TimerHandle | None = None

    def handle(self, method: bytes, target: bytes) -> None:
        """Respond with the audit, a watch or the endpoint list."""
        if target == b"/audit":
            self.transport.write(response(200, self.audit.as_json()))
        elif b"watch=1" in target:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.transport.write(encode_chunk(self.endpoint_list + b"\n"))
            self._send_keep_alive()
        else:
            self.transport.write(response(200, self.endpoint_list))

    def _send_keep_alive(self) -> None:
        self.transport.write(encode_chunk(b"\n"))
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(KEEP_ALIVE_INTERVAL_S, self._send_keep_alive)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        if self.timer is not None:
            self.timer.cancel()


async def _start_servers(plan: StandInPlan, audit: Audit) -> list[dict[str, Any]]:
    """Start the prefill and decode servers, and return their entries in the endpoint list."""
    loop = asyncio.get_running_loop()
    entries = []
    for number in range(plan.prefill_servers + plan.decode_servers):
        is_prefill = number < plan.prefill_servers
        server = await loop.create_server(
            partial(ServerConnection, audit, plan, is_prefill), HOST, 0, backlog=1024
        )
        entries.append({
            "name": f"{'r' if is_prefill else 'w'}{number}", "zone": "hall-east", "group": 1, "weight": 1.0,
            "address": f"{HOST}:{server.sockets[0].getsockname()[1]}", "status": "active", "since_ms": 0,
            "type": "prefill" if is_prefill else "decode",
        })  # fmt: skip
    return entries


async def _serve(plan: StandInPlan, folder: Path, limits: dict[str, float], operator: str) -> None:
    loop, audit = asyncio.get_running_loop(), Audit()
    endpoint_list = {"index": 1, "snapshot": True, "endpoints": await _start_servers(plan, audit)}
    encoded_list = orjson.dumps(endpoint_list)
    discovery = await loop.create_server(lambda: DiscoveryConnection(audit, encoded_list), HOST, 0)
    address = f"{HOST}:{discovery.sockets[0].getsockname()[1]}"
    config = {
        "name": "lab", "listen": f"{HOST}:0", "operator": operator, "discovery": address, "seed": "1",
        "limits": limits, "known": endpoint_list, "settings": SETTINGS,
    }  # fmt: skip
    (folder / "config.json").write_bytes(orjson.dumps(config))
    ready = {"event": "ready", "discovery": address, "plan": plan.as_json()}
    print(orjson.dumps(ready).decode(), flush=True)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    print(audit.as_json().decode(), flush=True)


def run(plan: StandInPlan, folder: Path, limits: dict[str, float], operator: str) -> None:
    """Write a conductor's config.json to the folder, and serve until SIGTERM or SIGINT.

    `limits`, `operator`: values for config.json; `operator` is the address of the operators' front.
    """
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(_serve(plan, folder, limits, operator))
