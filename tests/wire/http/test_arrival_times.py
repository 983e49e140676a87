"""Arrival time of the last byte of each request, even if it is read late."""

from ringledge.wire.http.arrival_times import ArrivalTimes


def test_no_arrival_time_before_first_read() -> None:
    assert ArrivalTimes().last_byte_s(0) is None


def test_each_pipelined_request_has_arrival_time_of_its_last_byte() -> None:
    arrivals = ArrivalTimes()
    arrivals.add(100, 1.0, 1.0)  # the first request and half of the second
    arrivals.add(20, 2.0, 2.0)  # the rest of the second request
    arrivals.add(50, 3.0, 3.0)  # the third request
    assert arrivals.last_byte_s(pending=120) == 1.0
    assert arrivals.last_byte_s(pending=50) == 2.0
    assert arrivals.last_byte_s(pending=0) == 3.0


def test_requests_of_one_segment_arrive_together() -> None:
    arrivals = ArrivalTimes()
    arrivals.add(300, 5.0, 5.0)
    arrivals.add(10, 9.0, 9.0)
    assert [arrivals.last_byte_s(pending) for pending in (210, 110, 10, 0)] == [5.0, 5.0, 5.0, 9.0]


def test_segments_read_after_delayed_one_count_as_delayed() -> None:
    arrivals = ArrivalTimes()
    arrivals.add(10, 1.0, 0.4)
    arrivals.add(10, 1.01, 1.01)
    arrivals.add(10, 1.02, 1.02)
    assert arrivals.last_byte_s(0) == 0.4


def test_later_segment_has_later_arrival_time() -> None:
    arrivals = ArrivalTimes()
    arrivals.add(10, 1.0, 0.4)
    arrivals.add(10, 1.2, 1.2)
    assert arrivals.last_byte_s(0) == 1.2


def test_segments_read_while_arriving_have_their_own_times() -> None:
    arrivals = ArrivalTimes()
    arrivals.add(10, 1.0, 1.0)
    arrivals.add(10, 1.03, 1.03)
    assert arrivals.last_byte_s(0) == 1.03
