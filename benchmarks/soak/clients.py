"""A client connection of a soak."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import asdict
from typing import Any

import httptools

from benchmarks.soak.answers import Answer, AnswerParser
from benchmarks.soak.events import EventLog

REQUEST_CLASSES = ("query", "booking", "order", "ticket")
CLASS_WEIGHTS = (5, 4, 2, 2)
FRESH_CONNECTION_S = 0.1  # a connection that was idle for longer before its first request is not fresh
ANSWER_TIMEOUT_S = 9.0  # covers the longest budget, the longest stream and some slack
BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"%s"}]}'


class ClientConnection:
    """One client connection, which is opened again after a failure."""

    def __init__(
        self, scenario: dict[str, Any], router: str, number: int, log: EventLog, seed: float
    ) -> None:
        self.address = (scenario["host"], scenario["conductor_ports"][router])
        self.deadline_ms = scenario["plan"]["deadline_ms"]
        self.name, self.log, self.rng = f"{router}-{number}", log, random.Random(seed)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.count = 0
        self.opened_s = self.begun_s = 0.0
        self.fresh, self.answers = True, AnswerParser()

    async def connect(self) -> bool:
        """Open the connection; False if that fails."""
        self.opened_s = time.monotonic()
        try:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        self.fresh, self.answers = True, AnswerParser()
        return True

    def make_request(self) -> tuple[str, bytes]:
        """The id and the bytes of a new random request."""
        self.count += 1
        name, rng = f"{self.name}-{self.count}", self.rng
        kind = rng.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        budget_fraction = rng.choice((0.5, 0.8, 1.0, 1.0, 0.0))
        budget = round(budget_fraction * self.deadline_ms) or rng.randint(2, 60)
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

    async def send(self, request_id: str, data: bytes, ahead: bool = False) -> None:
        """Send a request; `ahead` marks one that is sent before the previous answer."""
        if data:
            self.begun_s = time.monotonic()
        self.writer.write(data)
        with suppress(OSError):
            await self.writer.drain()
        fresh = self.fresh and not ahead and self.begun_s - self.opened_s < FRESH_CONNECTION_S
        self.log.write("posted", id=request_id, fresh=fresh, ahead=ahead, begun_s=self.begun_s)

    async def receive_answer(self, request_id: str) -> bool:
        """Receive one answer; whether the connection can be used again."""
        error = ""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not (self.answers.received and self.answers.received[0].whole):
                    data = await self.reader.read(65536)
                    if not data:
                        error = "end"
                        break
                    self.answers.feed(data)
        except TimeoutError:
            error = "timeout"
        except (OSError, httptools.HttpParserError) as exc:
            error = type(exc).__name__
        answer = self.answers.received.pop(0) if self.answers.received else Answer()
        self.log.write("answer", id=request_id, error=error, fresh=self.fresh, **asdict(answer))
        self.fresh = False
        if error:
            self.writer.close()
        return not error

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()
