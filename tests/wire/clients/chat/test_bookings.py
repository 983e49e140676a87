"""The chat front over real sockets: bookings run at most once, whichever connection breaks."""

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import (
    BOOKING_REQUEST,
    read_first_event_id,
    resume,
    text,
    wait_for_decode,
)


def test_booking_without_streaming_that_breaks_off_gets_500_and_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST | {"stream": False})
    wait_for_decode(node).begin().token("booked ").drop()
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (500, "stream_broken")
    assert node.writer[0].attempts() == 1


def test_booking_whose_client_disconnects_during_its_stream_runs_once(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key="manifest-7")
    call = wait_for_decode(node).begin().token("booked ")
    answer = client.getresponse()
    last_event_id = read_first_event_id(answer)
    answer.close()
    client.close()
    call.token("room 14").end()
    assert node.logged("request_ended")["how"] == "served"
    assert text(resume(node, BOOKING_REQUEST, last_event_id).body) == "room 14"
    assert text(take(node.chat(BOOKING_REQUEST, Idempotency_Key="manifest-7")).body) == "booked room 14"
    assert node.reader[0].attempts() == node.writer[0].attempts() == 1


def test_booking_whose_client_disconnects_before_its_stream_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key="manifest-8")
    call = wait_for_decode(node)
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"
    answer = take(node.chat(BOOKING_REQUEST, Idempotency_Key="manifest-8"))
    assert (answer.status, answer.json()["error"]["code"]) == (409, "may_have_run")
    assert node.writer[0].attempts() == 1


def test_booking_whose_stream_breaks_off_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST)
    wait_for_decode(node).begin().token("booked ").drop()
    last_event_id = read_first_event_id(client.getresponse())
    node.logged("chat_ended")
    answer = resume(node, BOOKING_REQUEST, last_event_id)
    assert (answer.status, answer.json()["error"]["code"]) == (409, "may_have_run")
    assert node.writer[0].attempts() == 1
