"""Detection of partitions and saturation of a site, as its conductors report them."""

from __future__ import annotations

from math import inf

import pytest

from ringledge.decide.replay.partition_detection import (
    AVAILABLE_AFTER_S,
    PARTITIONED_AFTER_S,
    PEER_STATE_TTL_S,
    SATURATED_AFTER_S,
    SATURATED_REJECTIONS,
    PartitionDetector,
    ServerReachability,
    SiteReachability,
    SiteState,
)


def servers(
    reachable: bool = True, has_capacity: bool = True, last_response_s: float = -inf
) -> list[ServerReachability]:
    return [
        ServerReachability(True, False, reachable, has_capacity, last_response_s),
        ServerReachability(False, True, True, True, -inf),
    ]


def update_for(
    detector: PartitionDetector,
    from_s: float,
    for_s: float,
    servers_seen: list[ServerReachability],
    step_s: float = 0.1,
) -> SiteState:
    state = detector.own_state
    for number in range(int(for_s / step_s) + 2):
        state = detector.update(from_s + number * step_s, servers_seen)
    return state


def partitioned_detector(detector: PartitionDetector | None = None) -> PartitionDetector:
    detector = detector or PartitionDetector()
    assert update_for(detector, 0.0, PARTITIONED_AFTER_S, servers(reachable=False)) is SiteState.PARTITIONED
    return detector


@pytest.mark.parametrize("does_prefill", [True, False])
def test_site_without_prefill_or_decode_servers_becomes_partitioned(does_prefill: bool) -> None:
    detector, one = PartitionDetector(), [ServerReachability(does_prefill, not does_prefill, True, True, 0.0)]
    assert detector.update(0.0, one) is SiteState.AVAILABLE
    assert detector.update(PARTITIONED_AFTER_S / 2, one) is SiteState.AVAILABLE
    assert detector.update(PARTITIONED_AFTER_S, one) is SiteState.PARTITIONED


def test_one_mixed_server_keeps_site_available() -> None:
    assert (
        update_for(PartitionDetector(), 0.0, 9.0, [ServerReachability(True, True, True, True, 0.0)])
        is SiteState.AVAILABLE
    )


def test_gaps_shorter_than_the_bound_change_nothing() -> None:
    detector = PartitionDetector()
    for number in range(20):  # unreachable for 0.4 s of every 0.5 s
        at_s = number * 0.5
        assert detector.update(at_s, servers(reachable=False)) is SiteState.AVAILABLE
        assert detector.update(at_s + 0.4, servers()) is SiteState.AVAILABLE


def test_partition_ends_only_after_a_response_from_a_server() -> None:
    detector = partitioned_detector()
    # The servers seem reachable, but have not responded.
    assert update_for(detector, 1.0, 60.0, servers()) is SiteState.PARTITIONED
    assert update_for(detector, 70.0, AVAILABLE_AFTER_S, servers(last_response_s=69.0)) is SiteState.AVAILABLE


def test_momentary_recovery_of_the_link_changes_nothing() -> None:
    detector = partitioned_detector()
    for number in range(5):
        at_s = 10.0 + number * 3
        assert (
            update_for(detector, at_s, AVAILABLE_AFTER_S / 2, servers(last_response_s=at_s))
            is SiteState.PARTITIONED
        )
        detector.update(at_s + 2.9, servers(reachable=False))


def test_site_without_capacity_or_with_all_rejected_is_saturated() -> None:
    assert (
        update_for(PartitionDetector(), 0.0, SATURATED_AFTER_S, servers(has_capacity=False))
        is SiteState.SATURATED
    )
    rejecting = PartitionDetector()
    for _ in range(SATURATED_REJECTIONS):
        rejecting.record_rejected()
    assert update_for(rejecting, 0.0, SATURATED_AFTER_S, servers()) is SiteState.SATURATED
    serving = PartitionDetector()
    for number in range(60):  # congestion: some requests are rejected, others served
        serving.record_rejected()
        serving.record_served(number * 0.1)
        assert serving.update(number * 0.1, servers()) is SiteState.AVAILABLE


def test_saturation_ends_once_a_request_is_served() -> None:
    detector = PartitionDetector()
    for _ in range(SATURATED_REJECTIONS):
        detector.record_rejected()
    update_for(detector, 0.0, SATURATED_AFTER_S, servers())
    assert update_for(detector, 5.0, 20.0, servers()) is SiteState.SATURATED
    detector.record_served(30.0)
    assert update_for(detector, 30.0, AVAILABLE_AFTER_S, servers()) is SiteState.AVAILABLE


def test_site_is_partitioned_only_if_all_its_conductors_report_so() -> None:
    detector = PartitionDetector()
    detector.receive(0.0, [("b", SiteReachability(SiteState.AVAILABLE.value))])
    assert (
        update_for(detector, 0.0, 1.0, servers(reachable=False)) is SiteState.AVAILABLE
        and detector.own_state is SiteState.PARTITIONED
    )
    # The state 9 belongs to a newer version.
    detector.receive(1.5, [("b", SiteReachability(SiteState.PARTITIONED.value)), ("c", SiteReachability(9))])
    assert detector.state(1.5) is SiteState.PARTITIONED
    detector.receive(2.0, [("b", SiteReachability(SiteState.AVAILABLE.value))])
    assert detector.state(2.0) is SiteState.AVAILABLE
    assert detector.state(2.0 + PEER_STATE_TTL_S) is SiteState.PARTITIONED  # the report has expired
