"""Breadth-first search of the exhaustive model, and the initial states of searches."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tests.simulated.exhaustive import Model, State


@dataclass
class SearchResult:
    """The results of a search."""

    states: int = 0
    depth: int = 0  # in events
    acquisitions: int = 0
    violation: str = ""  # of an invariant; the search stops there
    path: list[str] = field(default_factory=list)  # the events that led to it


class _Search:
    """A search with the states seen so far and the event that first led to each."""

    def __init__(self, model: Model, initial: State, wanted: Callable[[str], bool]) -> None:
        self._model = model
        self._wanted = wanted
        self._seen = {initial}
        self._frontier = [initial]
        self._origins: dict[State, tuple[State, str]] = {}
        self._result = SearchResult()

    def run(self, depth: int) -> SearchResult:
        """Searches all states within `depth` events."""
        try:
            while self._frontier and self._result.depth < depth:
                self._frontier = [after for state in self._frontier for after in self._expand(state)]
                self._result.depth += 1
        except _ViolationError as error:
            self._result.violation = str(error)
            self._result.path = self._path(error.state)
        self._result.states = len(self._seen)
        return self._result

    def _expand(self, state: State) -> list[State]:
        """The successors of a state that were not seen before."""
        following = []
        try:
            for event, after in self._model.transitions(state):
                if after not in self._seen and self._wanted(event):
                    self._add(state, event, after)
                    following.append(after)
        except AssertionError as error:
            raise _ViolationError(state, str(error)) from error
        return following

    def _add(self, state: State, event: str, after: State) -> None:
        self._seen.add(after)
        self._origins[after] = (state, event)
        self._result.acquisitions += after.highest_token > state.highest_token
        try:
            self._model.check_single_holder(after)
        except AssertionError as error:
            raise _ViolationError(after, str(error)) from error

    def _path(self, state: State) -> list[str]:
        events = []
        while state in self._origins:
            state, event = self._origins[state]
            events.append(event)
        return events[::-1]


class _ViolationError(Exception):
    """An invariant does not hold in, or just after, a state."""

    def __init__(self, state: State, text: str) -> None:
        super().__init__(text)
        self.state = state


def search(
    model: Model, initial: State, depth: int, wanted: Callable[[str], bool] = lambda event: True
) -> SearchResult:
    """Searches all states within `depth` events of the initial state; `wanted` selects events by text."""
    return _Search(model, initial, wanted).run(depth)


def walk(model: Model, state: State, *events: str) -> State:
    """Follows events, each given by the start of its text; takes the first that changes the state."""
    for event in events:
        changes = (
            after
            for description, after in model.transitions(state)
            if description.startswith(event) and after != state
        )
        state = next(changes)
    return state


def initial_states(model: Model) -> dict[str, State]:
    """The initial states of searches: a fleet at rest, and states that are too deep to be reached from it."""
    rest = model.initial_state()
    prepared = walk(model, rest, "x ticks", "a hears PrepareRequest", "b hears PrepareRequest")
    proposed = walk(model, prepared, "a hears ProposeRequest", "b hears ProposeRequest")
    held = walk(model, proposed, "x hears ProposeAccepted", "x hears ProposeAccepted")
    assert held.highest_token
    contended = walk(model, held, "y ticks")
    late = walk(model, contended, "wait", "wait")
    states = {"at rest": rest, "prepared": prepared, "held": contended, "held two thirds of a lease": late}
    if model.max_restarts:
        restarted = walk(model, contended, "a restarts", "b restarts")
        recovering = walk(model, restarted, *4 * ["wait"], "a ticks", "b ticks")
        states |= {"two acceptors restarted": restarted, "two acceptors recovering": recovering}
    return states
