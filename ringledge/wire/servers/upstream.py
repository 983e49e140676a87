"""The server side of a router process: attempts, releases and probes; implements the core's port."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import anyio

from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt
from ringledge.decide.servers.reachability import Reachability
from ringledge.memory.connection_pool import ConnectionPool
from ringledge.observe.logging import log
from ringledge.routing.interface import AttemptStatus
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.resets import abort
from ringledge.wire.servers.connections import ServerConnections
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.entry_releases import EntryReleases
from ringledge.wire.servers.exchange import ExchangeResult, ServerExchanges
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.releases import ReleaseSender
from ringledge.wire.servers.responses import is_reusable
from ringledge.wire.servers.resumption import ResumedServers
from ringledge.wire.servers.unresponsive_peers import UnresponsivePeerDetector


class Upstream:
    """Executes the core's actions on servers; implements `core.server_port.ServerTransport`."""

    def __init__(self, context: UpstreamContext) -> None:
        self._context = context
        self._in_flight: dict[Attempt, InFlightAttempt] = {}
        self.reachability = Reachability(context.zone)
        self._connections = ServerConnections(context, self.reachability)
        self._release_sender = ReleaseSender(context, self._connections)
        self._entry_releases = EntryReleases(context, self._release_sender)
        resumed = ResumedServers(context, self.reachability, self._release_sender, self._entry_releases)
        self._peer_detector = UnresponsivePeerDetector(
            context, self._in_flight, self._connections, self._entry_releases, resumed
        )
        self._exchanges: ServerExchanges | None = None  # None until the conductor is set
        self.endpoints_wanted = anyio.Event()  # set when the complete endpoint list is to be fetched

    @property
    def conductor(self) -> Conductor:
        """The conductor, which owns the attempts; to be set right after both objects are constructed."""
        return self._attached_exchanges.conductor

    @conductor.setter
    def conductor(self, conductor: Conductor) -> None:
        self._exchanges = ServerExchanges(
            self._context, self._connections, self._release_sender, self._entry_releases, conductor
        )

    @property
    def pool(self) -> ConnectionPool[Connection]:
        """The pool of connections to servers."""
        return self._connections.pool

    @property
    def unanswered_releases(self) -> int:
        """The number of releases that no server has answered yet."""
        return self._release_sender.scheduler.unanswered_releases()

    @property
    def _attached_exchanges(self) -> ServerExchanges:
        if self._exchanges is None:
            raise RuntimeError("the conductor is not set")
        return self._exchanges

    # Background tasks.

    async def detect_unresponsive_peers(self) -> None:
        """Cancel unresponsive streams, and check servers with unanswered requests; runs until cancelled."""
        await self._peer_detector.run()

    async def close_expired_connections(self) -> None:
        """Close expired idle connections; runs until cancelled."""
        await self._connections.close_expired()

    # Implementation of ServerTransport.

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        state = self._in_flight[attempt] = InFlightAttempt()
        now_s = anyio.current_time()
        state.scope.deadline = now_s + (attempt.expires_ms - self.conductor.clock.now_ms()) / 1000
        self._context.tasks.start_soon(self._run_attempt, attempt, state)

    def abandon(self, attempt: Attempt) -> None:
        """Cancel the attempt and abort its connection, so that it does not overlap the next one."""
        state = self._in_flight.pop(attempt, None)
        if state is not None:
            if attempt.streaming:
                log.info("stream_abandoned", **_stream_fields(attempt, state))
            state.update_delivered(attempt)
            state.scope.cancel()  # before the close, which wakes the task: it would report a reset
            if state.conn is not None:
                abort(state.conn)

    def release(
        self, request: str, holders: set[str], unobserved: Mapping[str, float], streaming: bool
    ) -> None:
        """Release what servers hold for a request; see `ServerTransport.release`."""
        self._release_sender.release(request, holders, unobserved, streaming)

    def endpoints_changed(self, names: Iterable[str], is_whole: bool) -> None:
        """Update the known servers after a change of the endpoint list; see `ServerTransport`."""
        entries = self._context.servers.entries
        if is_whole:
            self.reachability.update_servers((name, entry.zone) for name, entry in entries.items())
            return
        for name in names:
            entry = entries.get(name)
            self.reachability.update_server(name, None if entry is None else entry.zone)

    def answered_since(self, server: str, since_ms: float) -> bool:
        """Whether the server's process has answered anything since that clock reading."""
        return self.reachability.last_answer_ms(server) > since_ms

    def unreachable_servers(self) -> frozenset[str]:
        """The servers to which new connections are likely to fail."""
        return self.reachability.unreachable_servers(self._context.clock.now_ms())

    def probe(self, server: str) -> None:
        """Request a server's load report."""
        self._context.tasks.start_soon(self._probe, server)

    def poll_endpoints(self) -> None:
        """Request one fetch of the complete endpoint list."""
        self.endpoints_wanted.set()

    # Attempts.

    async def _run_attempt(self, attempt: Attempt, state: InFlightAttempt) -> None:
        """Run an attempt, and report exactly one outcome."""
        result = await self._run_exchange(attempt, state)
        if result is None and attempt.streaming and attempt.in_flight:
            log.warning("stream_timed_out", **_stream_fields(attempt, state))
            result = ExchangeResult(AttemptStatus.RESET)
        if result is None:  # timed out; an incompletely written request can't have run
            status = AttemptStatus.TIMEOUT if attempt.written else AttemptStatus.CONNECT_FAILED
            result = ExchangeResult(status)
        self.conductor.on_attempt_outcome(attempt, result.status, result.note, result.load)

    async def _run_exchange(self, attempt: Attempt, state: InFlightAttempt) -> ExchangeResult | None:
        """Run the attempt's exchange; None if its scope was cancelled."""
        result: ExchangeResult | None = None
        address = self._context.servers.address(attempt.server)
        reuse = False
        try:
            with state.scope:
                if address is None:
                    result = ExchangeResult(AttemptStatus.NOT_SENT)
                else:
                    result = await self._attached_exchanges.run(attempt, state, address)
                    reuse = state.conn is not None and is_reusable(state.conn)
        except Exception as error:  # an internal error ends only this attempt
            result = ExchangeResult(AttemptStatus.RESET if attempt.written else AttemptStatus.CONNECT_FAILED)
            log.exception("attempt_crashed", error, server=attempt.server, request=attempt.record.request_id)
        finally:
            self._in_flight.pop(attempt, None)
            if state.conn is not None:
                if not reuse:
                    abort(state.conn)
                self._connections.give_back(address or "", state.conn, reuse and not state.conn.closed)
        return result

    async def _probe(self, server: str) -> None:
        """Request a server's load report, and pass the result to the policy."""
        address = self._context.servers.address(server)
        self.conductor.on_probe_result(await self._connections.probe(server, address))


def _stream_fields(attempt: Attempt, state: InFlightAttempt) -> dict[str, object]:
    """The log fields of a stream that is given up: how much arrived, and how long ago its last event."""
    return {
        "server": attempt.server,
        "request": attempt.record.request_id,
        "silent_ms": state.silent_ms(),
        "received_bytes": state.response_bytes(),
    }
