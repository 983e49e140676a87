"""Who is let in by client network, and who is told to open most without asking."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.connections.admission import Doors, Entry, Why
from ringledge.decide.connections.settings import DoorRule, DoorsConfig
from ringledge.structures.space_saving import SpaceSaving


def doors(*rules: DoorRule, **told: object) -> Doors:
    return Doors(msgspec.convert(told | {"rules": msgspec.to_builtins(rules)}, DoorsConfig), random.Random(1))


def test_the_longest_prefix_counts_in_both_families() -> None:
    door = doors(
        DoorRule(["10.0.0.0/8", "2001:db8::/32"], keep_alive_s=100.0),
        DoorRule(["10.9.0.0/16", "2001:db8:9::/48"], deny=True),
        DoorRule(["10.9.8.0/24"], keep_alive_s=300.0),
        jitter=0.0,
        keep_alive_s=50.0,
    )
    clients = ("10.1.1.1", "10.9.1.1", "10.9.8.7", "192.0.2.1", "2001:db8::1", "2001:db8:9::1", "::1")
    told = [door.come(0.0, address) for address in clients]
    kept = [each.keep_s if isinstance(each, Entry) else each for each in told]
    assert kept == [100.0, Why.DENIED, 300.0, 50.0, 100.0, Why.DENIED, 50.0]


def test_limits_hold_by_rule_and_by_address_and_what_ends_makes_room() -> None:
    door = doors(DoorRule(["10.0.0.0/8"], most=3, most_each=2))
    first, second = door.come(0.0, "10.0.0.1"), door.come(0.0, "10.0.0.1")
    assert isinstance(first, Entry) and isinstance(second, Entry)
    assert door.come(0.0, "10.0.0.1") is Why.MOST_EACH
    assert isinstance(door.come(0.0, "10.0.0.2"), Entry) and door.come(0.0, "10.0.0.3") is Why.MOST
    door.gone(first, asked=True)
    assert isinstance(door.come(0.0, "10.0.0.3"), Entry)
    assert isinstance(door.come(0.0, "192.0.2.1"), Entry) and door.open()["10.0.0.0/8"] == 3


def test_a_rate_is_kept_over_time() -> None:
    door = doors(DoorRule(["10.0.0.0/8"], per_s=10.0))
    let_in = sum(isinstance(door.come(number * 10.0, "10.0.0.1"), Entry) for number in range(1000))
    assert 100 <= let_in <= 112  # ten seconds of ten, and what the bucket held


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=200))
def test_never_more_are_open_than_the_rules_say(history: list[tuple[int, bool]]) -> None:
    door = doors(DoorRule(["10.0.0.0/8"], most=5, most_each=2))
    here: list[Entry] = []
    for host, leaves in history:
        if leaves and here:
            door.gone(here.pop(0), asked=False)
        elif isinstance(told := door.come(0.0, f"10.0.0.{host}"), Entry):
            here.append(told)
        assert len(here) <= 5 and max(Counter(each.address for each in here).values(), default=0) <= 2


def test_keep_alive_is_shortened_by_chance_so_that_not_all_fall_due_together() -> None:
    door = doors(keep_alive_s=100.0, jitter=0.2)
    kept = [told.keep_s for _ in range(200) if isinstance(told := door.come(0.0, "10.0.0.1"), Entry)]
    assert 80 <= min(kept) < 85 and 95 < max(kept) <= 100


def test_networks_that_open_without_asking_are_named() -> None:
    door = doors(networks_watched=16)
    for number in range(2000):
        address = f"10.0.7.{number % 250}" if number % 4 else f"10.{number % 200}.1.1"
        told = door.come(0.0, address)
        assert isinstance(told, Entry)
        door.gone(told, asked=False)
    (network, count, error), *_ = door.silent(3)
    assert network == "10.0.7.0/24" and count - error <= 1500 <= count


@given(st.lists(st.integers(0, 30), max_size=400), st.integers(1, 12))
def test_the_sketch_counts_never_too_little_nor_by_more_than_it_says_too_much(
    keys: list[int], most: int
) -> None:
    sketch, true = SpaceSaving[int](most), Counter(keys)
    for key in keys:
        sketch.add(key)
    assert len(sketch) <= most and sketch.total == len(keys)
    for key, count, error in sketch.top(most):
        assert count - error <= true[key] <= count and error <= len(keys) / most
    heavy = {key for key, count in true.items() if count > len(keys) / most}
    assert heavy <= {key for key, _, _ in sketch.top(most)}


@pytest.mark.parametrize("network", ["10.0.0.1/8", "nowhere", "10.0.0.0/33", "::1/129"])
def test_a_network_that_is_none_is_an_error(network: str) -> None:
    with pytest.raises(msgspec.ValidationError, match="networks"):
        msgspec.convert({"rules": [{"networks": [network]}]}, DoorsConfig)
