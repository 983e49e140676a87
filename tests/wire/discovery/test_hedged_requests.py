"""Hedged requests: the first response is used, whichever request it answers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import cast

import anyio
import pytest

from ringledge.wire.discovery.hedged_requests import HedgedRequests
from ringledge.wire.http.connection import Connection

NO_WAIT_S = 0.0  # too short for any response


class Response:
    """A stand-in for a connection whose response has begun."""

    closed = False

    def close(self) -> None:
        self.closed = True


class Peer:
    """A stand-in peer; the test decides when and how it answers each request."""

    def __init__(self) -> None:
        self.responses: list[Response | OSError | None] = []
        self.ended: list[bool] = []  # by request: whether it was cancelled or answered
        self.answered = anyio.Event()

    async def send(self) -> Connection:
        number = len(self.responses)
        self.responses.append(None)
        self.ended.append(False)
        try:
            while (response := self.responses[number]) is None:
                await self.answered.wait()
        finally:
            self.ended[number] = True
        if isinstance(response, OSError):
            raise response
        return cast(Connection, response)

    def answer(self, number: int, response: Response | OSError) -> None:
        self.responses[number] = response
        self.answered.set()
        self.answered = anyio.Event()


@asynccontextmanager
async def pending(
    count: int, max_pending: int = 8
) -> AsyncIterator[tuple[Peer, Callable[[], Awaitable[object]]]]:
    """A peer with `count` unanswered requests, and a function that sends one more."""
    peer, requests = Peer(), HedgedRequests(max_pending)
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            with pytest.raises(TimeoutError):
                await requests.first_response(tasks, peer.send, NO_WAIT_S)
            await anyio.wait_all_tasks_blocked()
        yield peer, lambda: requests.first_response(tasks, peer.send, 10.0)
        requests.cancel()
    assert all(peer.ended)


@pytest.mark.parametrize("number", [0, 1, 2, 3])
def test_response_to_any_request_is_used_and_the_others_are_closed(number: int) -> None:
    """Guards against an agent that answers each request, but only after its timeout, so that none is used."""

    async def run() -> None:
        response = Response()
        async with pending(3) as (peer, first_response), anyio.create_task_group() as tasks:

            async def answer() -> None:
                await anyio.wait_all_tasks_blocked()
                peer.answer(number, response)

            tasks.start_soon(answer)
            assert await first_response() is response
            await anyio.wait_all_tasks_blocked()
            assert peer.ended == [True] * 4 and not response.closed

    anyio.run(run)


def test_response_that_came_between_two_requests_is_used_without_a_further_request() -> None:
    async def run() -> None:
        response = Response()
        async with pending(2) as (peer, first_response):
            peer.answer(0, response)
            await anyio.wait_all_tasks_blocked()
            assert await first_response() is response
            assert len(peer.responses) == 2

    anyio.run(run)


def test_failure_of_the_new_request_is_raised_and_the_others_stay_pending() -> None:
    async def run() -> None:
        async with pending(1) as (peer, first_response), anyio.create_task_group() as tasks:

            async def refuse() -> None:
                await anyio.wait_all_tasks_blocked()
                peer.answer(1, ConnectionRefusedError())

            tasks.start_soon(refuse)
            with pytest.raises(ConnectionRefusedError):
                await first_response()
            assert peer.ended == [False, True]

    anyio.run(run)


def test_failure_of_an_older_request_is_not_the_new_ones() -> None:
    async def run() -> None:
        response = Response()
        async with pending(1) as (peer, first_response), anyio.create_task_group() as tasks:

            async def answer() -> None:
                await anyio.wait_all_tasks_blocked()
                peer.answer(0, ConnectionResetError())
                await anyio.wait_all_tasks_blocked()
                peer.answer(1, response)

            tasks.start_soon(answer)
            assert await first_response() is response

    anyio.run(run)


def test_oldest_request_is_closed_beyond_the_limit() -> None:
    async def run() -> None:
        async with pending(5, max_pending=2) as (peer, _):
            assert peer.ended == [True, True, True, False, False]

    anyio.run(run)


def test_response_nobody_has_taken_is_closed_with_the_requests() -> None:
    """Guards against the use of a list from the former address, which may be stale."""

    async def run() -> None:
        response, peer, requests = Response(), Peer(), HedgedRequests(8)
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                with pytest.raises(TimeoutError):
                    await requests.first_response(tasks, peer.send, NO_WAIT_S)
                await anyio.wait_all_tasks_blocked()
            peer.answer(0, response)
            await anyio.wait_all_tasks_blocked()
            requests.cancel()
        assert response.closed and peer.ended == [True, True]

    anyio.run(run)


def test_wait_ends_with_a_response() -> None:
    async def run() -> None:
        peer, requests = Peer(), HedgedRequests(8)
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                with pytest.raises(TimeoutError):
                    await requests.first_response(tasks, peer.send, NO_WAIT_S)
                await anyio.wait_all_tasks_blocked()
                peer.answer(0, Response())
                await requests.wait_for_response(1000.0)
                requests.cancel()

    anyio.run(run)
