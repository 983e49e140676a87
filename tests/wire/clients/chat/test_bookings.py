"""The chat front over real sockets: bookings run once, whatever breaks."""

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import BOOK, first_id, resume, text, writing


def test_a_whole_booking_that_breaks_is_a_500_and_not_run_again(node: Node) -> None:
    client = node.chat(BOOK | {"stream": False})
    writing(node).begin().token("booked ").drop()
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (500, "stream_broken")
    assert node.writer[0].attempts() == 1


def test_a_booking_whose_client_leaves_as_its_stream_starts_runs_once(node: Node) -> None:
    client = node.chat(BOOK, Idempotency_Key="manifest-7")
    call = writing(node).begin().token("booked ")
    answer = client.getresponse()
    last = first_id(answer)
    answer.close()
    client.close()
    call.token("room 14").end()
    assert node.logged("request_ended")["how"] == "served"
    assert text(resume(node, BOOK, last).body) == "room 14"
    assert text(take(node.chat(BOOK, Idempotency_Key="manifest-7")).body) == "booked room 14"
    assert node.reader[0].attempts() == node.writer[0].attempts() == 1


def test_a_booking_whose_client_leaves_before_its_stream_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOK, Idempotency_Key="manifest-8")
    call = writing(node)
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"
    answer = take(node.chat(BOOK, Idempotency_Key="manifest-8"))
    assert (answer.status, answer.json()["error"]["code"]) == (409, "may_have_run")
    assert node.writer[0].attempts() == 1


def test_a_booking_that_breaks_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOK)
    writing(node).begin().token("booked ").drop()
    last = first_id(client.getresponse())
    node.logged("chat_ended")
    answer = resume(node, BOOK, last)
    assert (answer.status, answer.json()["error"]["code"]) == (409, "may_have_run")
    assert node.writer[0].attempts() == 1
