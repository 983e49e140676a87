"""Admission of client connections by network, and counts of connections without a request."""

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


def make_admission(*rules: AdmissionRule, **settings: object) -> ConnectionAdmission:
    return ConnectionAdmission(
        msgspec.convert(settings | {"rules": msgspec.to_builtins(rules)}, AdmissionSettings), random.Random(1)
    )


def test_longest_prefix_applies_for_both_ip_versions() -> None:
    admission = make_admission(
        AdmissionRule(["10.0.0.0/8", "2001:db8::/32"], idle_timeout_s=100.0),
        AdmissionRule(["10.9.0.0/16", "2001:db8:9::/48"], deny=True),
        AdmissionRule(["10.9.8.0/24"], idle_timeout_s=300.0),
        jitter=0.0,
        keep_alive_s=50.0,
    )
    clients = ("10.1.1.1", "10.9.1.1", "10.9.8.7", "192.0.2.1", "2001:db8::1", "2001:db8:9::1", "::1")
    results = [admission.admit(0.0, address) for address in clients]
    timeouts = [
        result.idle_timeout_s if isinstance(result, AdmittedConnection) else result for result in results
    ]
    assert timeouts == [100.0, RejectionReason.DENIED, 300.0, 50.0, 100.0, RejectionReason.DENIED, 50.0]


def test_limits_apply_by_rule_and_address_until_connections_end() -> None:
    admission = make_admission(
        AdmissionRule(["10.0.0.0/8"], max_connections=3, max_connections_per_address=2)
    )
    first, second = admission.admit(0.0, "10.0.0.1"), admission.admit(0.0, "10.0.0.1")
    assert isinstance(first, AdmittedConnection) and isinstance(second, AdmittedConnection)
    assert admission.admit(0.0, "10.0.0.1") is RejectionReason.MAX_PER_ADDRESS
    assert (
        isinstance(admission.admit(0.0, "10.0.0.2"), AdmittedConnection)
        and admission.admit(0.0, "10.0.0.3") is RejectionReason.MAX_CONNECTIONS
    )
    admission.disconnected(first, had_request=True)
    assert isinstance(admission.admit(0.0, "10.0.0.3"), AdmittedConnection)
    assert (
        isinstance(admission.admit(0.0, "192.0.2.1"), AdmittedConnection)
        and admission.open_by_rule()["10.0.0.0/8"] == 3
    )


def test_rate_of_new_connections_is_limited() -> None:
    admission = make_admission(AdmissionRule(["10.0.0.0/8"], max_rate_per_s=10.0))
    admitted = sum(
        isinstance(admission.admit(number * 10.0, "10.0.0.1"), AdmittedConnection) for number in range(1000)
    )
    assert 100 <= admitted <= 112  # ten per second for 10 s, and the initial burst


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=200))
def test_open_connections_never_exceed_the_limits(history: list[tuple[int, bool]]) -> None:
    admission = make_admission(
        AdmissionRule(["10.0.0.0/8"], max_connections=5, max_connections_per_address=2)
    )
    connections: list[AdmittedConnection] = []
    for host, disconnects in history:
        if disconnects and connections:
            admission.disconnected(connections.pop(0), had_request=False)
        elif isinstance(result := admission.admit(0.0, f"10.0.0.{host}"), AdmittedConnection):
            connections.append(result)
        assert (
            len(connections) <= 5
            and max(Counter(connection.address for connection in connections).values(), default=0) <= 2
        )


def test_idle_timeout_is_shortened_by_jitter() -> None:
    admission = make_admission(keep_alive_s=100.0, jitter=0.2)
    timeouts = [
        result.idle_timeout_s
        for _ in range(200)
        if isinstance(result := admission.admit(0.0, "10.0.0.1"), AdmittedConnection)
    ]
    assert 80 <= min(timeouts) < 85 and 95 < max(timeouts) <= 100


def test_networks_with_most_connections_without_request_are_reported() -> None:
    admission = make_admission(networks_watched=16)
    for number in range(2000):
        address = f"10.0.7.{number % 250}" if number % 4 else f"10.{number % 200}.1.1"
        result = admission.admit(0.0, address)
        assert isinstance(result, AdmittedConnection)
        admission.disconnected(result, had_request=False)
    (network, count, error), *_ = admission.top_networks_without_request(3)
    assert network == "10.0.7.0/24" and count - error <= 1500 <= count


@given(st.lists(st.integers(0, 30), max_size=400), st.integers(1, 12))
def test_space_saving_counts_are_between_the_exact_count_and_the_error_bound(
    keys: list[int], capacity: int
) -> None:
    sketch, exact = SpaceSaving[int](capacity), Counter(keys)
    for key in keys:
        sketch.add(key)
    assert len(sketch) <= capacity and sketch.total == len(keys)
    for key, count, error in sketch.top(capacity):
        assert count - error <= exact[key] <= count and error <= len(keys) / capacity
    heavy = {key for key, count in exact.items() if count > len(keys) / capacity}
    assert heavy <= {key for key, _, _ in sketch.top(capacity)}


@pytest.mark.parametrize("network", ["10.0.0.1/8", "nowhere", "10.0.0.0/33", "::1/129"])
def test_invalid_network_is_a_validation_error(network: str) -> None:
    with pytest.raises(msgspec.ValidationError, match="networks"):
        msgspec.convert({"rules": [{"networks": [network]}]}, AdmissionSettings)
