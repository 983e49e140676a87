"""A client's disconnect is reported in the event handler of its socket."""

from __future__ import annotations

import asyncio
import socket

import anyio
import h11

from ringledge.wire.clients.response import write_while_connected
from ringledge.wire.http.connection import Connection


def test_disconnect_is_reported_in_the_same_loop_iteration() -> None:
    """Otherwise other tasks still do work for the disconnected client in the meantime."""
    order = list[str]()

    async def answer() -> None:
        try:
            await anyio.sleep_forever()
        finally:
            order.append("cancelled")

    async def run() -> None:
        server_end, client_end = socket.socketpair()
        server_end.setblocking(False)
        conn = Connection(server_end, h11.SERVER)

        def on_disconnect() -> None:
            order.append("left")
            asyncio.get_running_loop().call_soon(order.append, "next in turn")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write_while_connected, conn, answer(), lambda: True, on_disconnect)
            await anyio.wait_all_tasks_blocked()
            client_end.close()
        assert conn.closed

    anyio.run(run)
    assert order == ["left", "next in turn", "cancelled"]
