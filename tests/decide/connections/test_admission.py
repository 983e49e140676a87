"""Who is let in by client network, and who is told to open most without asking."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.connections.admission import AdmittedConnection, ConnectionAdmission, RejectionReason
from ringledge.decide.connections.settings import AdmissionRule, AdmissionSettings
from ringledge.structures.space_saving import SpaceSaving


def doors(*rules: AdmissionRule, **told: object) -> ConnectionAdmission:
    return ConnectionAdmission(
        msgspec.convert(told | {"rules": msgspec.to_builtins(rules)}, AdmissionSettings), random.Random(1)
    )


def test_the_longest_prefix_counts_in_both_families() -> None:
    door = doors(
        AdmissionRule(["10.0.0.0/8", "2001:db8::/32"], idle_timeout_s=100.0),
        AdmissionRule(["10.9.0.0/16", "2001:db8:9::/48"], deny=True),
        AdmissionRule(["10.9.8.0/24"], idle_timeout_s=300.0),
        jitter=0.0,
        keep_alive_s=50.0,
    )
    clients = ("10.1.1.1", "10.9.1.1", "10.9.8.7", "192.0.2.1", "2001:db8::1", "2001:db8:9::1", "::1")
    told = [door.admit(0.0, address) for address in clients]
    kept = [each.idle_timeout_s if isinstance(each, AdmittedConnection) else each for each in told]
    assert kept == [100.0, RejectionReason.DENIED, 300.0, 50.0, 100.0, RejectionReason.DENIED, 50.0]


def test_limits_hold_by_rule_and_by_address_and_what_ends_makes_room() -> None:
    door = doors(AdmissionRule(["10.0.0.0/8"], max_connections=3, max_connections_per_address=2))
    first, second = door.admit(0.0, "10.0.0.1"), door.admit(0.0, "10.0.0.1")
    assert isinstance(first, AdmittedConnection) and isinstance(second, AdmittedConnection)
    assert door.admit(0.0, "10.0.0.1") is RejectionReason.MAX_PER_ADDRESS
    assert (
        isinstance(door.admit(0.0, "10.0.0.2"), AdmittedConnection)
        and door.admit(0.0, "10.0.0.3") is RejectionReason.MAX_CONNECTIONS
    )
    door.disconnected(first, asked=True)
    assert isinstance(door.admit(0.0, "10.0.0.3"), AdmittedConnection)
    assert (
        isinstance(door.admit(0.0, "192.0.2.1"), AdmittedConnection)
        and door.open_by_rule()["10.0.0.0/8"] == 3
    )


def test_a_rate_is_kept_over_time() -> None:
    door = doors(AdmissionRule(["10.0.0.0/8"], max_rate_per_s=10.0))
    let_in = sum(
        isinstance(door.admit(number * 10.0, "10.0.0.1"), AdmittedConnection) for number in range(1000)
    )
    assert 100 <= let_in <= 112  # ten seconds of ten, and what the bucket held


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=200))
def test_never_more_are_open_than_the_rules_say(history: list[tuple[int, bool]]) -> None:
    door = doors(AdmissionRule(["10.0.0.0/8"], max_connections=5, max_connections_per_address=2))
    here: list[AdmittedConnection] = []
    for host, leaves in history:
        if leaves and here:
            door.disconnected(here.pop(0), asked=False)
        elif isinstance(told := door.admit(0.0, f"10.0.0.{host}"), AdmittedConnection):
            here.append(told)
        assert len(here) <= 5 and max(Counter(each.address for each in here).values(), default=0) <= 2


def test_keep_alive_is_shortened_by_chance_so_that_not_all_fall_due_together() -> None:
    door = doors(keep_alive_s=100.0, jitter=0.2)
    kept = [
        told.idle_timeout_s
        for _ in range(200)
        if isinstance(told := door.admit(0.0, "10.0.0.1"), AdmittedConnection)
    ]
    assert 80 <= min(kept) < 85 and 95 < max(kept) <= 100


def test_networks_that_open_without_asking_are_named() -> None:
    door = doors(networks_watched=16)
    for number in range(2000):
        address = f"10.0.7.{number % 250}" if number % 4 else f"10.{number % 200}.1.1"
        told = door.admit(0.0, address)
        assert isinstance(told, AdmittedConnection)
        door.disconnected(told, asked=False)
    (network, count, error), *_ = door.top_networks_without_request(3)
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
        msgspec.convert({"rules": [{"networks": [network]}]}, AdmissionSettings)
