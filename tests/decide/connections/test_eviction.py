"""Choice of the connection to close when a front is at its limit."""

from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.connections.eviction import EvictionCandidate, select_victim

candidate_lists = st.lists(
    st.builds(EvictionCandidate, st.floats(0, 1e6), st.booleans(), st.booleans()), min_size=1, max_size=9
)


def expected_class(candidate: EvictionCandidate) -> int:
    return 1 if candidate.request_incomplete else 2 if candidate.had_request else 0


@given(candidate_lists)
def test_connections_without_request_go_before_incomplete_requests_before_idle_clients(
    candidates: list[EvictionCandidate],
) -> None:
    index = select_victim(candidates)
    assert index is not None
    victim = candidates[index]
    assert expected_class(victim) == min(map(expected_class, candidates))
    assert all(
        victim.state_since_s <= other.state_since_s
        for other in candidates
        if expected_class(other) == expected_class(victim)
    )


def test_client_idle_for_an_hour_goes_after_a_new_connection_without_request() -> None:
    assert select_victim([EvictionCandidate(0.0, True, False), EvictionCandidate(3600.0, False, False)]) == 1
    assert select_victim([]) is None
