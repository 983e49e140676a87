"""The program's fronts with their listening sockets, and their limits of sockets and memory."""

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

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import ConnectionAdmission

BODY_MEMORY_DIVISOR = 5  # of the memory: a body is held about twice, the rest is the program's
RESERVED_SOCKETS = 64  # for discovery, listeners, logs and the interpreter
PROGRAM_FRONT_MAX_CONNECTIONS = RESERVED_SOCKETS // 4  # of a front that a few known programs call


@dataclass(frozen=True, slots=True, eq=False)
class Service:
    """What a front serves to clients, and at which address."""

    name: str
    address: str
    handler: Handler
    error_body: ErrorBody
    max_connections: int | None = None  # None: an equal share of the sockets for clients
    on_rejected: OnRejected | None = None  # called for each request that the front itself rejects
    # Whether a request is served although its connection is past the limit.
    is_served_past_limit: Callable[[h11.Request], bool] | None = None
    # Rejects a request before it is parsed, if it has to; the bytes of its body that are still to come.
    reject_unparsed: Callable[[Connection], int | None] | None = None
    # It answers in time while the start still waits for the endpoint list.
    serves_during_start: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class ListeningFront:
    """A front with the listening socket that it accepts from."""

    front: Front
    listener: socket.socket
    serves_during_start: bool = False


class Fronts:
    """The fronts that serve clients, and the operators' own."""

    def __init__(self, config: Config, metrics: Metrics, inherited: dict[str, socket.socket]) -> None:
        """`inherited`: a predecessor's listening sockets by address; those that are used are removed."""
        self._metrics, self._inherited = metrics, inherited
        # Half for servers, half for clients; each front accepts an eighth more, only to reject them.
        reserved = RESERVED_SOCKETS + (operator.MAX_CONNECTIONS if config.operator else 0)
        self.max_upstream_sockets = max(8, (max_descriptors(config.sockets) - reserved) // 2)
        self._body_memory = config.memory_bytes / BODY_MEMORY_DIVISOR
        self._budget = BodyMemory(self._body_memory)
        self._public_front_count = 1 + ("chat" in config.deploy_settings)  # fronts that any client may call
        self.listeners: dict[str, socket.socket] = {}  # by address, as it is configured
        self.clients: list[ListeningFront] = []  # drained at a shutdown
        self.operators: list[ListeningFront] = []  # serve until the program ends
        self._public_fronts: list[Front] = []
        self.connection_admission: ConnectionAdmission | None = (
            None  # applied to each new connection of fronts opened later
        )
        self.on_unread_time: Callable[[float], None] | None = None  # gets how long each request lay unread

    def open(self, service: Service) -> None:
        """Open a front for clients, which accepts from `serve` on."""
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
            FrontOptions(service.name, limit),
            handling,
            self._budget,
            self._metrics,
            self.connection_admission,
            self.on_unread_time,
        )
        if is_public:
            self._public_fronts.append(front)
        listener = self._listen(service.address)
        self.clients.append(ListeningFront(front, listener, service.serves_during_start))

    def open_operator(self, address: str, handler: Handler, error_body: ErrorBody) -> None:
        """Open the operators' front, whose limits no client can use up."""
        # One is read before the next is accepted: incomplete calls are known, and are evicted first.
        options = FrontOptions("operator", operator.MAX_CONNECTIONS, accepts_per_turn=1)
        handling = RequestHandling(handler, error_body, request_timeout_s=operator.REQUEST_TIMEOUT_S)
        front = Front(options, handling, BodyMemory(operator.MAX_BODY_MEMORY_BYTES), self._metrics)
        front.connections.end_with_answers(True)  # one call to a connection
        self.operators.append(ListeningFront(front, self._listen(address)))

    def _listen(self, address: str) -> socket.socket:
        """A predecessor's listening socket, or else a new one."""
        inherited = self._inherited
        listener = inherited.pop(address) if address in inherited else listen(address)
        self.listeners[address] = listener
        return listener

    def _max_public_connections(self, processes: int) -> int:
        """The limit of each public front, while so many processes share the sockets."""
        return self.max_upstream_sockets * 8 // 9 // self._public_front_count // processes

    @staticmethod
    def serve(fronts: list[ListeningFront], tasks: anyio.abc.TaskGroup) -> None:
        """Have these fronts accept from now on."""
        for each in fronts:
            tasks.start_soon(each.front.serve, each.listener, tasks)

    def is_accepting(self) -> bool:
        """Whether each front for clients accepts connections."""
        return all(each.front.serving for each in self.clients)

    def open_connection_count(self) -> int:
        """How many connections of clients are open."""
        return sum(each.front.open for each in self.clients)

    def drain(self) -> None:
        """Accept no more, close idle connections, and read no further request after a response."""
        for each in self.clients:
            each.front.drain()
            for address in self._addresses_of(each.listener):
                del self.listeners[address]  # a successor that asks from here on binds its own

    def _addresses_of(self, listener: socket.socket) -> list[str]:
        return [address for address, each in self.listeners.items() if each is listener]

    def listening(self) -> dict[str, str]:
        """The address that each front listens at, by the front's name."""
        return {
            each.front.name: "%s:%d" % each.listener.getsockname() for each in self.clients + self.operators
        }

    def set_process_count(self, processes: int) -> None:
        """Divide the limits among so many processes of this conductor."""
        self._budget.limit_bytes = self._body_memory / processes
        for front in self._public_fronts:
            front.connections.lower_limit(self._max_public_connections(processes))

    def yield_to_successor(self, addresses: set[str]) -> None:
        """Stop accepting at these addresses: a successor serves there."""
        yielded = [listener for address, listener in self.listeners.items() if address in addresses]
        for each in self.clients:
            if each.listener in yielded:
                each.front.yield_to_successor()

    def reopen(self) -> None:
        """Accept again: the successor has ended."""
        for each in self.clients:
            each.front.reopen()

    def close(self) -> None:
        """Close the listening sockets."""
        for listener in self.listeners.values():
            listener.close()
