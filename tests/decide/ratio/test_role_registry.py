"""A conductor's book of roles: what is open to new work, in each state of a change and whatever is heard."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio import role_registry as roles
from ringledge.decide.ratio.role_records import decode, encode, newer, rows
from ringledge.decide.ratio.role_registry import RoleBook, State
from ringledge.decide.ratio.settings import RatioConfig

SET = RatioConfig()
READ, WRITE = frozenset({"read"}), frozenset({"write"})
BOTH = READ | WRITE
Heard = list[tuple[str, RoleAssignment]]

ROW = st.builds(
    RoleAssignment, st.integers(1, 4), st.integers(0, 4), st.sampled_from(["read", "write", "both"])
)
HEARD = st.lists(st.tuples(st.sampled_from("abc"), ROW), max_size=12)


def book(*servers: str, kind: str = "both") -> RoleBook:
    made = RoleBook(SET)
    made.listed(0.0, dict.fromkeys(servers, kind))
    return made


def test_a_change_goes_through_its_states_and_opens_the_new_role_last() -> None:
    its = book("a", "b")
    its.receive(0.0, "b", RoleAssignment(1, 1, "write"))
    its.receive(0.0, "a", RoleAssignment(1, 1, "read"))
    seen = [(at, state) for at in range(60) for server, state in its.tick(at) if server == "a"]
    assert [state for _, state in seen] == [State.DRAINING, State.CHANGED, State.WARMING, State.BACK]
    assert its.roles() == {"a": READ, "b": WRITE}
    its.work("a", reads=3, streams=0)
    its.receive(100.0, "a", RoleAssignment(1, 2, "write"))
    assert its.places["a"].open() == frozenset()
    for at in (101.0, 102.0, 103.0):
        its.tick(at)
    assert its.places["a"].state is State.DRAINING  # its own reads are not done
    its.work("a", reads=0, streams=0)
    its.seen("a", waiting=2, warmth=1.0)
    its.tick(104.0)
    assert its.places["a"].state is State.DRAINING  # another member's states wait there
    its.seen("a", waiting=0, warmth=1.0)
    its.tick(105.0)
    assert its.places["a"].open() == WRITE


def test_what_does_not_end_holds_a_change_up_no_longer_than_the_longest_drain() -> None:
    its = book("a", "b")
    its.receive(0.0, "a", RoleAssignment(1, 1, "read"))
    its.work("a", reads=0, streams=9)
    its.tick(SET.spread_s)
    its.tick(SET.spread_s + SET.drain_s - 0.1)
    assert its.tick(SET.spread_s + SET.drain_s - 0.1) == []
    assert its.tick(SET.spread_s + SET.drain_s) == [("a", State.CHANGED)]


def test_the_list_leads_and_a_row_never_goes_against_a_kind() -> None:
    its = book("a", kind="read")
    its.receive(0.0, "a", RoleAssignment(1, 1, "write"))
    assert its.places["a"].open() == READ
    its.listed(5.0, {"a": "write"})
    assert its.places["a"].open() == WRITE
    its.listed(6.0, {"a": "both"})  # now the row counts
    assert its.places["a"].open() == WRITE
    its.listed(7.0, {})
    assert its.roles() == {}


def test_the_planner_changes_in_the_middle_of_a_change() -> None:
    its = book("a", "b")
    its.receive(0.0, "a", RoleAssignment(1, 7, "read"))
    its.tick(SET.spread_s)
    assert its.receive(2.0, "a", RoleAssignment(2, 1, "read"))  # told anew: the change goes on where it is
    assert (its.places["a"].state, its.places["a"].asked_s) == (State.DRAINING, 0.0)
    assert not its.receive(3.0, "a", RoleAssignment(1, 8, "write"))  # the old planner, late
    assert not its.receive(
        3.0, "b", RoleAssignment(1, 8, "write")
    )  # also where the new one has said nothing yet
    assert (its.places["a"].role, its.places["b"].role, its.refused) == ("read", "both", 2)
    assert its.receive(
        4.0, "a", RoleAssignment(3, 1, "write")
    )  # turned back: nothing it may still hold is added to
    assert its.places["a"].open() == WRITE & its.places["a"].before


def test_two_plans_with_the_same_number_the_higher_token_wins_in_either_order() -> None:
    for heard in ([(3, "read"), (2, "write")], [(2, "write"), (3, "read")]):
        its = book("a", "b")
        for token, role in heard:
            its.receive(0.0, "a", RoleAssignment(token, 5, role))
        assert its.places["a"].role == "read"


def test_no_planner_the_plan_last_in_force_stays() -> None:
    its = book("a", "b")
    its.receive(0.0, "a", RoleAssignment(1, 1, "read"))
    its.receive(0.0, "b", RoleAssignment(1, 1, "write"))
    for at in range(10_000):
        its.tick(float(at))
    assert its.roles() == {"a": READ, "b": WRITE}


def converges(heard: Heard, order: list[int]) -> bool:
    """Whether two conductors that hear the same rows in two orders end with the same roles."""
    ends = []
    for which in (heard, [heard[at] for at in order]):
        its = book("a", "b", "c")
        top = max(row.token for _, row in heard)
        # A planner that begins tells all rows in force anew, so each server has one of the highest token.
        which = [*which, *((name, RoleAssignment(top, 9, "both")) for name in "abc")]
        for server, row in which:
            its.receive(0.0, server, row)
        ends.append({name: place.role for name, place in its.places.items()})
    return ends[0] == ends[1]


@given(HEARD.filter(len).flatmap(lambda h: st.tuples(st.just(h), st.permutations(range(len(h))))))
def test_rows_in_any_order_and_twice_end_in_the_same_roles(told: tuple[Heard, list[int]]) -> None:
    heard, order = told
    assert converges(
        [*heard, *heard[:2]], [*order, *order[:2], *range(len(heard), len(heard) + 2)][: len(heard)]
    )


def refuses_old_tokens(heard: Heard) -> bool:
    its, top = book("a", "b", "c"), 0
    for server, row in heard:
        taken = its.receive(0.0, server, row)
        if taken and row.token < top:
            return False
        top = max(top, row.token if taken else 0)
    return True


@given(HEARD)
def test_below_the_highest_token_seen_nothing_is_taken(heard: Heard) -> None:
    assert refuses_old_tokens(heard)


def never_shut(heard: list[tuple[str, RoleAssignment, float]]) -> bool:
    """Whether at every moment some server is open for each role, and none for the role it drains of."""
    its, now_s = book("a", "b", "c"), 0.0
    for server, row, wait_s in heard:
        its.receive(now_s, server, row)
        now_s += wait_s
        its.tick(now_s)
        opened = its.roles()
        if not all(any(role in does for does in opened.values()) for role in BOTH):
            return False
    return True


STEPS = st.lists(st.tuples(st.sampled_from("abc"), ROW, st.floats(0, 20)), max_size=12)


@given(STEPS)
def test_at_every_moment_each_role_is_open_somewhere(heard: list[tuple[str, RoleAssignment, float]]) -> None:
    assert never_shut(heard)


def test_mutants_of_the_book_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    late: Heard = [("a", RoleAssignment(2, 1, "read")), ("b", RoleAssignment(1, 1, "write"))]
    same: Heard = [("a", RoleAssignment(1, 1, "read")), ("a", RoleAssignment(1, 1, "write"))]

    class Unfenced(RoleBook):
        def receive(self, now_s: float, server: str, row: RoleAssignment) -> bool:
            self.token = 0
            return super().receive(now_s, server, row)

    class Shuts(RoleBook):
        def roles(self) -> dict[str, frozenset[str]]:
            return {server: place.open() for server, place in self.places.items()}

    def last_wins(row: RoleAssignment, than: RoleAssignment | None) -> bool:
        return True

    shut = [(name, RoleAssignment(1, 1, "read"), 1.0) for name in "abc"]
    mutants: list[tuple[str, object, Callable[[], bool]]] = [
        ("RoleBook", Unfenced, lambda: refuses_old_tokens(late)),
        ("RoleBook", Shuts, lambda: never_shut(shut)),
        ("newer", last_wins, lambda: order_free(same)),
    ]
    for name, mutant, holds in mutants:
        assert holds()
        with monkeypatch.context() as patch:
            patch.setattr(roles, name, mutant)
            if name == "RoleBook":
                patch.setitem(globals(), "RoleBook", mutant)
            assert not holds(), mutant


def order_free(heard: Heard) -> bool:
    ends = set()
    for which in (heard, heard[::-1]):
        its = book("a", "b")
        for server, row in which:
            its.receive(0.0, server, row)
        ends.add(its.places["a"].role)
    return len(ends) == 1


@given(ROW, st.text(min_size=1, max_size=30))
def test_rows_go_out_and_come_back(row: RoleAssignment, server: str) -> None:
    key, value = encode(server, row)
    assert decode(key, value) == (server, row)
    assert len(key) + len(value) < 200


@given(st.binary(max_size=80), st.sampled_from(["plan/a", "plan/", "demand/a", ""]))
def test_nonsense_is_no_row(value: bytes, key: str) -> None:
    found = decode(key, value)
    assert found is None or (key == "plan/a" and found[1].role in ("read", "write", "both"))


def test_a_token_beyond_measure_is_no_row() -> None:
    assert decode(*encode("a", RoleAssignment(2**63, 1, "read"))) is None
    assert decode(*encode("a", RoleAssignment(1, -1, "read"))) is None
    assert decode(*encode("a", RoleAssignment(1, 1, "paint"))) is None
    facts = dict(((f"m{n}", "plan/a"), encode("a", RoleAssignment(n, 1, "read"))[1]) for n in (3, 1, 2))
    assert [row.token for _, row in rows(facts)] == [1, 2, 3]
    assert newer(RoleAssignment(2, 1, "read"), RoleAssignment(1, 9, "write"))
