"""Model test: in any order of transitions each entry ends once, and tokens never decrease."""

from __future__ import annotations

import sqlite3
import tempfile
from functools import partial
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.store import queries, schema, transitions
from ringledge.store.entry import (
    Entry,
    EntryOutcome,
    EntryState,
    InvalidTransitionError,
    QueuedRequest,
    StaleTokenError,
)
from tests.store.helpers import LIMITS, NOW_S, in_transaction, queued_request
from tests.store.test_transitions import Step

ACTIONS = st.sampled_from("put begin refused failed served withdraw adopt expire purge".split())
Action = tuple[str, int, bool, int]  # action, entry number, idempotent, token
MAX_ENTRY_NUMBER = 5


class TransitionModel:
    """Runs actions on a queue's file and checks its invariants after each of them."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db
        self._highest_token = 0
        self._outcomes: dict[str, EntryOutcome] = {}
        self._begun: dict[str, int] = {}  # number of attempts that may have run, by entry

    def run(self, action: Action, now_s: float) -> None:
        kind, number, idempotent, token = action
        name = f"{number}"
        if kind == "put":
            self._enqueue_new(queued_request(name, f"t{number % 2}", idempotent), now_s)
            result: object = None
        else:
            result = self._transition(_step(kind, name, token, now_s))
        if isinstance(result, Entry):
            self._check_attempt(kind, name, result)
        self._check_token()
        self._check_outcomes()
        self._check_totals()

    def _enqueue_new(self, request: QueuedRequest, now_s: float) -> None:
        if queries.get_entry(self._db, request.name) is not None or request.name in self._outcomes:
            return
        in_transaction(self._db, lambda db: transitions.enqueue(db, request, now_s, LIMITS))

    def _transition(self, step: Step) -> object:
        try:
            return in_transaction(self._db, step)
        except (StaleTokenError, InvalidTransitionError):
            return None

    def _check_attempt(self, kind: str, name: str, entry: Entry) -> None:
        if kind == "begin" and entry.state is EntryState.BEGUN:
            assert entry.request.idempotent or not self._begun.get(name), "a booking was begun twice"
            assert entry.token == queries.highest_token(self._db)
            self._begun[name] = self._begun.get(name, 0) + 1
        elif kind == "refused":
            self._begun[name] = 0  # the attempt did not run

    def _check_token(self) -> None:
        highest = queries.highest_token(self._db)
        assert highest >= self._highest_token
        self._highest_token = highest

    def _check_outcomes(self) -> None:
        for name in map(str, range(MAX_ENTRY_NUMBER + 1)):
            entry = queries.get_entry(self._db, name)
            if entry is not None and entry.outcome is not None:
                assert self._outcomes.setdefault(name, entry.outcome) is entry.outcome, "two outcomes"
            elif entry is not None:
                assert name not in self._outcomes, "an outcome was undone"

    def _check_totals(self) -> None:
        counted = "SELECT tenant, sum(state < 2) FROM entries GROUP BY tenant HAVING sum(state < 2)"
        totals = "SELECT tenant, entries FROM totals WHERE entries ORDER BY tenant"
        assert self._db.execute(counted).fetchall() == self._db.execute(totals).fetchall()


def _step(kind: str, name: str, token: int, now_s: float) -> Step:
    """Return the transition for an action."""
    failed_attempt = partial(
        transitions.record_failed_attempt, name=name, token=token, max_attempts=3, now_s=now_s
    )
    steps: dict[str, Step] = {
        "begin": partial(transitions.begin_attempt, name=name, token=token, now_s=now_s),
        "refused": partial(failed_attempt, may_have_run=False),
        "failed": partial(failed_attempt, may_have_run=True),
        "served": partial(
            transitions.complete,
            name=name,
            token=token,
            outcome=EntryOutcome.SERVED,
            response=b"{}",
            now_s=now_s,
        ),
        "withdraw": partial(transitions.withdraw, name=name, now_s=now_s),
        "adopt": partial(transitions.adopt, token=token, now_s=now_s),
        "expire": partial(transitions.expire, now_s=now_s + 60),
        "purge": partial(transitions.purge, now_s=now_s, retention_s=5.0),
    }
    return steps[kind]


@settings(max_examples=60, deadline=None)
@given(
    actions=st.lists(
        st.tuples(ACTIONS, st.integers(0, MAX_ENTRY_NUMBER), st.booleans(), st.integers(1, 4)), max_size=60
    )
)
def test_in_any_order_of_transitions_entries_end_once_and_tokens_never_decrease(
    actions: list[Action],
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        db = schema.connect(Path(folder) / "queue.db", 1.0)
        model = TransitionModel(db)
        for number, action in enumerate(actions):
            model.run(action, NOW_S + number)
        db.close()
