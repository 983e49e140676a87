"""The timer wheel against a plain model."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.structures.timer_wheel import MOST, Wheel

small = st.one_of(st.integers(0, 3), st.integers(0, 700), st.integers(0, 70_000))
far = st.one_of(st.integers(-5, 600), st.integers(0, 70_000), st.integers(0, 20_000_000), st.just(MOST + 10))
steps = st.lists(
    st.one_of(
        st.tuples(st.just("schedule"), far),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("move"), st.tuples(st.integers(0, 50), far)),
        st.tuples(st.just("advance"), small),
        st.tuples(st.just("take"), st.integers(0, 5)),
    ),
    max_size=60,
)


@given(steps, st.sampled_from((0, 200, 65_530, 16_777_210)))
def test_it_gives_out_what_a_plain_model_does(history: list[tuple[str, object]], start: int) -> None:
    wheel, model, now = Wheel(start), dict[int, int](), start
    for what, told in history:
        names = sorted(model)
        if what == "schedule":
            assert isinstance(told, int)
            timer = wheel.schedule(now + told)
            assert timer not in model
            model[timer] = now + told
        elif what == "cancel" and names:
            assert isinstance(told, int)
            timer = names[told % len(names)]
            wheel.cancel(timer)
            del model[timer]
        elif what == "move" and names:
            assert isinstance(told, tuple)
            timer = names[told[0] % len(names)]
            wheel.move(timer, now + told[1])
            model[timer] = now + told[1]
        elif what == "advance":
            assert isinstance(told, int)
            now += told
            while not wheel.advance(now, 3):
                pass
        elif what == "take":
            assert isinstance(told, int)
            given = wheel.expired(told)
            due = {timer for timer, at in model.items() if at <= now}
            assert set(given) <= due and len(given) == len(set(given)) == min(told, len(due))
            for timer in given:
                del model[timer]
        assert len(wheel) == len(model) and wheel.ready == sum(at <= now for at in model.values())
    wheel.advance(now + 200)
    due = {timer for timer, at in model.items() if at <= now + 200}
    assert set(wheel.expired(1000)) == due


def test_a_number_that_is_no_timer_cannot_be_cancelled() -> None:
    wheel = Wheel()
    timer = wheel.schedule(5)
    wheel.cancel(timer)
    for number in (timer, 7, -1):
        with pytest.raises(KeyError):
            wheel.cancel(number)


def test_however_many_fall_due_together_the_caller_bounds_its_turn() -> None:
    wheel = Wheel()
    for _ in range(10_000):
        wheel.schedule(40)
    wheel.advance(100)
    given = [len(wheel.expired(500)) for _ in range(21)]
    assert given == [500] * 20 + [0] and not len(wheel)


def test_going_one_wheel_down_is_bounded_a_turn_as_well() -> None:
    wheel = Wheel()
    timers = [wheel.schedule(1000) for _ in range(10_000)]
    turns = 0
    while not wheel.advance(1100, 100):
        turns += 1
        assert wheel.now < 1000 or wheel.ready  # none falls due before its time
        if turns == 50:
            wheel.cancel(timers[-1])  # one that is on its way
    assert turns >= 99 and wheel.ready == len(wheel) == 9_999
    assert set(wheel.expired(20_000)) == set(timers[:-1])
