"""Who says nothing while it owes something: silent streams, and servers that are cut off."""

from __future__ import annotations

import math
import time

import anyio
import anyio.abc

from ringledge.core.clock import Clock
from ringledge.core.records import Attempt, Record
from ringledge.decide.servers.delivery import DeliveryChecks, UnansweredRequest
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.stalls import HEARTBEAT_INTERVAL_S, stall_detector
from ringledge.wire.servers.connections import Lines
from ringledge.wire.servers.releases import Releaser
from ringledge.wire.servers.stream_relay import Live

NEW_SLACK_MS = 150.0  # of the 300 that an entry has beyond the settings: time for a queue at the server
SILENCE_LOOK_S = HEARTBEAT_INTERVAL_S  # how often it is looked for silent streams and servers


class Silence:
    """Looks over all attempts that are under way: that costs less than a timer for each chunk."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        live: dict[Attempt, Live],
        servers: ServerList,
        lines: Lines,
        releaser: Releaser,
        let_go_ms: float,
        clock: Clock,
    ) -> None:
        """`let_go_ms`: how long a KV cache entry may be held while no attempt has arrived."""
        self._tasks, self._live, self._servers, self._lines = tasks, live, servers, lines
        self._releaser, self._let_go_ms, self._clock = releaser, let_go_ms, clock
        self._arrivals = DeliveryChecks(lines.reach)

    async def watch(self) -> None:
        """End streams whose server says nothing more, and try servers that owe an answer."""
        stall_detector.record_heartbeat()
        while True:
            await anyio.sleep(SILENCE_LOOK_S)
            # This loop runs as long as the process does: a second one would wake it twice.
            stall_detector.record_heartbeat()
            if not self._live:
                continue
            now, waiting = time.monotonic(), list[UnansweredRequest]()
            for attempt, live in list(self._live.items()):
                if live.silent_at < now and not live.passing_on:
                    live.scope.cancel()
                elif not attempt.streaming and attempt.in_flight and live.written_ms < math.inf:
                    waiting.append(UnansweredRequest(attempt.server, live.written_ms))
                    self._release_unheard(attempt)
            for server in self._arrivals.take_due_servers(self._clock.now_ms(), waiting):
                self._tasks.start_soon(self._check, server)

    async def _check(self, server: str) -> None:
        """Whether a server that owes answers and says nothing can still be reached."""
        address = self._servers.address(server) or ""
        try:
            if address:
                conn = await self._lines.open(server, address, self._lines.connect_s())
                self._lines.pool.release(address, conn)
        except TimeoutError:
            self._give_up(server)
        except OSError:  # no process listens, or no socket is left: what is out ends by itself
            pass
        finally:
            self._arrivals.check_finished(self._clock.now_ms(), server)

    def _give_up(self, server: str) -> None:
        """Stop waiting for a server that is cut off, save where an attempt must not run twice."""
        for attempt, live in list(self._live.items()):
            lost = attempt.server == server and not attempt.streaming and live.written_ms < math.inf
            if not lost or not self._arrivals.is_lost(server, live.written_ms):
                continue
            record = attempt.record
            log.info("attempt_cut_off", server=server, request=record.request_id)
            if not attempt.at_most_once:
                live.scope.cancel()
            else:  # it may be answered yet
                self._release(record)

    def _release_unheard(self, attempt: Attempt) -> None:
        """Release what is held for a decode that may never have arrived, once it may be held no longer.

        A connection from before may be dead without a word, while its server is well and takes new ones; a
        new one seldom is, but it may be, or be slow. A server that has the request keeps what the request
        waits for, whoever releases it.
        """
        record = attempt.record
        allowed_ms = self._let_go_ms + (NEW_SLACK_MS if attempt.delivered else 0.0)
        if attempt.fetches_cache and self._clock.now_ms() - record.idle_since_ms >= allowed_ms:
            self._release(record)

    def _release(self, record: Record) -> None:
        if record.cache_holders:
            known, record.cache_holders, record.released = record.cache_holders, set(), True
            log.info("state_let_go", request=record.request_id, servers=sorted(known))
            self._releaser.release(record.request_id, known, {})
