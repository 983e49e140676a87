"""The fronts of the program, with their listening sockets and their limits on sockets and memory."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio.abc
import h11

from ringledge.lifecycle.config import Config
from ringledge.lifecycle.descriptors import max_descriptors
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients import operator
from ringledge.wire.clients.front import Front, FrontOptions
from ringledge.wire.clients.request_loop import ErrorBody, Handler, OnRejected, RequestHandling
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.sockets import listen
from ringledge.wire.http.turn_queue import TurnQueue

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import ConnectionAdmission

# Bodies may take up the memory limit divided by this: a body needs about twice its size in memory, and the
# program needs the rest.
BODY_MEMORY_DIVISOR = 5
RESERVED_SOCKETS = 64  # descriptors for discovery, listeners, logs and the interpreter
PROGRAM_FRONT_MAX_CONNECTIONS = RESERVED_SOCKETS // 4  # for a front with few known clients


@dataclass(frozen=True, slots=True, eq=False)
class Service:
    """The address, handlers and limits of a front for clients."""

    name: str
    address: str
    handler: Handler
    error_body: ErrorBody
    max_connections: int | None = None  # None: an equal share of the client sockets
    on_rejected: OnRejected | None = None  # called when the front itself rejects a request
    # Whether to serve a request on a connection beyond `max_connections`.
    is_served_past_limit: Callable[[h11.Request], bool] | None = None
    # May reject a request before it is parsed; returns the number of bytes of its body not yet received.
    reject_unparsed: Callable[[Connection], int | None] | None = None
    # Whether the front accepts requests while the start still waits for the endpoint list.
    serves_during_start: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class ListeningFront:
    """A front and its listening socket."""

    front: Front
    listener: socket.socket
    serves_during_start: bool = False


class Fronts:
    """The fronts for clients and the operators' front."""

    def __init__(self, config: Config, metrics: Metrics, inherited: dict[str, socket.socket]) -> None:
        """`inherited` holds the predecessor's listening sockets by address; used ones are removed."""
        self._metrics, self._inherited = metrics, inherited
        # Servers and clients get half each; each front accepts an eighth more connections, to reject them.
        reserved = RESERVED_SOCKETS + (operator.MAX_CONNECTIONS if config.operator else 0)
        self.max_upstream_sockets = max(8, (max_descriptors(config.sockets) - reserved) // 2)
        self._body_memory = config.memory_bytes / BODY_MEMORY_DIVISOR
        self.client_memory = BodyMemory(self._body_memory)
        self._turns = TurnQueue()
        metrics.turns_waiting.set_function(lambda: len(self._turns))
        self._public_front_count = 1 + ("chat" in config.deploy_settings)  # fronts open to any client
        self.listeners: dict[str, socket.socket] = {}  # by configured address
        self.clients: list[ListeningFront] = []  # drained in a shutdown
        self.operators: list[ListeningFront] = []  # serve until the program ends
        self._public_fronts: list[Front] = []
        # Both apply only to fronts that are opened afterwards.
        self.connection_admission: ConnectionAdmission | None = None  # admits or denies new connections
        # Called for each request with the ms that it waited in its socket before it was read.
        self.on_unread_time: Callable[[float], None] | None = None

    def open(self, service: Service) -> None:
        """Create a front for clients; it accepts connections once `serve` is called."""
        max_connections = service.max_connections
        is_public = max_connections is None
        limit = self._max_public_connections(1) if max_connections is None else max_connections
        handling = RequestHandling(
            service.handler,
            service.error_body,
            on_rejected=service.on_rejected,
            exempt_from_limit=service.is_served_past_limit,
            reject_early=service.reject_unparsed,
        )
        front = Front(
            FrontOptions(service.name, limit, turns=self._turns),
            handling,
            self.client_memory,
            self._metrics,
            self.connection_admission,
            self.on_unread_time,
        )
        if is_public:
            self._public_fronts.append(front)
        listener = self._listen(service.address)
        self.clients.append(ListeningFront(front, listener, service.serves_during_start))

    def open_operator(self, address: str, handler: Handler, error_body: ErrorBody) -> None:
        """Create the operators' front, whose limits are separate from those of clients."""
        # Each connection is read before the next is accepted, so that those with an incomplete request are
        # known and can be evicted first.
        options = FrontOptions("operator", operator.MAX_CONNECTIONS, accepts_per_turn=1, turns=self._turns)
        handling = RequestHandling(handler, error_body, request_timeout_s=operator.REQUEST_TIMEOUT_S)
        front = Front(options, handling, BodyMemory(operator.MAX_BODY_MEMORY_BYTES), self._metrics)
        front.connections.end_with_answers(True)  # one request per connection
        self.operators.append(ListeningFront(front, self._listen(address)))

    def _listen(self, address: str) -> socket.socket:
        """The predecessor's listening socket for the address, or else a new one."""
        inherited = self._inherited
        listener = inherited.pop(address) if address in inherited else listen(address)
        self.listeners[address] = listener
        return listener

    def _max_public_connections(self, processes: int) -> int:
        """The limit of each public front while this many processes share the sockets."""
        return self.max_upstream_sockets * 8 // 9 // self._public_front_count // processes

    @staticmethod
    def serve(fronts: list[ListeningFront], tasks: anyio.abc.TaskGroup) -> None:
        """Start to accept connections on these fronts."""
        for each in fronts:
            tasks.start_soon(each.front.serve, each.listener, tasks)

    def is_accepting(self) -> bool:
        """Whether all fronts for clients accept connections."""
        return all(each.front.serving for each in self.clients)

    def open_connection_count(self) -> int:
        """Number of open client connections."""
        return sum(each.front.open for each in self.clients)

    def drain(self) -> None:
        """Stop accepting, close idle connections, and close the others after their current response."""
        for each in self.clients:
            each.front.drain()
            for address in self._addresses_of(each.listener):
                del self.listeners[address]  # from now on a successor binds its own

    def _addresses_of(self, listener: socket.socket) -> list[str]:
        return [address for address, each in self.listeners.items() if each is listener]

    def listening(self) -> dict[str, str]:
        """The listening addresses by name of the front."""
        return {
            each.front.name: "%s:%d" % each.listener.getsockname() for each in self.clients + self.operators
        }

    def set_process_count(self, processes: int) -> None:
        """Divide the limits among this many processes of the router."""
        self.client_memory.limit_bytes = self._body_memory / processes
        for front in self._public_fronts:
            front.connections.lower_limit(self._max_public_connections(processes))

    def yield_to_successor(self, addresses: set[str]) -> None:
        """Stop accepting at these addresses, where a successor now serves."""
        yielded = [listener for address, listener in self.listeners.items() if address in addresses]
        for each in self.clients:
            if each.listener in yielded:
                each.front.yield_to_successor()

    def reopen(self) -> None:
        """Accept again after the successor has ended."""
        for each in self.clients:
            each.front.reopen()

    def close(self) -> None:
        """Close the listening sockets."""
        for listener in self.listeners.values():
            listener.close()
