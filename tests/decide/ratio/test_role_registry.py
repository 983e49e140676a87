"""The role registry: accepted work in each phase of a role change, precedence and decoding of assignments."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio import role_registry as registry_module
from ringledge.decide.ratio.role_records import (
    decode_assignment,
    decode_assignments,
    encode_assignment,
    supersedes,
)
from ringledge.decide.ratio.role_registry import RolePhase, RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig

SETTINGS = RatioConfig()
PREFILL_WORK, DECODE_WORK = frozenset({"read"}), frozenset({"write"})
ALL_WORK = PREFILL_WORK | DECODE_WORK
Received = list[tuple[str, RoleAssignment]]
TimedAssignments = list[tuple[str, RoleAssignment, float]]

ASSIGNMENT = st.builds(
    RoleAssignment, st.integers(1, 4), st.integers(0, 4), st.sampled_from(["read", "write", "both"])
)
RECEIVED = st.lists(st.tuples(st.sampled_from("abc"), ASSIGNMENT), max_size=12)


def make_registry(*servers: str, kind: str = "both") -> RoleRegistry:
    registry = RoleRegistry(SETTINGS)
    registry.update_servers(0.0, dict.fromkeys(servers, kind))
    return registry


def test_change_of_role_passes_through_its_phases_and_accepts_new_role_last() -> None:
    registry = make_registry("a", "b")
    registry.receive(0.0, "b", RoleAssignment(1, 1, "write"))
    registry.receive(0.0, "a", RoleAssignment(1, 1, "read"))
    advanced = [phase for now_s in range(60) for server, phase in registry.tick(now_s) if server == "a"]
    assert advanced == [RolePhase.DRAINING, RolePhase.CHANGED, RolePhase.WARMING, RolePhase.STABLE]
    assert registry.accepted_work() == {"a": PREFILL_WORK, "b": DECODE_WORK}
    registry.update_in_flight("a", prefills=3, streams=0)
    registry.receive(100.0, "a", RoleAssignment(1, 2, "write"))
    assert registry.entries["a"].accepted_work() == frozenset()
    for at in (101.0, 102.0, 103.0):
        registry.tick(at)
    assert registry.entries["a"].phase is RolePhase.DRAINING  # prefills of this conductor are in flight
    registry.update_in_flight("a", prefills=0, streams=0)
    registry.update_observation("a", waiting_entries=2, warmth=1.0)
    registry.tick(104.0)
    assert registry.entries["a"].phase is RolePhase.DRAINING  # KV cache entries of another member wait there
    registry.update_observation("a", waiting_entries=0, warmth=1.0)
    registry.tick(105.0)
    assert registry.entries["a"].accepted_work() == DECODE_WORK


def test_drain_timeout_ends_draining_while_streams_remain() -> None:
    registry = make_registry("a", "b")
    registry.receive(0.0, "a", RoleAssignment(1, 1, "read"))
    registry.update_in_flight("a", prefills=0, streams=9)
    registry.tick(SETTINGS.propagation_s)
    registry.tick(SETTINGS.propagation_s + SETTINGS.drain_timeout_s - 0.1)
    assert registry.tick(SETTINGS.propagation_s + SETTINGS.drain_timeout_s - 0.1) == []
    assert registry.tick(SETTINGS.propagation_s + SETTINGS.drain_timeout_s) == [("a", RolePhase.CHANGED)]


def test_configured_kind_takes_precedence_over_assignment() -> None:
    registry = make_registry("a", kind="read")
    registry.receive(0.0, "a", RoleAssignment(1, 1, "write"))
    assert registry.entries["a"].accepted_work() == PREFILL_WORK
    registry.update_servers(5.0, {"a": "write"})
    assert registry.entries["a"].accepted_work() == DECODE_WORK
    registry.update_servers(6.0, {"a": "both"})  # the assignment applies to a mixed server
    assert registry.entries["a"].accepted_work() == DECODE_WORK
    registry.update_servers(7.0, {})
    assert registry.accepted_work() == {}


def test_planner_failover_during_a_change_keeps_it_and_fences_the_old_planner() -> None:
    registry = make_registry("a", "b")
    registry.receive(0.0, "a", RoleAssignment(1, 7, "read"))
    registry.tick(SETTINGS.propagation_s)
    # The new planner reissues the assignment, and the change continues in its present phase.
    assert registry.receive(2.0, "a", RoleAssignment(2, 1, "read"))
    assert (registry.entries["a"].phase, registry.entries["a"].requested_s) == (RolePhase.DRAINING, 0.0)
    # A late assignment of the old planner is rejected.
    assert not registry.receive(3.0, "a", RoleAssignment(1, 8, "write"))
    # It is also rejected for a server without an assignment by the new planner.
    assert not registry.receive(3.0, "b", RoleAssignment(1, 8, "write"))
    assert (registry.entries["a"].role, registry.entries["b"].role, registry.rejected) == ("read", "both", 2)
    # After the reversal, no work beyond the previous work is accepted.
    assert registry.receive(4.0, "a", RoleAssignment(3, 1, "write"))
    assert registry.entries["a"].accepted_work() == DECODE_WORK & registry.entries["a"].previous_work


def test_higher_token_takes_precedence_in_either_order_of_receipt() -> None:
    for received in ([(3, "read"), (2, "write")], [(2, "write"), (3, "read")]):
        registry = make_registry("a", "b")
        for token, role in received:
            registry.receive(0.0, "a", RoleAssignment(token, 5, role))
        assert registry.entries["a"].role == "read"


def test_without_a_planner_the_last_assignments_stay_in_force() -> None:
    registry = make_registry("a", "b")
    registry.receive(0.0, "a", RoleAssignment(1, 1, "read"))
    registry.receive(0.0, "b", RoleAssignment(1, 1, "write"))
    for at in range(10_000):
        registry.tick(float(at))
    assert registry.accepted_work() == {"a": PREFILL_WORK, "b": DECODE_WORK}


def converges(received: Received, order: list[int]) -> bool:
    """Whether two conductors that receive the same assignments in different orders have the same roles."""
    results = []
    for ordered in (received, [received[at] for at in order]):
        registry = make_registry("a", "b", "c")
        max_token = max(assignment.token for _, assignment in received)
        # A new planner reissues all assignments in force, so each server has one with the highest token.
        ordered = [*ordered, *((name, RoleAssignment(max_token, 9, "both")) for name in "abc")]
        for server, assignment in ordered:
            registry.receive(0.0, server, assignment)
        results.append({name: entry.role for name, entry in registry.entries.items()})
    return results[0] == results[1]


@given(RECEIVED.filter(len).flatmap(lambda h: st.tuples(st.just(h), st.permutations(range(len(h))))))
def test_reordered_and_duplicate_assignments_converge_to_the_same_roles(
    case: tuple[Received, list[int]],
) -> None:
    received, order = case
    assert converges(
        [*received, *received[:2]],
        [*order, *order[:2], *range(len(received), len(received) + 2)][: len(received)],
    )


def rejects_old_tokens(received: Received) -> bool:
    registry, max_token = make_registry("a", "b", "c"), 0
    for server, assignment in received:
        is_accepted = registry.receive(0.0, server, assignment)
        if is_accepted and assignment.token < max_token:
            return False
        max_token = max(max_token, assignment.token if is_accepted else 0)
    return True


@given(RECEIVED)
def test_tokens_below_the_highest_seen_are_rejected(received: Received) -> None:
    assert rejects_old_tokens(received)


def always_accepted(received: TimedAssignments) -> bool:
    """Whether each role is accepted by some server after every step."""
    registry, now_s = make_registry("a", "b", "c"), 0.0
    for server, assignment, wait_s in received:
        registry.receive(now_s, server, assignment)
        now_s += wait_s
        registry.tick(now_s)
        accepted = registry.accepted_work()
        if not all(any(role in work for work in accepted.values()) for role in ALL_WORK):
            return False
    return True


STEPS = st.lists(st.tuples(st.sampled_from("abc"), ASSIGNMENT, st.floats(0, 20)), max_size=12)


@given(STEPS)
def test_each_role_is_accepted_by_some_server_at_every_moment(
    received: TimedAssignments,
) -> None:
    assert always_accepted(received)


def test_mutants_of_the_registry_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    outdated: Received = [("a", RoleAssignment(2, 1, "read")), ("b", RoleAssignment(1, 1, "write"))]
    equal_numbers: Received = [("a", RoleAssignment(1, 1, "read")), ("a", RoleAssignment(1, 1, "write"))]

    class Unfenced(RoleRegistry):
        def receive(self, now_s: float, server: str, assignment: RoleAssignment) -> bool:
            self.token = 0
            return super().receive(now_s, server, assignment)

    class NoFallback(RoleRegistry):
        def accepted_work(self) -> dict[str, frozenset[str]]:
            return {server: entry.accepted_work() for server, entry in self.entries.items()}

    def last_wins(assignment: RoleAssignment, current: RoleAssignment | None) -> bool:
        return True

    all_prefill = [(name, RoleAssignment(1, 1, "read"), 1.0) for name in "abc"]
    mutants: list[tuple[str, object, Callable[[], bool]]] = [
        ("RoleRegistry", Unfenced, lambda: rejects_old_tokens(outdated)),
        ("RoleRegistry", NoFallback, lambda: always_accepted(all_prefill)),
        ("supersedes", last_wins, lambda: is_order_independent(equal_numbers)),
    ]
    for name, mutant, holds in mutants:
        assert holds()
        with monkeypatch.context() as patch:
            patch.setattr(registry_module, name, mutant)
            if name == "RoleRegistry":
                patch.setitem(globals(), "RoleRegistry", mutant)
            assert not holds(), mutant


def is_order_independent(received: Received) -> bool:
    results = set()
    for ordered in (received, received[::-1]):
        registry = make_registry("a", "b")
        for server, assignment in ordered:
            registry.receive(0.0, server, assignment)
        results.add(registry.entries["a"].role)
    return len(results) == 1


@given(ASSIGNMENT, st.text(min_size=1, max_size=30))
def test_encoded_assignment_decodes_to_itself(assignment: RoleAssignment, server: str) -> None:
    key, value = encode_assignment(server, assignment)
    assert decode_assignment(key, value) == (server, assignment)
    assert len(key) + len(value) < 200


@given(st.binary(max_size=80), st.sampled_from(["plan/a", "plan/", "demand/a", ""]))
def test_malformed_record_is_not_an_assignment(value: bytes, key: str) -> None:
    found = decode_assignment(key, value)
    assert found is None or (key == "plan/a" and found[1].role in ("read", "write", "both"))


def test_out_of_range_numbers_and_unknown_roles_are_rejected() -> None:
    assert decode_assignment(*encode_assignment("a", RoleAssignment(2**63, 1, "read"))) is None
    assert decode_assignment(*encode_assignment("a", RoleAssignment(1, -1, "read"))) is None
    assert decode_assignment(*encode_assignment("a", RoleAssignment(1, 1, "paint"))) is None
    records = dict(
        ((f"m{n}", "plan/a"), encode_assignment("a", RoleAssignment(n, 1, "read"))[1]) for n in (3, 1, 2)
    )
    assert [assignment.token for _, assignment in decode_assignments(records)] == [1, 2, 3]
    assert supersedes(RoleAssignment(2, 1, "read"), RoleAssignment(1, 9, "write"))
