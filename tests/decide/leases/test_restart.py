"""A member that learns of a predecessor with a higher start number votes again, as a new process would."""

from __future__ import annotations

from random import Random

import pytest

from ringledge.decide.interface import Action, LeaseEnded, SendMessage
from ringledge.decide.leases.manager import LeaseManager, LeaseTerms

NAMES = ("a", "b", "c")
TERMS = LeaseTerms(NAMES)
DUTY = "planner"
STEP_S = 0.05
START_NUMBER, HOUR_MS = 1_800_000_000_000, 3_600_000  # ms
RECOVERED_S = 30.0  # far more than the silence after a start and the delays before an acquisition


class Group:
    """Lease managers in virtual time, whose messages arrive immediately."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.managers: dict[str, LeaseManager] = {}
        self.ended: list[LeaseEnded] = []
        for name in NAMES:
            self.start(name, START_NUMBER)

    def start(self, name: str, start_number: int) -> None:
        """Start a process of that name, without any state of the previous one."""
        self.managers[name] = LeaseManager(self.now_s, name, start_number, TERMS, Random(name))
        self.managers[name].start_seeking(self.now_s, DUTY)
        for manager in self.managers.values():
            manager.set_live_members(self.managers)

    def execute(self, sender: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(recipient, message) if recipient in self.managers:
                    self.execute(recipient, self.managers[recipient].receive(self.now_s, sender, message))
                case LeaseEnded():
                    self.ended.append(action)

    def run(self, duration_s: float) -> None:
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            for name, manager in list(self.managers.items()):
                self.execute(name, manager.tick(self.now_s))
            assert len(self.holders()) <= 1

    def holders(self) -> dict[str, int]:
        """The token of each member that holds the duty."""
        tokens = {name: manager.token(self.now_s, DUTY) for name, manager in self.managers.items()}
        return {name: token for name, token in tokens.items() if token is not None}


@pytest.mark.parametrize("restarted_names", [("b",), ("b", "c"), ("c", "a")])
def test_duty_moves_on_after_restarts_with_a_clock_set_back(restarted_names: tuple[str, ...]) -> None:
    """Guards against a duty without a holder until the clock catches up, as its acceptors no longer voted."""
    group = Group()
    group.run(RECOVERED_S)
    before = max(group.holders().values())
    for name in restarted_names:
        group.start(name, START_NUMBER - HOUR_MS)
        group.run(STEP_S)
        # Its membership has learnt of the predecessor, and has raised the start number.
        group.execute(name, group.managers[name].restart(group.now_s, START_NUMBER + 1))
    group.run(RECOVERED_S)
    for lost in NAMES:  # whichever member holds the duty, the others can take it over
        if lost in group.holders():
            token = group.holders()[lost]
            assert token >= before
            del group.managers[lost]
            group.run(RECOVERED_S)
            assert group.holders() and min(group.holders().values()) > token
            return
    raise AssertionError("nobody holds the duty")


def test_what_is_held_under_the_lower_start_is_released() -> None:
    group = Group()
    group.run(RECOVERED_S)
    (holder, token), *_ = group.holders().items()
    group.execute(holder, group.managers[holder].restart(group.now_s, START_NUMBER + 1))
    assert group.managers[holder].token(group.now_s, DUTY) is None
    assert [each.token for each in group.ended] == [token]
    acceptor = group.managers[holder].acceptor
    assert acceptor is not None and not acceptor.recovery.active  # silent at first, like a new process
    group.run(RECOVERED_S)
    assert min(group.holders().values()) > token


def test_member_that_has_stopped_does_not_restart() -> None:
    group = Group()
    group.run(RECOVERED_S)
    group.execute("a", group.managers["a"].stop(group.now_s))
    assert group.managers["a"].restart(group.now_s, START_NUMBER + 1) == []
    assert group.managers["a"].acceptor is None


def test_tokens_grow_where_all_voters_restart_with_a_clock_set_back() -> None:
    """Guards against a holder whose effects are rejected as stale until the clock catches up."""
    group = Group()
    group.run(RECOVERED_S)
    before = max(group.holders().values())
    group.managers.clear()
    for name in NAMES:
        group.start(name, START_NUMBER - HOUR_MS)
    group.run(RECOVERED_S)
    assert min(group.holders().values()) > before, "the token is lower than before"
