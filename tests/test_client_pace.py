"""Clients that pipeline requests or send them slowly; prompt forwarding of events; attempts' budgets."""

from __future__ import annotations

import socket

from tests.loopback import Node, event, read, take

BODY = b'{"model":"chat","stream":true,"messages":[]}'
END = b"0\r\n\r\n"


def request(name: str) -> bytes:
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: {name}\r\nX-Call-Class: query\r\n"
        "X-Caller: farm\r\nX-Route-Hash: 7f3a9c21e0b4d655\r\nX-Budget-Ms: 4800\r\n"
        f"X-Call-Info: prompt_len=9,max_out=80\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


def read_until(sock: socket.socket, text: bytes, times: int = 1) -> bytes:
    """Read until the text has been received `times` times."""
    received = b""
    while received.count(text) < times:
        data = sock.recv(65536)
        assert data, received
        received += data
    return received


def serve(node: Node, name: str) -> None:
    call = node.reader[0].next()
    assert call.id == name
    call.read()
    call = node.writer[0].next()
    assert call.id == name
    call.serve(name)


def test_pipelined_requests_are_answered_in_order(node: Node) -> None:
    names = [f"a{number}" for number in range(5)]
    with node.connect() as sock:
        sock.sendall(b"".join(map(request, names)))
        for name in names:
            serve(node, name)
            received = read_until(sock, END)
            assert received.startswith(b"HTTP/1.1 200") and event(name).encode() in received


def test_pipelined_requests_are_not_sent_after_client_disconnected(node: Node) -> None:
    names = [f"flood{number}" for number in range(200)]
    with node.connect() as sock:
        sock.sendall(b"".join(map(request, names)))
        first = node.reader[0].next()
        assert first.id == names[0]
    assert first.closed()
    first.drop()
    client, call = read(node, "after")
    call.serve("x")
    assert take(client).status == 200
    assert {call.id for call in node.reader[0].seen if call.method == "POST"} == {"flood0", "after"}


def test_request_sent_byte_by_byte_is_served_without_delaying_others(node: Node) -> None:
    with node.connect() as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        text = request("slow")
        for number, byte in enumerate(text):
            sock.sendall(bytes([byte]))
            if number == len(text) // 2:
                client, call = read(node, "beside")
                call.serve("x")
                assert take(client).status == 200
        serve(node, "slow")
        assert read_until(sock, END).startswith(b"HTTP/1.1 200")


def test_each_event_is_forwarded_before_the_next_arrives(node: Node) -> None:
    """Partial events are forwarded as well; only the first event is held back until it is complete."""
    with node.connect() as sock:
        sock.sendall(request("a1"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("first")
        read_until(sock, event("first").encode())
        for number in range(5):
            text = event(f"piece{number}")
            for half in (text[:20], text[20:]):
                call.chunk(half)
                read_until(sock, half.encode())
        call.end()
        read_until(sock, END)


def test_attempt_carries_the_remaining_budget(node: Node) -> None:
    client = node.post("a1", X_Budget_Ms="4800")
    first = node.reader[0].next()
    budgets_ms = [int(first.headers["X-Budget-Ms"])]
    first.answer(503, X_Rejected="1")
    second = node.reader[0].next()
    budgets_ms.append(int(second.headers["X-Budget-Ms"]))
    second.read()
    call = node.writer[0].next()
    budgets_ms.append(int(call.headers["X-Budget-Ms"]))
    call.serve("x")
    answer = take(client)
    assert answer.status == 200
    ended = node.logged("request_ended")
    spent_ms = [sum(each[2] for each in ended["attempts"][:number]) for number in range(3)]
    assert all(left <= 4800 - spent for left, spent in zip(budgets_ms, spent_ms, strict=True))
    assert budgets_ms == sorted(budgets_ms, reverse=True)
