"""A model of every order of events for a lease with 3 acceptors and 2 proposers of the program.

A state consists of the five processes, the set of all datagrams ever sent, and the time. Any datagram may
arrive next, again, or never, so the paths include all losses, duplicates, delays and orders. Time advances in
whole steps in which no process has to run, so the paths include suspended processes. The proposers'
clocks run slow and the acceptors' fast, as far as the terms allow. A `PrepareRequest` or a
`StateTransferRequest` and its response are one event: a response only raises the token that is proposed next.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Iterator
from typing import Any, NamedTuple

from ringledge.decide.interface import Action, LeaseAcquired, SendMessage
from ringledge.decide.leases.acceptor import LeaseAcceptor
from ringledge.decide.leases.messages import LeaseTerms, PrepareRequest, StateTransferRequest
from ringledge.decide.leases.proposer import LeaseProposer

ACCEPTORS = ("a", "b", "c")
PROPOSERS = ("x", "y")
NAMES = (*ACCEPTORS, *PROPOSERS)  # processes are numbered by their place here
STEP_S = 1.0  # a third of a lease
DRIFT_SLACK = 1e-6  # inside the bound on clock drift, so that rounding decides nothing
DUTY = "d"


class Datagram(NamedTuple):
    """A message that was sent; processes by number."""

    sender: int
    recipient: int
    message: Any


class Receive(NamedTuple):
    """A process receives a message from the process of that number."""

    sender: int
    message: Any


class Tick(NamedTuple):
    """A process runs its periodic work."""


Event = Receive | Tick


class MinimumRandom:
    """Random numbers that are always the lowest, so that an event has one outcome."""

    def uniform(self, low: float, high: float) -> float:
        """The lower bound."""
        return low


class State(NamedTuple):
    """A state of the model; `processes` and `sent` are numbers in the model's tables."""

    step: int
    processes: tuple[int, ...]  # by NAMES
    sent: frozenset[int]
    highest_token: int  # of all holdings begun
    restarts: int


class Model:
    """The transitions between states, and the invariants of each state."""

    clock_drift = 0.1  # of all clocks, whatever the terms say

    def __init__(self, terms: LeaseTerms, max_steps: int, max_restarts: int) -> None:
        """`max_steps` of time and `max_restarts` of acceptors in a path."""
        self.terms = terms
        self.max_restarts = max_restarts
        self._max_steps = max_steps
        self._processes: list[bytes] = []  # pickled, by the numbers in states
        self._datagrams: list[Datagram] = []  # by the numbers in states
        self._numbers: dict[Any, int] = {}  # of both tables
        self._outcomes: dict[tuple[int, int, Event], tuple[int, list[Action]]] = {}
        self._tokens: dict[tuple[int, int], int | None] = {}

    def clock_s(self, index: int, step: int) -> float:
        """The reading of a process's clock at a step."""
        sign = 1 if index < len(ACCEPTORS) else -1
        return step * STEP_S * (1 + sign * (self.clock_drift - DRIFT_SLACK))

    def initial_state(self) -> State:
        """Acceptors that are active, proposers that have sent nothing."""
        processes = []
        for name in ACCEPTORS:
            acceptor = LeaseAcceptor(0.0, name, 1, self.terms)
            acceptor.recovery.active = True
            acceptor.recovery._silent_until_s = 0.0
            processes.append(self._process_number(acceptor))
        for name in PROPOSERS:
            random: Any = MinimumRandom()
            proposer = LeaseProposer(DUTY, name, 1, self.terms, random)
            processes.append(self._process_number(proposer))
        return State(0, tuple(processes), frozenset(), 0, 0)

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields each possible event, as text, with the state after it."""
        if state.step < self._max_steps:
            yield "wait", state._replace(step=state.step + 1)
        yield from self._deliveries(state)
        yield from self._ticks(state)
        if state.restarts < self.max_restarts:
            yield from self._restarts(state)

    def check_single_holder(self, state: State) -> None:
        """Raises AssertionError if both proposers hold the duty."""
        tokens = [self.token(state, index) for index in range(len(ACCEPTORS), len(NAMES))]
        if None not in tokens:
            raise AssertionError(f"both hold, under {tokens}")

    def token(self, state: State, index: int) -> int | None:
        """The token under which a proposer holds the duty in a state, or None."""
        key = (state.processes[index], state.step)
        if key not in self._tokens:
            proposer = pickle.loads(self._processes[key[0]])
            self._tokens[key] = proposer.token_at(self.clock_s(index, state.step))
        return self._tokens[key]

    def _deliveries(self, state: State) -> Iterator[tuple[str, State]]:
        for number in state.sent:
            datagram = self._datagrams[number]
            recipient, sender = NAMES[datagram.recipient], NAMES[datagram.sender]
            yield f"{recipient} hears {datagram.message} of {sender}", self._deliver(state, datagram)

    def _deliver(self, state: State, datagram: Datagram) -> State:
        sender, recipient, message = datagram
        after, actions = self._run(state, recipient, Receive(sender, message))
        if not isinstance(message, PrepareRequest | StateTransferRequest):
            return self._apply(after, recipient, actions)
        for action in actions:  # the response arrives in the same event
            assert isinstance(action, SendMessage)
            after, following = self._run(after, sender, Receive(recipient, action.message))
            after = self._apply(after, sender, following)
        return after

    def _ticks(self, state: State) -> Iterator[tuple[str, State]]:
        for index, name in enumerate(NAMES):
            after, actions = self._run(state, index, Tick())
            yield f"{name} ticks", self._apply(after, index, actions)

    def _restarts(self, state: State) -> Iterator[tuple[str, State]]:
        for index, name in enumerate(ACCEPTORS):
            start_number = state.restarts + 2
            now_s = self.clock_s(index, state.step)
            acceptor = self._process_number(LeaseAcceptor(now_s, name, start_number, self.terms))
            after = _with_process(state, index, acceptor)
            yield f"{name} restarts", after._replace(restarts=state.restarts + 1)

    def _run(self, state: State, index: int, event: Event) -> tuple[State, list[Action]]:
        """The state after an event at a process, and the process's actions."""
        key = (state.processes[index], state.step, event)
        if key not in self._outcomes:
            process = pickle.loads(self._processes[key[0]])
            actions = self._handle(process, index, self.clock_s(index, state.step), event)
            self._outcomes[key] = (self._process_number(process), actions)
        after, actions = self._outcomes[key]
        return _with_process(state, index, after), actions

    def _handle(self, process: Any, index: int, now_s: float, event: Event) -> list[Action]:
        actions: list[Action]
        match event:
            case Receive(sender, message):
                actions = process.receive(now_s, NAMES[sender], message)
            case Tick():
                is_proposer = index >= len(ACCEPTORS)
                actions = process.tick(now_s, 0.0) if is_proposer else process.tick(now_s)
        return actions

    def _apply(self, state: State, index: int, actions: list[Action]) -> State:
        """Sends the messages of a process and records its acquisition.

        Raises AssertionError if the token of a holding is not above those of all earlier holdings.
        """
        for action in actions:
            if isinstance(action, SendMessage):
                datagram = Datagram(index, NAMES.index(action.recipient), action.message)
                number = self._number(datagram, self._datagrams)
                state = state._replace(sent=state.sent | {number})
            elif isinstance(action, LeaseAcquired):
                if action.token <= state.highest_token:
                    text = f"{NAMES[index]} begins under {action.token} after {state.highest_token}"
                    raise AssertionError(text)
                state = state._replace(highest_token=action.token)
        return state

    def _process_number(self, process: LeaseAcceptor | LeaseProposer) -> int:
        pickled = io.BytesIO()
        pickler = pickle.Pickler(pickled)
        pickler.fast = True  # without references, so that equal processes give equal bytes
        pickler.dump(process)
        return self._number(pickled.getvalue(), self._processes)

    def _number(self, value: Any, table: list[Any]) -> int:
        number = self._numbers.get(value)
        if number is None:
            number = len(table)
            self._numbers[value] = number
            table.append(value)
        return number


def _with_process(state: State, index: int, process: int) -> State:
    processes = state.processes
    return state._replace(processes=(*processes[:index], process, *processes[index + 1 :]))
