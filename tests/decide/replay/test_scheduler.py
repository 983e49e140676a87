"""Whose queued request is next: fair in work, by age, nobody for ever."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.replay.fair_share import jain
from ringledge.decide.replay.rate_control import Pace
from ringledge.decide.replay.scheduler import Fair, Head, Replay, Verdict


def fast(most: int = 8) -> Replay:
    """One that is held back by nothing but what is under way."""
    pace = Pace(random.Random(1), jitter_s=0.0)
    pace.allot(-10.0, 1e12)
    pace.opened(-10.0)
    pace.rate = 1e12
    return Replay(pace, most)


def one(tenant: str, number: int, work: float = 100.0, created_s: float = 0.0) -> Head:
    return Head(f"{tenant}{number}", tenant, work, created_s, True)


def serve(
    fair: Fair, queues: dict[str, list[float]], rounds: int, by_count: bool = False
) -> dict[str, float]:
    """Send so many, each tenant's oldest first; the work that each has got. `by_count`: the mutant."""
    got, places = defaultdict[str, float](float), dict.fromkeys(queues, 0)
    for _ in range(rounds):
        heads = [
            one(tenant, places[tenant], works[places[tenant] % len(works)], places[tenant])
            for tenant, works in queues.items()
        ]
        head = fair.first(heads)
        assert head is not None
        fair.charge(head, 1.0 if by_count else head.work)
        got[head.tenant] += head.work
        places[head.tenant] += 1
    return got


WORK = st.floats(1.0, 1000.0)


@settings(max_examples=80, deadline=None)
@given(
    queues=st.dictionaries(st.sampled_from("abcde"), st.lists(WORK, min_size=1, max_size=5), min_size=2),
    weights=st.dictionaries(st.sampled_from("abcde"), st.floats(0.5, 4.0)),
)
def test_work_by_weight_differs_by_no_more_than_the_largest_request(
    queues: dict[str, list[float]], weights: dict[str, float]
) -> None:
    """The bound of start-time fair queuing: between any two tenants, the largest of each over its weight."""
    got = serve(Fair(weights), queues, 400)
    for one in queues:
        for other in queues:
            bound = sum(max(queues[each]) / weights.get(each, 1.0) for each in (one, other))
            differ = got[one] / weights.get(one, 1.0) - got[other] / weights.get(other, 1.0)
            assert differ <= bound + 1e-6


def test_fairness_by_request_count_is_caught() -> None:
    """The mutant: where requests differ a hundredfold in work, equal counts are no equal shares."""
    queues = {"small": [10.0], "large": [1000.0]}
    by_work, by_count = serve(Fair({}), queues, 2000), serve(Fair({}), queues, 2000, by_count=True)
    assert jain(by_work.values()) > 0.99
    assert jain(by_count.values()) < 0.6


def test_who_comes_late_starts_at_the_present() -> None:
    fair = Fair({})
    for number in range(50):
        fair.charge(Head(f"a{number}", "a", 100.0, number, True), 100.0)
    order = []
    for number in range(10):
        head = fair.first([one("a", 90 + number), one("b", number, created_s=1.0)])
        assert head is not None
        fair.charge(head, 100.0)
        order.append(head.tenant)
    assert 4 <= order.count("b") <= 6  # its share from now on, not fifty in a row


def test_within_a_tenant_the_oldest_goes_first_and_none_twice() -> None:
    replay, heads = fast(), [Head(f"{age}", "a", 1.0, float(age), True) for age in (3, 1, 2)]
    sent = [replay.choose(0.0, heads) for _ in range(4)]
    assert [head.name if head else None for head in sent] == ["1", "2", "3", None]


def test_a_refused_one_costs_its_tenant_nothing_and_a_heavy_one_what_it_took() -> None:
    replay = fast()
    first, other = one("a", 1, 500.0), one("b", 1, 500.0, 1.0)
    assert replay.choose(0.0, [first, other]) is first
    replay.ended(0.0, "a1", Verdict.REFUSED)
    replay.pace.rate = 1e12
    assert replay.choose(2.0, [first, other]) is first  # its turn is not lost
    replay.ended(2.0, "a1", Verdict.SERVED, work=5000.0)
    for number in range(9):
        head = replay.choose(3.0 + number, [one("a", 2, 500.0), one("b", number, 500.0, 2.0)])
        assert head is not None and head.tenant == "b"
        replay.ended(3.0 + number, head.name, Verdict.SERVED)
    assert replay.done == {"a": 5000.0, "b": 4500.0}


def test_the_tenant_with_the_largest_backlog_and_most_live_traffic_takes_nothing_from_others() -> None:
    """What it asks for live is no claim on the replay, and its backlog none on the others' turns."""
    replay, place = fast(most=1), defaultdict[str, int](int)
    for number in range(300):
        heads = [one("big", place["big"])]
        if place["small"] < 30:
            heads.append(one("small", place["small"], created_s=9.0))
        head = replay.choose(float(number), heads)
        assert head is not None
        place[head.tenant] += 1
        replay.ended(float(number), head.name, Verdict.SERVED)
        if number == 60:
            assert place["small"] >= 29  # all through after twice its own work, not behind the large backlog


def test_a_link_is_tried_with_one_that_may_run_twice() -> None:
    replay = fast()
    replay.pace.closed()
    heads = [Head("book", "a", 1.0, 0.0, False), Head("ask", "a", 1.0, 1.0, True)]
    assert replay.choose(0.0, heads) is None  # closed: nothing but a try
    head = replay.choose(0.0, heads, probing=True)
    assert head is not None and head.name == "ask"
    assert replay.choose(0.1, heads, probing=True) is None  # one alone
    replay.ended(0.2, "ask", Verdict.REFUSED)
    assert replay.choose(0.3, heads, probing=True) is None  # and not at once again
    assert replay.choose(4.0, heads, probing=True) is not None


@pytest.mark.parametrize("most", [1, 4])
def test_no_more_are_under_way_than_allowed(most: int) -> None:
    replay, heads = fast(most), [one("a", n, 1.0, n) for n in range(9)]
    assert sum(replay.choose(0.0, heads) is not None for _ in range(9)) == most == replay.under_way
