"""When the last byte of each request came, however late it is read."""

from ringledge.wire.http.arrival_times import ArrivalTimes


def test_no_arrival_time_before_first_read() -> None:
    assert ArrivalTimes().last_byte_s(0) is None


def test_each_pipelined_request_has_arrival_time_of_its_last_byte() -> None:
    marks = ArrivalTimes()
    marks.add(100, 1.0, 1.0)  # the first, and half of the second
    marks.add(20, 2.0, 2.0)  # the rest of the second
    marks.add(50, 3.0, 3.0)  # the third
    assert marks.last_byte_s(pending=120) == 1.0
    assert marks.last_byte_s(pending=50) == 2.0
    assert marks.last_byte_s(pending=0) == 3.0


def test_requests_of_one_segment_arrive_together() -> None:
    marks = ArrivalTimes()
    marks.add(300, 5.0, 5.0)
    marks.add(10, 9.0, 9.0)
    assert [marks.last_byte_s(pending) for pending in (210, 110, 10, 0)] == [5.0, 5.0, 5.0, 9.0]


def test_segments_read_after_delayed_one_count_as_delayed() -> None:
    marks = ArrivalTimes()
    marks.add(10, 1.0, 0.4)
    marks.add(10, 1.01, 1.01)
    marks.add(10, 1.02, 1.02)
    assert marks.last_byte_s(0) == 0.4


def test_later_segment_has_later_arrival_time() -> None:
    marks = ArrivalTimes()
    marks.add(10, 1.0, 0.4)
    marks.add(10, 1.2, 1.2)
    assert marks.last_byte_s(0) == 1.2


def test_segments_read_while_arriving_have_their_own_times() -> None:
    marks = ArrivalTimes()
    marks.add(10, 1.0, 1.0)
    marks.add(10, 1.03, 1.03)
    assert marks.last_byte_s(0) == 1.03
