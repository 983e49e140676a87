"""The fronts of the program with their listening sockets, and what of sockets and memory they may have."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio.abc
import h11

from ringledge.lifecycle.config import Config
from ringledge.lifecycle.descriptors import allowed
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients import operator
from ringledge.wire.clients.front import Front
from ringledge.wire.clients.request_loop import ErrorBody, Handler, Refused
from ringledge.wire.http.body_memory import Budget
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.sockets import listen

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import ConnectionAdmission

BODIES_PART = 5  # of the memory: a body is held about twice, the rest is the program's
SPARE_SOCKETS = 64  # for discovery, listeners, logs and the interpreter
SMALL = SPARE_SOCKETS // 4  # connections of a front that programs call, few and known


@dataclass(frozen=True, slots=True, eq=False)
class Service:
    """What a front serves to clients, and where."""

    name: str
    address: str
    handler: Handler
    errors: ErrorBody
    limit: int | None = None  # connections; None: its part of what there is for clients
    refused: Refused | None = None
    keeps: Callable[[h11.Request], bool] | None = None
    quick: Callable[[Connection], int | None] | None = None


class Fronts:
    """The fronts that clients are served at and the operators' own."""

    def __init__(self, config: Config, metrics: Metrics, inherited: dict[str, socket.socket]) -> None:
        self._metrics, self._inherited = metrics, inherited
        # Half for servers, half for clients; each front lets an eighth more in, only to be refused.
        spare = SPARE_SOCKETS + (operator.CONNECTIONS if config.operator else 0)
        self.sockets = max(8, (allowed(config.sockets) - spare) // 2)
        self._bodies = config.memory / BODIES_PART
        self._budget = Budget(self._bodies)
        self._crowded = 1 + ("chat" in config.extras)  # fronts that any client may call
        self.listeners: dict[str, socket.socket] = {}  # by address, as it is configured
        self.clients: list[tuple[Front, socket.socket]] = []  # fronts that have to be through at the end
        self.operators: list[tuple[Front, socket.socket]] = []  # what they meet lasts to the end
        self._crowds: list[Front] = []
        self.doors: ConnectionAdmission | None = None  # asked about each new client, where they are on
        self.aged: Callable[[float], None] | None = None  # told how long each request lay unread

    def open(self, service: Service) -> None:
        """Have a front for clients, which accepts from `serve` on."""
        front = Front(
            service.name,
            self._for_clients(1) if service.limit is None else service.limit,
            self._budget,
            service.handler,
            service.errors,
            self._metrics,
            refused=service.refused,
            aged=self.aged,
            keeps=service.keeps,
            doors=self.doors,
            quick=service.quick,
        )
        if service.limit is None:
            self._crowds.append(front)
        self.clients.append((front, self._listen(service.address)))

    def open_operator(self, address: str, handler: Handler, errors: ErrorBody) -> None:
        """Have the operators' front, which no client can fill."""
        front = Front(
            "operator",
            operator.CONNECTIONS,
            Budget(operator.MEMORY),
            handler,
            errors,
            self._metrics,
            request_s=operator.CALL_S,
            at_once=1,  # each is read before the next comes: half calls are known and make room
        )
        front.connections.end_with_answers(True)  # one call to a connection
        self.operators.append((front, self._listen(address)))

    def _listen(self, address: str) -> socket.socket:
        """A predecessor's listening socket, or else one of our own."""
        inherited = self._inherited
        listener = inherited.pop(address) if address in inherited else listen(address)
        self.listeners[address] = listener
        return listener

    def _for_clients(self, processes: int) -> int:
        return self.sockets * 8 // 9 // self._crowded // processes

    @staticmethod
    def serve(fronts: list[tuple[Front, socket.socket]], tasks: anyio.abc.TaskGroup) -> None:
        """Have these accept from now on."""
        for front, listener in fronts:
            tasks.start_soon(front.serve, listener, tasks)

    def accepting(self) -> bool:
        """Whether clients can come at each front."""
        return all(front.serving for front, _ in self.clients)

    def open_count(self) -> int:
        """How many clients' connections there are."""
        return sum(front.open for front, _ in self.clients)

    def drain(self) -> None:
        """Accept no more, close what rests, and read no further request behind an answer."""
        for front, listener in self.clients:
            front.drain()
            for address in [name for name, each in self.listeners.items() if each is listener]:
                del self.listeners[address]  # a successor that asks from here on binds its own

    def listening(self) -> dict[str, str]:
        """The address of each front by its name."""
        fronts = self.clients + self.operators
        return {front.name: "%s:%d" % listener.getsockname() for front, listener in fronts}

    def share(self, processes: int) -> None:
        """Divide the limits among the processes that there are of this conductor."""
        self._budget.limit = self._bodies / processes
        for front in self._crowds:
            front.connections.shrink(self._for_clients(processes))

    def leave(self, addresses: set[str]) -> None:
        """A successor serves at those."""
        theirs = [listener for address, listener in self.listeners.items() if address in addresses]
        for front, listener in self.clients:
            if listener in theirs:
                front.leave()

    def reopen(self) -> None:
        """The successor is gone: accept again."""
        for front, _ in self.clients:
            front.reopen()

    def close(self) -> None:
        """Listen no more."""
        for listener in self.listeners.values():
            listener.close()
