"""Well-behaved and misbehaving clients of one router: python -m benchmarks.soak.plays FILE NAME LOG SEED."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from benchmarks.soak.clients import ClientConnection
from benchmarks.soak.events import EventLog
from benchmarks.soak.plan import LOAD_S

FLOOD_BYTES = b"x" * 1_500_000
PERSIST_S = 9.0  # longest use of one connection by a client that keeps sending
# Connections that a crowd keeps open, new connections in a burst, and time between bursts.
CROWD_SIZE, BURST_SIZE, BURST_INTERVAL_S = 480, 120, 1.0
PARTIAL_FRACTION = 0.2  # share of the crowd that has sent part of a request
SHORT_FIELDS = b"aa:bb\r\n" * 3_000
PARTIAL_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
PARTIAL_REQUESTS = (
    PARTIAL_HEAD,
    PARTIAL_HEAD + SHORT_FIELDS,
    PARTIAL_HEAD + SHORT_FIELDS + b"Content-Length: 250000\r\n\r\n" + b"x" * 100,
    PARTIAL_HEAD + b"Content-Length: 250000\r\n\r\n" + b"x" * 120_000,
)
Behaviour = Callable[[ClientConnection], Awaitable[None]]


async def sends_in_sequence(client: ClientConnection) -> None:
    """Send one request after another with short pauses, and reconnect after a failed answer."""
    for _ in range(client.rng.randint(1, 6)):
        request_id, data = client.make_request()
        await client.send(request_id, data)
        if not await client.receive_answer(request_id) and not await client.connect():
            return
        await asyncio.sleep(client.rng.choice((0.0, 0.01, 0.2, 0.6)))
    await client.close()


async def reuses_at_idle_limit(client: ClientConnection) -> None:
    """Send again around the time at which the router closes the idle connection."""
    request_id, data = client.make_request()
    await client.send(request_id, data)
    if await client.receive_answer(request_id):
        await asyncio.sleep(client.rng.uniform(1.9, 2.4))
        request_id, data = client.make_request()
        await client.send(request_id, data)
        await client.receive_answer(request_id)
    await client.close()


async def disconnects_early(client: ClientConnection) -> None:
    """Disconnect before the answer is complete."""
    request_id, data = client.make_request()
    await client.send(request_id, data)
    await asyncio.sleep(client.rng.uniform(0.0, 0.25))
    client.log.write("left", id=request_id)
    if client.rng.random() < 0.5:
        client.writer.transport.abort()
    await client.close()


async def pipelines(client: ClientConnection) -> None:
    """Send a second request before the first answer."""
    (one, first), (two, second) = client.make_request(), client.make_request()
    await client.send(one, first)
    await client.send(two, second, ahead=True)
    if await client.receive_answer(one):
        await client.receive_answer(two)
    await client.close()


async def floods(client: ClientConnection) -> None:
    """Send 1.5 MB of invalid data after the request, and read the answer."""
    request_id, data = client.make_request()
    await client.send(request_id, data)
    await asyncio.sleep(client.rng.uniform(0.0, 0.2))
    client.log.write("floods", id=request_id)
    client.writer.write(FLOOD_BYTES)
    await client.receive_answer(request_id)
    await client.close()


async def sends_partial_request(client: ClientConnection) -> None:
    """Send part of a request and keep the connection open."""
    request_id, data = client.make_request()
    client.writer.write(data[: client.rng.randint(1, len(data) - 1)])
    client.log.write("half", id=request_id)
    error = "open"
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(6.0):
            await client.reader.read(65536)
            error = "ended"
    client.log.write("half_ended", id=request_id, error=error)
    await client.close()


async def writes_slowly(client: ClientConnection) -> None:
    """Send a request in pieces."""
    request_id, data = client.make_request()
    step = max(1, len(data) // 8)
    for start in range(0, len(data), step):
        client.begun_s = client.begun_s or time.monotonic()
        client.writer.write(data[start : start + step])
        await asyncio.sleep(client.rng.uniform(0.0, 0.05))
    await client.send(request_id, b"")
    await client.receive_answer(request_id)
    await client.close()


async def sends_many_fields(client: ClientConnection) -> None:
    """Send a request with thousands of short header fields."""
    request_id, data = client.make_request()
    head, _, body = data.partition(b"\r\n\r\n")
    await client.send(request_id, head + b"\r\n" + SHORT_FIELDS + b"\r\n" + body)
    await client.receive_answer(request_id)
    await client.close()


async def repeats_after_leaving(client: ClientConnection) -> None:
    """Disconnect before the answer, and send the request once more under the same id."""
    request_id, data = client.make_request()
    await client.send(request_id, data)
    await asyncio.sleep(client.rng.uniform(0.0, 0.4))
    client.log.write("left", id=request_id)
    await client.close()
    await asyncio.sleep(client.rng.uniform(0.0, 0.3))
    if await client.connect():
        client.log.write("again", id=request_id)
        await client.send(request_id, data)
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(PERSIST_S):
                await client.reader.read(65536)
        client.log.write("left", id=request_id)
        await client.close()


async def keeps_sending(client: ClientConnection) -> None:
    """Send request after request until the router closes the connection."""
    until_s = time.monotonic() + PERSIST_S
    while time.monotonic() < until_s:
        request_id, data = client.make_request()
        await client.send(request_id, data)
        if not await client.receive_answer(request_id):
            return
        await asyncio.sleep(client.rng.uniform(0.02, 0.3))
    await client.close()


async def idles_before_sending(client: ClientConnection) -> None:
    """Keep the new connection idle first, then keep sending."""
    await asyncio.sleep(client.rng.uniform(0.3, 5.0))
    await keeps_sending(client)


BEHAVIOURS: dict[Behaviour, int] = {
    sends_in_sequence: 12,
    keeps_sending: 2,
    idles_before_sending: 2,
    reuses_at_idle_limit: 3,
    disconnects_early: 4,
    pipelines: 2,
    floods: 1,
    sends_partial_request: 1,
    writes_slowly: 2,
    sends_many_fields: 1,
    repeats_after_leaving: 2,
}


async def run(scenario: dict[str, Any], router: str, log: EventLog, seed: int) -> None:
    """Generate open-loop load until the load period ends."""
    rng, number, start_s = random.Random(f"{seed}/{router}"), 0, scenario["start_s"]
    await asyncio.sleep(max(0.0, start_s - time.monotonic()))
    async with asyncio.TaskGroup() as tasks:
        if scenario["plan"]["crowd"]:
            tasks.create_task(_run_crowd(scenario, router, rng.random()))
        while time.monotonic() < start_s + LOAD_S:
            number += 1
            client = ClientConnection(scenario, router, number, log, rng.random())
            tasks.create_task(
                _run_behaviour(client, rng.choices(list(BEHAVIOURS), list(BEHAVIOURS.values()))[0])
            )
            await asyncio.sleep(rng.expovariate(scenario["plan"]["rate"] / 2))


async def _run_behaviour(client: ClientConnection, behave: Behaviour) -> None:
    if await client.connect():
        with suppress(OSError):
            await behave(client)


async def _run_crowd(scenario: dict[str, Any], router: str, seed: float) -> None:
    """Open idle and half-open connections in bursts up to the descriptor limit; close the oldest."""
    address, rng = (scenario["host"], scenario["conductor_ports"][router]), random.Random(seed)
    writers = list[asyncio.StreamWriter]()
    while time.monotonic() < scenario["start_s"] + LOAD_S:
        for _ in range(BURST_SIZE):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                if rng.random() < PARTIAL_FRACTION:
                    writer.write(rng.choice(PARTIAL_REQUESTS))
                writers.append(writer)
        for writer in writers[:-CROWD_SIZE]:
            writer.close()
        del writers[:-CROWD_SIZE]
        await asyncio.sleep(BURST_INTERVAL_S)
    for writer in writers:
        writer.close()


if __name__ == "__main__":
    scenario_ = orjson.loads(Path(sys.argv[1]).read_bytes())
    log_ = EventLog(Path(sys.argv[3]), f"client {sys.argv[2]}")
    asyncio.run(run(scenario_, sys.argv[2], log_, int(sys.argv[4])))
