"""The timer wheel, compared with a model that keeps the due ticks in a dictionary."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.structures.timer_wheel import MAX_TICKS, TimerWheel

advance_distances = st.one_of(st.integers(0, 3), st.integers(0, 700), st.integers(0, 70_000))
due_distances = st.one_of(
    st.integers(-5, 600), st.integers(0, 70_000), st.integers(0, 20_000_000), st.just(MAX_TICKS + 10)
)
operations = st.lists(
    st.one_of(
        st.tuples(st.just("schedule"), due_distances),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("move"), st.tuples(st.integers(0, 50), due_distances)),
        st.tuples(st.just("advance"), advance_distances),
        st.tuples(st.just("take"), st.integers(0, 5)),
    ),
    max_size=60,
)


@given(operations, st.sampled_from((0, 200, 65_530, 16_777_210)))
def test_wheel_expires_the_same_timers_as_a_dictionary_of_due_ticks(
    history: list[tuple[str, object]], start: int
) -> None:
    wheel, model, now = TimerWheel(start), dict[int, int](), start
    for operation, argument in history:
        timers = sorted(model)
        if operation == "schedule":
            assert isinstance(argument, int)
            timer = wheel.schedule(now + argument)
            assert timer not in model
            model[timer] = now + argument
        elif operation == "cancel" and timers:
            assert isinstance(argument, int)
            timer = timers[argument % len(timers)]
            wheel.cancel(timer)
            del model[timer]
        elif operation == "move" and timers:
            assert isinstance(argument, tuple)
            timer = timers[argument[0] % len(timers)]
            wheel.reschedule(timer, now + argument[1])
            model[timer] = now + argument[1]
        elif operation == "advance":
            assert isinstance(argument, int)
            now += argument
            while not wheel.advance(now, 3):
                pass
        elif operation == "take":
            assert isinstance(argument, int)
            given = wheel.pop_expired(argument)
            due = {timer for timer, tick in model.items() if tick <= now}
            assert set(given) <= due and len(given) == len(set(given)) == min(argument, len(due))
            for timer in given:
                del model[timer]
        assert len(wheel) == len(model) and wheel.expired_count == sum(tick <= now for tick in model.values())
    wheel.advance(now + 200)
    due = {timer for timer, tick in model.items() if tick <= now + 200}
    assert set(wheel.pop_expired(1000)) == due


def test_cancelling_an_unknown_timer_raises_key_error() -> None:
    wheel = TimerWheel()
    timer = wheel.schedule(5)
    wheel.cancel(timer)
    for number in (timer, 7, -1):
        with pytest.raises(KeyError):
            wheel.cancel(number)


def test_pop_expired_returns_at_most_the_given_number_of_timers() -> None:
    wheel = TimerWheel()
    for _ in range(10_000):
        wheel.schedule(40)
    wheel.advance(100)
    popped_counts = [len(wheel.pop_expired(500)) for _ in range(21)]
    assert popped_counts == [500] * 20 + [0] and not len(wheel)


def test_advance_cascades_at_most_the_given_number_of_timers() -> None:
    wheel = TimerWheel()
    timers = [wheel.schedule(1000) for _ in range(10_000)]
    incomplete_advances = 0
    while not wheel.advance(1100, 100):
        incomplete_advances += 1
        assert wheel.now < 1000 or wheel.expired_count  # no timer expires early
        if incomplete_advances == 50:
            wheel.cancel(timers[-1])  # cancels a timer that is cascading
    assert incomplete_advances >= 99 and wheel.expired_count == len(wheel) == 9_999
    assert set(wheel.pop_expired(20_000)) == set(timers[:-1])
