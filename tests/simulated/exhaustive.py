"""Every order of events of a small lease: 3 voters, 2 seekers, the program's own objects.

A state is all five processes, the set of all datagrams ever sent, and the time. Since any datagram sent may
arrive next, or again, or never, all losses, doubles, delays and orders are among the paths. Time goes in
whole steps, in which no process need get its turn: a suspended process is among the paths too. The proposers'
clocks run slow and the acceptors' fast, as far as the terms allow. A `PrepareRequest` or a
`StateTransferRequest` and its response are one event: a response only raises the token that is proposed next.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ringledge.decide.interface import Action, LeaseAcquired, SendMessage
from ringledge.decide.leases.acceptor import LeaseAcceptor
from ringledge.decide.leases.messages import LeaseTerms, PrepareRequest, StateTransferRequest
from ringledge.decide.leases.proposer import LeaseProposer

VOTERS, SEEKERS = ("a", "b", "c"), ("x", "y")
NAMES = (*VOTERS, *SEEKERS)
STEP_S = 1.0  # a third of a lease
SLACK = 1e-6  # inside the bound on rates, so that rounding decides nothing
DUTY = "d"

Sent = tuple[int, int, Any]  # from, to (places in NAMES), message


class First:
    """Stands for random numbers: the first that is allowed, so that a state has one way on."""

    def uniform(self, low: float, high: float) -> float:
        """The least."""
        return low


class State(NamedTuple):
    """All that there is at a moment."""

    step: int
    processes: tuple[int, ...]  # by NAMES; numbers of the model
    sent: frozenset[int]  # likewise
    begun: int  # the highest token
    restarts: int


@dataclass
class Found:
    """What the search saw."""

    states: int = 0
    depth: int = 0
    begins: int = 0
    broken: str = ""
    path: list[str] = field(default_factory=list)


class Model:
    """Ways on from a state, and what must hold in each."""

    rate = 0.1  # by which clocks are off, whatever the terms say

    def __init__(self, terms: LeaseTerms, steps: int, restarts: int) -> None:
        """`steps` of time and `restarts` of voters at most."""
        self.terms, self._steps, self.restarts = terms, steps, restarts
        self._processes: list[bytes] = []  # by the numbers that states hold
        self._sent: list[Sent] = []
        self._number: dict[Any, int] = {}
        self._after: dict[tuple[int, int, Any], tuple[int, list[Action]]] = {}
        self._tokens: dict[tuple[int, int], int | None] = {}

    def clock_s(self, index: int, step: int) -> float:
        """What the process reads at that step."""
        sign = 1 if index < len(VOTERS) else -1
        return step * STEP_S * (1 + sign * (self.rate - SLACK))

    def _as_number(self, what: Any, table: list[Any]) -> int:
        number = self._number.get(what)
        if number is None:
            number = self._number[what] = len(table)
            table.append(what)
        return number

    def _frozen(self, process: LeaseAcceptor | LeaseProposer) -> int:
        out = io.BytesIO()
        pickler = pickle.Pickler(out)
        pickler.fast = True  # without references, so that equal processes give equal bytes
        pickler.dump(process)
        return self._as_number(out.getvalue(), self._processes)

    def first(self) -> State:
        """Voters that vote already, seekers that have said nothing."""
        processes = []
        for name in VOTERS:
            voter = LeaseAcceptor(0.0, name, 1, self.terms)
            voter.recovery.active, voter.recovery._silent_until_s = True, 0.0
            processes.append(self._frozen(voter))
        for name in SEEKERS:
            seeker = LeaseProposer(DUTY, name, 1, self.terms, First())  # type: ignore[arg-type]
            processes.append(self._frozen(seeker))
        return State(0, tuple(processes), frozenset(), 0, 0)

    def ways(self, state: State) -> Iterator[tuple[str, State]]:
        """Every event that may come next, with what it leads to."""
        if state.step < self._steps:
            yield "wait", state._replace(step=state.step + 1)
        for number in state.sent:
            sender, to, message = self._sent[number]
            after, actions = self._event(state, to, ("hear", sender, message))
            if isinstance(message, PrepareRequest | StateTransferRequest):  # there and back in one event
                for each in actions:
                    assert isinstance(each, SendMessage)
                    after, then = self._event(after, sender, ("hear", to, each.message))
                    after = self._tell(after, sender, then)
            else:
                after = self._tell(after, to, actions)
            yield f"{NAMES[to]} hears {message} of {NAMES[sender]}", after
        for index, name in enumerate(NAMES):
            after, actions = self._event(state, index, ("tick",))
            yield f"{name} ticks", self._tell(after, index, actions)
        if state.restarts < self.restarts:
            for index, name in enumerate(VOTERS):
                start, now_s = state.restarts + 2, self.clock_s(index, state.step)
                voter = self._frozen(LeaseAcceptor(now_s, name, start, self.terms))
                yield f"{name} restarts", _with(state, index, voter)._replace(restarts=state.restarts + 1)

    def _event(self, state: State, index: int, event: tuple[Any, ...]) -> tuple[State, list[Action]]:
        """What a process becomes by an event, and what it says."""
        key = (state.processes[index], state.step, event)
        if key not in self._after:
            process, now_s = pickle.loads(self._processes[key[0]]), self.clock_s(index, state.step)
            if event[0] == "hear":
                actions = process.receive(now_s, NAMES[event[1]], event[2])
            else:
                actions = process.tick(now_s, 0.0) if index >= len(VOTERS) else process.tick(now_s)
            self._after[key] = (self._frozen(process), actions)
        after, actions = self._after[key]
        return _with(state, index, after), actions

    def _tell(self, state: State, index: int, actions: list[Action]) -> State:
        """Have what a process said sent, and its holding known."""
        for each in actions:
            if isinstance(each, SendMessage):
                told = (index, NAMES.index(each.recipient), each.message)
                state = state._replace(sent=state.sent | {self._as_number(told, self._sent)})
            elif isinstance(each, LeaseAcquired):
                if each.token <= state.begun:
                    raise AssertionError(f"{NAMES[index]} begins under {each.token} after {state.begun}")
                state = state._replace(begun=each.token)
        return state

    def check(self, state: State) -> None:
        """At most one holds."""
        tokens = [self.token(state, index) for index in range(len(VOTERS), len(NAMES))]
        if None not in tokens:
            raise AssertionError(f"both hold, under {tokens}")

    def token(self, state: State, index: int) -> int | None:
        """Under which that seeker holds the duty at that moment."""
        key = (state.processes[index], state.step)
        if key not in self._tokens:
            seeker = pickle.loads(self._processes[key[0]])
            self._tokens[key] = seeker.token_at(self.clock_s(index, state.step))
        return self._tokens[key]


def _with(state: State, index: int, process: int) -> State:
    processes = state.processes
    return state._replace(processes=(*processes[:index], process, *processes[index + 1 :]))


def search(
    model: Model, first: State, depth: int, wanted: Callable[[str], bool] = lambda what: True
) -> Found:
    """All states within `depth` events of the first, by events that are wanted; stops at a breach."""
    found, seen, edge = Found(), {first}, [first]
    came: dict[State, tuple[State, str]] = {}
    while edge and found.depth < depth:
        following = []
        for state in edge:
            ways = model.ways(state)
            while True:
                try:
                    what, after = next(ways)
                except StopIteration:
                    break
                except AssertionError as error:
                    return _broken(found, seen, came, state, str(error))
                if after in seen or not wanted(what):
                    continue
                seen.add(after)
                came[after] = (state, what)
                found.begins += after.begun > state.begun
                try:
                    model.check(after)
                except AssertionError as error:
                    return _broken(found, seen, came, after, str(error))
                following.append(after)
        found.depth, edge = found.depth + 1, following
    found.states = len(seen)
    return found


def _broken(
    found: Found, seen: set[State], came: dict[State, tuple[State, str]], state: State, why: str
) -> Found:
    found.broken, found.states = why, len(seen)
    while state in came:
        state, what = came[state]
        found.path.insert(0, what)
    return found


def walk(model: Model, state: State, *events: str) -> State:
    """Go on by events, each told by how it begins; the first that fits and changes something."""
    for event in events:
        fits = (after for what, after in model.ways(state) if what.startswith(event) and after != state)
        state = next(fits)
    return state


def starts(model: Model) -> dict[str, State]:
    """Where a search begins: a fleet at rest, and situations that lie too deep to be reached from there."""
    rest = model.first()
    asked = walk(model, rest, "x ticks", "a hears PrepareRequest", "b hears PrepareRequest")
    taken = walk(
        model,
        asked,
        "a hears ProposeRequest",
        "b hears ProposeRequest",
        "x hears ProposeAccepted",
        "x hears ProposeAccepted",
    )
    assert taken.begun
    wanted = walk(model, taken, "y ticks")
    late = walk(model, wanted, "wait", "wait")
    out = {"at rest": rest, "asked": asked, "held": wanted, "held two thirds of a lease": late}
    if model.restarts:
        again = walk(model, wanted, "a restarts", "b restarts")
        learning = walk(model, again, *4 * ["wait"], "a ticks", "b ticks")
        out |= {"two voters started again": again, "two voters learn": learning}
    return out
