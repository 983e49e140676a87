"""Who gives way at a full door."""

from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.connections.eviction import EvictionCandidate, select_victim

guests = st.lists(
    st.builds(EvictionCandidate, st.floats(0, 1e6), st.booleans(), st.booleans()), min_size=1, max_size=9
)


def kind(guest: EvictionCandidate) -> int:
    return 1 if guest.request_incomplete else 2 if guest.had_request else 0


@given(guests)
def test_who_never_asked_goes_before_half_a_request_and_that_before_who_did(
    each: list[EvictionCandidate],
) -> None:
    place = select_victim(each)
    assert place is not None
    assert kind(each[place]) == min(map(kind, each))
    assert all(
        each[place].state_since_s <= other.state_since_s for other in each if kind(other) == kind(each[place])
    )


def test_a_terminal_that_asked_an_hour_ago_goes_after_a_flood_that_never_spoke() -> None:
    assert select_victim([EvictionCandidate(0.0, True, False), EvictionCandidate(3600.0, False, False)]) == 1
    assert select_victim([]) is None
