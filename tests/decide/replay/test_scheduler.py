"""The order of replay: fair by work among tenants, by age within a tenant, without starvation."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.replay.fair_share import jain_index
from ringledge.decide.replay.rate_control import RateController
from ringledge.decide.replay.scheduler import QueueHead, ReplayScheduler, SendOutcome, StartTimeFairQueue


def unlimited_scheduler(max_in_flight: int = 8) -> ReplayScheduler:
    """A scheduler that is limited only by the number of entries in flight."""
    controller = RateController(random.Random(1), jitter_s=0.0)
    controller.set_ceiling(-10.0, 1e12)
    controller.open(-10.0)
    controller.rate = 1e12
    return ReplayScheduler(controller, max_in_flight)


def make_head(tenant: str, number: int, work: float = 100.0, created_s: float = 0.0) -> QueueHead:
    return QueueHead(f"{tenant}{number}", tenant, work, created_s, True)


def serve(
    queue: StartTimeFairQueue, queues: dict[str, list[float]], rounds: int, by_count: bool = False
) -> dict[str, float]:
    """Send `rounds` entries, oldest first per tenant; returns the served work by tenant.

    `by_count` is the mutant that charges each request as one unit of work.
    """
    served, next_index = defaultdict[str, float](float), dict.fromkeys(queues, 0)
    for _ in range(rounds):
        heads = [
            make_head(tenant, next_index[tenant], works[next_index[tenant] % len(works)], next_index[tenant])
            for tenant, works in queues.items()
        ]
        head = queue.select(heads)
        assert head is not None
        queue.charge(head, 1.0 if by_count else head.work)
        served[head.tenant] += head.work
        next_index[head.tenant] += 1
    return served


WORK = st.floats(1.0, 1000.0)


@settings(max_examples=80, deadline=None)
@given(
    queues=st.dictionaries(st.sampled_from("abcde"), st.lists(WORK, min_size=1, max_size=5), min_size=2),
    weights=st.dictionaries(st.sampled_from("abcde"), st.floats(0.5, 4.0)),
)
def test_weighted_work_of_two_tenants_differs_by_at_most_their_largest_requests(
    queues: dict[str, list[float]], weights: dict[str, float]
) -> None:
    """Bound of start-time fair queuing: the sum of both tenants' largest requests, each by its weight."""
    served = serve(StartTimeFairQueue(weights), queues, 400)
    for one in queues:
        for other in queues:
            bound = sum(max(queues[each]) / weights.get(each, 1.0) for each in (one, other))
            differ = served[one] / weights.get(one, 1.0) - served[other] / weights.get(other, 1.0)
            assert differ <= bound + 1e-6


def test_mutant_fair_by_request_count_is_detected() -> None:
    """Equal request counts are not fair if requests differ a hundredfold in work."""
    queues = {"small": [10.0], "large": [1000.0]}
    by_work = serve(StartTimeFairQueue({}), queues, 2000)
    by_count = serve(StartTimeFairQueue({}), queues, 2000, by_count=True)
    assert jain_index(by_work.values()) > 0.99
    assert jain_index(by_count.values()) < 0.6


def test_tenant_that_arrives_late_starts_at_the_present_virtual_time() -> None:
    queue = StartTimeFairQueue({})
    for number in range(50):
        queue.charge(QueueHead(f"a{number}", "a", 100.0, number, True), 100.0)
    order = []
    for number in range(10):
        head = queue.select([make_head("a", 90 + number), make_head("b", number, created_s=1.0)])
        assert head is not None
        queue.charge(head, 100.0)
        order.append(head.tenant)
    assert 4 <= order.count("b") <= 6  # its fair share from now on, not fifty entries in a row


def test_oldest_entry_of_a_tenant_is_sent_first_and_none_twice() -> None:
    scheduler = unlimited_scheduler()
    heads = [QueueHead(f"{age}", "a", 1.0, float(age), True) for age in (3, 1, 2)]
    sent = [scheduler.choose_next(0.0, heads) for _ in range(4)]
    assert [head.name if head else None for head in sent] == ["1", "2", "3", None]


def test_rejected_entry_is_not_charged_and_served_entry_by_its_actual_work() -> None:
    scheduler = unlimited_scheduler()
    first, other = make_head("a", 1, 500.0), make_head("b", 1, 500.0, 1.0)
    assert scheduler.choose_next(0.0, [first, other]) is first
    scheduler.record_outcome(0.0, "a1", SendOutcome.REJECTED)
    scheduler.rate_controller.rate = 1e12
    assert scheduler.choose_next(2.0, [first, other]) is first  # its start tag has not advanced
    scheduler.record_outcome(2.0, "a1", SendOutcome.SERVED, work=5000.0)
    for number in range(9):
        head = scheduler.choose_next(
            3.0 + number, [make_head("a", 2, 500.0), make_head("b", number, 500.0, 2.0)]
        )
        assert head is not None and head.tenant == "b"
        scheduler.record_outcome(3.0 + number, head.name, SendOutcome.SERVED)
    assert scheduler.served_work_by_tenant == {"a": 5000.0, "b": 4500.0}


def test_tenant_with_the_largest_backlog_does_not_reduce_the_shares_of_others() -> None:
    """Neither live demand nor a large backlog gives a tenant a claim on the shares of others."""
    scheduler, position = unlimited_scheduler(max_in_flight=1), defaultdict[str, int](int)
    for number in range(300):
        heads = [make_head("big", position["big"])]
        if position["small"] < 30:
            heads.append(make_head("small", position["small"], created_s=9.0))
        head = scheduler.choose_next(float(number), heads)
        assert head is not None
        position[head.tenant] += 1
        scheduler.record_outcome(float(number), head.name, SendOutcome.SERVED)
        if number == 60:
            assert position["small"] >= 29  # served after twice its own work, not after the large backlog


def test_probe_prefers_an_idempotent_entry() -> None:
    scheduler = unlimited_scheduler()
    scheduler.rate_controller.close()
    heads = [QueueHead("book", "a", 1.0, 0.0, False), QueueHead("ask", "a", 1.0, 1.0, True)]
    assert scheduler.choose_next(0.0, heads) is None  # closed: only a probe may be sent
    head = scheduler.choose_next(0.0, heads, probing=True)
    assert head is not None and head.name == "ask"
    assert scheduler.choose_next(0.1, heads, probing=True) is None  # only one probe at a time
    scheduler.record_outcome(0.2, "ask", SendOutcome.REJECTED)
    assert scheduler.choose_next(0.3, heads, probing=True) is None  # the probe interval has not passed
    assert scheduler.choose_next(4.0, heads, probing=True) is not None


@pytest.mark.parametrize("max_in_flight", [1, 4])
def test_entries_in_flight_are_limited(max_in_flight: int) -> None:
    scheduler, heads = unlimited_scheduler(max_in_flight), [make_head("a", n, 1.0, n) for n in range(9)]
    assert (
        sum(scheduler.choose_next(0.0, heads) is not None for _ in range(9))
        == max_in_flight
        == scheduler.in_flight_count
    )
