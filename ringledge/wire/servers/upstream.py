"""Conductors to servers: attempts, releases of held state, probes."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
import anyio.abc

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt
from ringledge.decide.servers.reachability import Reachability
from ringledge.memory.connection_pool import ConnectionPool
from ringledge.memory.names import Names
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
)
from ringledge.wire.http.connection import Connection
from ringledge.wire.servers.connections import Lines
from ringledge.wire.servers.exchange import End, Exchanges
from ringledge.wire.servers.releases import Releaser
from ringledge.wire.servers.responses import reusable
from ringledge.wire.servers.silence import Silence
from ringledge.wire.servers.stream_relay import Live

LET_GO_MS = 500.0  # that a state may be held, where the settings don't tell


class Upstream:
    """Carries out what the core wants of servers; implements its port."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        servers: ServerList,
        names: Names,
        sockets: int,
        let_go_ms: float,
        zone: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._tasks, self._servers, self._clock, self._metrics = tasks, servers, clock, metrics
        self._let_go_ms = let_go_ms or LET_GO_MS
        self._live: dict[Attempt, Live] = {}
        self.reach = Reachability(zone)
        self._lines = Lines(names, sockets, clock, self.reach, metrics)
        self._releaser = Releaser(
            tasks, servers, self._let_go_ms, clock, self.reach, metrics, self._lines.call
        )
        self._silence = Silence(
            tasks, self._live, servers, self._lines, self._releaser, self._let_go_ms, clock
        )
        self.watch_silence, self.retire_idle = self._silence.watch, self._lines.retire_idle
        self.members_wanted = anyio.Event()

    @property
    def conductor(self) -> Conductor:
        """Whose attempts these are; set right after both are made."""
        return self._exchanges.conductor

    @conductor.setter
    def conductor(self, conductor: Conductor) -> None:
        self._exchanges = Exchanges(
            self._lines,
            self._releaser,
            self.reach,
            self._clock,
            self._metrics,
            self._let_go_ms,
            conductor,
        )

    @property
    def pool(self) -> ConnectionPool[Connection]:
        """The connections to servers."""
        return self._lines.pool

    # The core's port.

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        live = self._live[attempt] = Live()
        live.scope.deadline = (
            anyio.current_time() + (attempt.expires_ms - self.conductor.clock.now_ms()) / 1000
        )
        self._tasks.start_soon(self._attempt, attempt, live)

    def abandon(self, attempt: Attempt) -> None:
        """Close the attempt's connection at once: what goes out next is no second copy then."""
        live = self._live.pop(attempt, None)
        if live is not None:
            live.scope.cancel()  # first: closing wakes the task, which must not take that for a reset
            if live.conn is not None:
                live.conn.close()

    def release(self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool) -> None:
        """Let go of what servers hold for a request."""
        self._releaser.release(request, known, unseen, begun)

    @property
    def releases(self) -> int:
        """How many releases no server has heard yet."""
        return self._releaser.plan.unanswered_releases()

    def endpoints_changed(self) -> None:
        """The list has changed."""
        self.reach.update_servers((name, entry.zone) for name, entry in self._servers.entries.items())

    def answered_since(self, server: str, at_ms: float) -> bool:
        """Whether the server's process has answered anything since then."""
        return self.reach.last_answer_ms(server) > at_ms

    def unreachable_servers(self) -> frozenset[str]:
        """The servers that no connection reaches just now."""
        return self.reach.unreachable_servers(self._clock.now_ms())

    def probe(self, server: str) -> None:
        """Ask a server for its load."""
        self._tasks.start_soon(self._probe, server)

    def poll_endpoints(self) -> None:
        """Ask discovery for the whole list once."""
        self.members_wanted.set()

    # Attempts.

    async def _attempt(self, attempt: Attempt, live: Live) -> None:
        end: End | None = None
        address = self._servers.address(attempt.server)
        again = False
        try:
            with live.scope:
                if address is None:
                    end = End(AttemptStatus.NOT_SENT)
                else:
                    end = await self._exchanges.run(attempt, live, address)
                    again = live.conn is not None and reusable(live.conn)
        except Exception as error:  # a fault of ours costs this attempt, not all the others
            end = End(AttemptStatus.RESET if attempt.written else AttemptStatus.CONNECT_FAILED)
            log.exception("attempt_crashed", error, server=attempt.server, request=attempt.record.request_id)
        finally:
            self._live.pop(attempt, None)
            if live.conn is not None:
                if again and not live.conn.closed and address is not None:
                    self.pool.release(address, live.conn)
                else:
                    self.pool.discard(live.conn)
        if end is None and attempt.streaming and attempt.in_flight:
            log.warning("stream_silent", server=attempt.server, request=attempt.record.request_id)
            end = End(AttemptStatus.RESET)
        if end is None:  # out of time; what was never written whole can't have run
            end = End(AttemptStatus.TIMEOUT if attempt.written else AttemptStatus.CONNECT_FAILED)
        self.conductor.on_attempt_outcome(attempt, *end)

    async def _probe(self, server: str) -> None:
        """Ask a server for its load; the answer goes to the policy."""
        self.conductor.on_probe_result(await self._lines.probe(server, self._servers.address(server)))
