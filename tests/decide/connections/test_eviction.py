"""Who gives way at a full door."""

from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.connections.eviction import Guest, gives_way

guests = st.lists(st.builds(Guest, st.floats(0, 1e6), st.booleans(), st.booleans()), min_size=1, max_size=9)


def kind(guest: Guest) -> int:
    return 1 if guest.half else 2 if guest.asked else 0


@given(guests)
def test_who_never_asked_goes_before_half_a_request_and_that_before_who_did(each: list[Guest]) -> None:
    place = gives_way(each)
    assert place is not None
    assert kind(each[place]) == min(map(kind, each))
    assert all(each[place].since <= other.since for other in each if kind(other) == kind(each[place]))


def test_a_terminal_that_asked_an_hour_ago_goes_after_a_flood_that_never_spoke() -> None:
    assert gives_way([Guest(0.0, True, False), Guest(3600.0, False, False)]) == 1
    assert gives_way([]) is None
