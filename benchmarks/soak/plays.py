"""Clients of one conductor, good and bad: python -m benchmarks.soak.plays FILE NAME LOG SEED."""

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

from benchmarks.soak.clients import Client
from benchmarks.soak.events import EventLog
from benchmarks.soak.plan import PLAY_S

FLOOD = b"x" * 1_500_000
PERSISTS_S = 9.0  # that a client goes on with one connection, if the conductor lets it
CROWD, BURST, BURST_S = 480, 120, 1.0  # connections of a crowd, how many come at once, and how often
HALF_PART = 0.2  # of a crowd that has begun a request
Play = Callable[[Client], Awaitable[None]]


async def well_behaved(client: Client) -> None:
    """One request after another, with short pauses; what crosses an idle end is sent once more."""
    for _ in range(client.rng.randint(1, 6)):
        name, data = client.request()
        await client.send(name, data)
        if not await client.receive_answer(name) and not await client.connect():
            return
        await asyncio.sleep(client.rng.choice((0.0, 0.01, 0.2, 0.6)))
    await client.close()


async def rests_long(client: Client) -> None:
    """Sends again in the moment in which the conductor ends the rest."""
    name, data = client.request()
    await client.send(name, data)
    if await client.receive_answer(name):
        await asyncio.sleep(client.rng.uniform(1.9, 2.4))
        name, data = client.request()
        await client.send(name, data)
        await client.receive_answer(name)
    await client.close()


async def leaves(client: Client) -> None:
    """Goes before its answer."""
    name, data = client.request()
    await client.send(name, data)
    await asyncio.sleep(client.rng.uniform(0.0, 0.25))
    client.log.write("left", id=name)
    if client.rng.random() < 0.5:
        client.writer.transport.abort()
    await client.close()


async def sends_ahead(client: Client) -> None:
    """Sends a further request before the first answer."""
    (one, first), (two, second) = client.request(), client.request()
    await client.send(one, first)
    await client.send(two, second, ahead=True)
    if await client.receive_answer(one):
        await client.receive_answer(two)
    await client.close()


async def floods(client: Client) -> None:
    """Sends much behind its request, and takes the answer."""
    name, data = client.request()
    await client.send(name, data)
    await asyncio.sleep(client.rng.uniform(0.0, 0.2))
    client.log.write("floods", id=name)
    client.writer.write(FLOOD)
    await client.receive_answer(name)
    await client.close()


async def stops_in_the_middle(client: Client) -> None:
    """Sends half a request and stays."""
    name, data = client.request()
    client.writer.write(data[: client.rng.randint(1, len(data) - 1)])
    client.log.write("half", id=name)
    error = "open"
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(6.0):
            await client.reader.read(65536)
            error = "ended"
    client.log.write("half_ended", id=name, error=error)
    await client.close()


async def writes_slowly(client: Client) -> None:
    """Sends its request in pieces."""
    name, data = client.request()
    step = max(1, len(data) // 8)
    for start in range(0, len(data), step):
        client.begun_s = client.begun_s or time.monotonic()
        client.writer.write(data[start : start + step])
        await asyncio.sleep(client.rng.uniform(0.0, 0.05))
    await client.send(name, b"")
    await client.receive_answer(name)
    await client.close()


async def persists(client: Client) -> None:
    """Goes on with request after request until the conductor ends the connection."""
    until_s = time.monotonic() + PERSISTS_S
    while time.monotonic() < until_s:
        name, data = client.request()
        await client.send(name, data)
        if not await client.receive_answer(name):
            return
        await asyncio.sleep(client.rng.uniform(0.02, 0.3))
    await client.close()


async def begins_late(client: Client) -> None:
    """Rests first, then goes on like the others that persist."""
    await asyncio.sleep(client.rng.uniform(0.3, 5.0))
    await persists(client)


PLAYS: dict[Play, int] = {
    well_behaved: 12,
    persists: 2,
    begins_late: 2,
    rests_long: 3,
    leaves: 4,
    sends_ahead: 2,
    floods: 1,
    stops_in_the_middle: 1,
    writes_slowly: 2,
}


async def run(told: dict[str, Any], conductor: str, log: EventLog, seed: int) -> None:
    """Open-loop load until the play ends."""
    rng, number, start_s = random.Random(f"{seed}/{conductor}"), 0, told["start_s"]
    await asyncio.sleep(max(0.0, start_s - time.monotonic()))
    async with asyncio.TaskGroup() as tasks:
        if told["plan"]["crowd"]:
            tasks.create_task(_crowd(told, conductor, rng.random()))
        while time.monotonic() < start_s + PLAY_S:
            number += 1
            client = Client(told, conductor, number, log, rng.random())
            tasks.create_task(_play(client, rng.choices(list(PLAYS), list(PLAYS.values()))[0]))
            await asyncio.sleep(rng.expovariate(told["plan"]["rate"] / 2))


async def _play(client: Client, play: Play) -> None:
    if await client.connect():
        with suppress(OSError):
            await play(client)


async def _crowd(told: dict[str, Any], conductor: str, seed: float) -> None:
    """Idle and half-open connections in bursts, as many as the descriptors allow; the oldest leave again."""
    address, rng = (told["host"], told["conductor_ports"][conductor]), random.Random(seed)
    writers = list[asyncio.StreamWriter]()
    while time.monotonic() < told["start_s"] + PLAY_S:
        for _ in range(BURST):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                if rng.random() < HALF_PART:
                    writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n")
                writers.append(writer)
        for writer in writers[:-CROWD]:
            writer.close()
        del writers[:-CROWD]
        await asyncio.sleep(BURST_S)
    for writer in writers:
        writer.close()


if __name__ == "__main__":
    told_ = orjson.loads(Path(sys.argv[1]).read_bytes())
    log_ = EventLog(Path(sys.argv[3]), f"client {sys.argv[2]}")
    asyncio.run(run(told_, sys.argv[2], log_, int(sys.argv[4])))
