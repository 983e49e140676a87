"""Clients of one conductor, good and bad: python -m benchmarks.soak.clients FILE NAME LOG SEED."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from typing import Any

import httptools
import orjson

from benchmarks.soak.answers import Answer, Answers
from benchmarks.soak.events import EventLog
from benchmarks.soak.plan import PLAY_S

CLASSES = ("query", "booking", "order", "ticket")
WEIGHTS = (5, 4, 2, 2)
FRESH_S = 0.1  # a connection that rested before its first request counts as any that rests
ANSWER_S = 9.0  # longest budget, stream and slack
FLOOD = b"x" * 1_500_000
BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"%s"}]}'
Play = Callable[["Client"], Awaitable[None]]


class Client:
    """One connection's life."""

    def __init__(self, address: tuple[str, int], name: str, log: EventLog, rng: random.Random) -> None:
        self.address, self.name, self.log, self.rng = address, name, log, rng
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.count = 0
        self.opened_s = self.begun_s = 0.0
        self.fresh, self.answers = True, Answers()

    async def connect(self) -> bool:
        """Open it; False where nobody listens."""
        self.opened_s = time.monotonic()
        try:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        self.fresh, self.answers = True, Answers()
        return True

    def request(self) -> tuple[str, bytes]:
        """A further request: its id and its bytes."""
        self.count += 1
        name, rng = f"{self.name}-{self.count}", self.rng
        kind = rng.choices(CLASSES, WEIGHTS)[0]
        budget = rng.choice((1500, 2500, 3000, 3000, rng.randint(2, 60)))
        size = rng.choice((10, 10, 2000, 60_000, 200_000))
        body = BODY % (b"y" * size)
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: {name}\r\n"
            f"X-Call-Class: {kind}\r\n"
            f"X-Caller: farm\r\nX-Route-Hash: {rng.randint(1, 40):x}\r\nX-Budget-Ms: {budget}\r\n"
            f"X-Call-Info: prompt_len={rng.randint(10, 400)},max_out=80\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.log.write("request", id=name, kind=kind, budget_ms=budget, size=size)
        return name, head.encode() + body

    async def send(self, name: str, data: bytes, ahead: bool = False) -> None:
        """Write it whole; `ahead`: before the answer to the last one."""
        if data:
            self.begun_s = time.monotonic()
        self.writer.write(data)
        with suppress(OSError):
            await self.writer.drain()
        fresh = self.fresh and not ahead and self.begun_s - self.opened_s < FRESH_S
        self.log.write("posted", id=name, fresh=fresh, ahead=ahead, begun_s=self.begun_s)

    async def take(self, name: str) -> bool:
        """Take the answer; whether the connection may go on."""
        error = ""
        try:
            async with asyncio.timeout(ANSWER_S):
                while not (self.answers.come and self.answers.come[0].whole):
                    data = await self.reader.read(65536)
                    if not data:
                        error = "end"
                        break
                    self.answers.feed(data)
        except TimeoutError:
            error = "timeout"
        except (OSError, httptools.HttpParserError) as broken:
            error = type(broken).__name__
        answer = self.answers.come.pop(0) if self.answers.come else Answer()
        self.log.write("answer", id=name, error=error, fresh=self.fresh, **asdict(answer))
        self.fresh = False
        if error:
            self.writer.close()
        return not error

    async def close(self) -> None:
        """Close it."""
        self.writer.close()


async def well_behaved(client: Client) -> None:
    """One request after another, with short pauses; what crosses an idle end is sent once more."""
    for _ in range(client.rng.randint(1, 6)):
        name, data = client.request()
        await client.send(name, data)
        if not await client.take(name) and not await client.connect():
            return
        await asyncio.sleep(client.rng.choice((0.0, 0.01, 0.2, 0.6)))
    await client.close()


async def rests_long(client: Client) -> None:
    """Sends again in the moment in which the conductor ends the rest."""
    name, data = client.request()
    await client.send(name, data)
    if await client.take(name):
        await asyncio.sleep(client.rng.uniform(1.9, 2.4))
        name, data = client.request()
        await client.send(name, data)
        await client.take(name)
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
    if await client.take(one):
        await client.take(two)
    await client.close()


async def floods(client: Client) -> None:
    """Sends much behind its request, and takes the answer."""
    name, data = client.request()
    await client.send(name, data)
    await asyncio.sleep(client.rng.uniform(0.0, 0.2))
    client.log.write("floods", id=name)
    client.writer.write(FLOOD)
    await client.take(name)
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
    await client.take(name)
    await client.close()


PLAYS: dict[Play, int] = {
    well_behaved: 12,
    rests_long: 3,
    leaves: 4,
    sends_ahead: 2,
    floods: 1,
    stops_in_the_middle: 1,
    writes_slowly: 2,
}


async def run(told: dict[str, Any], conductor: str, log: EventLog, seed: int) -> None:
    """Open-loop load until the play ends."""
    rng, number = random.Random(f"{seed}/{conductor}"), 0
    address, start_s = (told["host"], told["conductor_ports"][conductor]), told["start_s"]
    await asyncio.sleep(max(0.0, start_s - time.monotonic()))
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < start_s + PLAY_S:
            number += 1
            client = Client(address, f"{conductor}-{number}", log, random.Random(rng.random()))
            tasks.create_task(_play(client, rng.choices(list(PLAYS), list(PLAYS.values()))[0]))
            await asyncio.sleep(rng.expovariate(told["plan"]["rate"] / 2))


async def _play(client: Client, play: Play) -> None:
    if await client.connect():
        with suppress(OSError):
            await play(client)


if __name__ == "__main__":
    told_ = orjson.loads(Path(sys.argv[1]).read_bytes())
    log_ = EventLog(Path(sys.argv[3]), f"client {sys.argv[2]}")
    asyncio.run(run(told_, sys.argv[2], log_, int(sys.argv[4])))
