"""Tests with the real program which requests the admission gate rejects, and with what response."""

from __future__ import annotations

import json
import os
import re
import signal
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import orjson
import pytest

from ringledge.lab import load
from ringledge.lab.load_plan import Burst, LoadPlan, parse_shares
from ringledge.lab.stage import start_lab
from tests.loopback import WAIT_S, Node, take

# With these settings memory use rejects all queries from the start, on any machine, and no bookings.
REJECT_QUERIES = "enabled = true\nmemory_from = 0.05\nmemory_to = 1.0\n"
CHAT = """enabled = true
listen = "127.0.0.1:0"
tenant = "farm"
[models]
ask = "query"
book = "booking"
"""
METRICS = 'enabled = true\nlisten = "127.0.0.1:0"\n'


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    files = {"overload.toml": REJECT_QUERIES, "chat.toml": CHAT}
    with Node(tmp_path, files=files, operator=True) as each:
        yield each


def wait_until(condition: Callable[[], object]) -> None:
    """Poll the condition until it holds."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def test_query_is_rejected_on_its_headers_and_the_connection_stays_open(node: Node) -> None:
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n"
        "X-Caller: farm\r\nX-Budget-Ms: 4800\r\nContent-Length: {}\r\n\r\n"
    )
    with node.connect() as sock:
        sock.sendall(head.format("a1", "query", 200_000).encode())
        answer = sock.recv(4096)  # before any byte of the body is sent
        assert answer.startswith(b"HTTP/1.1 503") and b"connection: close" not in answer.lower()
        retry_after = re.search(rb"retry-after: ([0-9.]+)", answer.lower())
        assert retry_after and 0.5 <= float(retry_after[1]) <= 1.5
        sock.sendall(b" " * 200_000 + head.format("b1", "booking", 2).encode() + b"{}")
        node.reader[0].next().read()
        node.writer[0].next().serve("ok")
        answer = b""
        while b"0\r\n\r\n" not in answer:
            answer += sock.recv(4096)
        assert answer.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "headers",
    [
        "X-Caller: farm\r\nContent-Length: 2\r\n",  # simple headers: rejected without an HTTP parser
        "X-Caller: farm\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
        "X-Caller: farm\r\nContent-Length: 2\r\nExpect: 100-continue\r\n",
        "X-Caller: nobody\r\ncontent-length:2\r\n",
    ],
)
def test_query_with_its_body_is_rejected_and_the_next_booking_is_served(node: Node, headers: str) -> None:
    head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n{}"
    head += "X-Budget-Ms: 4800\r\n{}\r\n"
    query = head.format("a1", "query", "", headers)
    for number in range(3):
        booking = head.format(f"b{number}", "booking", "X-Caller: farm\r\n", "Content-Length: 2\r\n")
        both = query + "{}" + booking + "{}"
        chunks = ([query + "{}", booking + "{}"], [both], [query, "{}" + booking, "{}"])[number]
        with node.connect() as sock:
            for text in chunks:
                sock.sendall(text.encode())
                time.sleep(0.05)  # so that the chunks arrive separately
            node.reader[0].next().read()
            node.writer[0].next().serve("ok")
            answer = b""
            while b"0\r\n\r\n" not in answer:
                answer += sock.recv(4096)
            assert answer.count(b"HTTP/1.1 503") == 1 and answer.count(b"HTTP/1.1 200") == 1
            assert answer.index(b"HTTP/1.1 503") < answer.index(b"HTTP/1.1 200")


def test_conflicting_content_lengths_get_400(node: Node) -> None:
    with node.connect() as sock:
        head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nX-Call-Class: query\r\n"
        sock.sendall(f"{head}X-Caller: farm\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{{}}".encode())
        assert sock.recv(4096).startswith(b"HTTP/1.1 400")


def test_rejected_request_with_an_unbounded_body_closes_its_connection(node: Node) -> None:
    for framing in ("Content-Length: 60000000", "Transfer-Encoding: chunked"):
        with node.connect() as sock:
            head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Call-Class: query\r\n"
            sock.sendall(f"{head}X-Caller: farm\r\nX-Budget-Ms: 4800\r\n{framing}\r\n\r\n".encode())
            answer = b""
            while data := sock.recv(4096):
                answer += data
            assert answer.startswith(b"HTTP/1.1 503") and b"connection: close" in answer.lower()


def test_rejected_request_reaches_no_server_and_is_counted_as_deferred(node: Node) -> None:
    before = int(node.stats()["relay.deferred.query"].split("|")[0])
    seen = len(node.reader[0].seen)
    for number in range(20):
        assert take(node.post(f"a{number}")).status == 503
    statistics = node.stats()
    assert int(statistics["relay.deferred.query"].split("|")[0]) == before + 20
    assert statistics["relay.current"] == "0|g" and len(node.reader[0].seen) == seen
    assert node.logged("request_shed")["reason"] == "memory"


def test_chat_listener_uses_the_same_gate(node: Node) -> None:
    body = {"messages": [{"role": "user", "content": "free slots?"}]}
    for headers in ({}, {"X_Call_Class": "query"}):
        answer = take(node.chat(body | {"model": "ask"}, **headers))
        assert answer.status == 503 and answer.json()["error"]["code"] == "overloaded"
        assert float(answer.headers["retry-after"]) >= 0.5
    client = node.chat(body | {"model": "book"})
    node.reader[0].next().read()
    node.writer[0].next().serve("done")
    assert take(client).status == 200


def test_graceful_shutdown_while_rejecting_finishes_open_requests(node: Node) -> None:
    booking = node.post("b1", X_Call_Class="booking")
    read = node.reader[0].next()
    node.process.send_signal(signal.SIGTERM)
    node.logged("stopping")
    assert take(node.post("a1")).status == 503
    read.read()
    node.writer[0].next().serve("ok")
    assert take(booking).status == 200
    assert node.process.wait(WAIT_S) == 0


def test_upgrade_while_rejecting_loses_no_request(node: Node) -> None:
    booking = node.post("b1", X_Call_Class="booking")
    node.reader[0].next().read()
    decode = node.writer[0].next()
    node.successor().logged("listeners_taken_over")
    assert take(node.post("a1")).status == 503
    decode.serve("ok")
    assert take(booking).status == 200


def test_tenant_over_its_quota_gets_429_and_one_within_it_is_served() -> None:
    with start_lab(("--read-ms", "1", "--stream-ms", "5"), {"overload.toml": REJECT_QUERIES}) as stage:
        callers = {"memuro-bean-growers": 0.95, "tokachi-farm-coop": 0.05}
        plan = LoadPlan(stage.listening["platform"], 60.0, 2.0, 0.2, 2.0, 0.0, callers, seed=2)
        tenants = json.loads(load.run(plan))["tenants"]
    over_quota, within_quota = tenants["memuro-bean-growers"], tenants["tokachi-farm-coop"]
    assert within_quota == {"asked": within_quota["asked"], "served": within_quota["asked"]}
    assert over_quota["429"] > 0 and over_quota["429"] + over_quota["served"] == over_quota["asked"]


def test_process_stopped_for_a_second_sheds_only_briefly() -> None:
    with start_lab(("--read-ms", "1", "--stream-ms", "5"), {"overload.toml": "enabled = true\n"}) as stage:
        plan = LoadPlan(stage.listening["platform"], 30.0, 2.0, 0.2, 2.0, 0.0, parse_shares(""), seed=4)

        def stop() -> None:
            os.kill(stage.pid, signal.SIGSTOP)
            time.sleep(1.0)
            os.kill(stage.pid, signal.SIGCONT)

        stopping = threading.Thread(target=stop)
        stopping.start()
        query, booking = json.loads(load.run(plan))["classes"].values()
        stopping.join()
        assert booking["ends"] == {"served": booking["asked"]} and query["served_share"] > 0.8
        later_classes = json.loads(load.run(plan))["classes"].values()
    assert all(each["ends"] == {"served": each["asked"]} for each in later_classes)


def test_unread_streams_reject_queries_until_they_end() -> None:
    settings = "enabled = true\nheld_part = 0.05\nmemory_from = 0.25\nmemory_to = 1.0\n"
    servers = ("--stream-ms", "200", "--events", "50", "--event-bytes", "16384", "--read-ms", "1")
    files = {"overload.toml": settings, "prometheus.toml": METRICS}
    with start_lab((*servers, "--memory-mb", "256"), files) as stage:
        address, shares = stage.listening["platform"], parse_shares("")
        unread_connections = load.LoadGenerator(
            LoadPlan(address, 1, 1, 0, 2, 0, shares, non_reading_clients=90)
        ).open_non_reading_clients()
        wait_until(lambda: read_metric(stage.metrics_text(), "held_bytes") > 0.25 * 0.05 * 256 * 2**20)
        plan = LoadPlan(address, 20.0, 1.0, 0.5, 2.0, 0.0, shares, seed=5)
        query, booking = json.loads(load.run(plan))["classes"].values()
        assert query["ends"].get("429", 0) + query["ends"].get("503", 0) > 0
        assert booking["ends"] == {"served": booking["asked"]}
        for sock in unread_connections:
            sock.close()
        wait_until(lambda: read_metric(stage.metrics_text(), "held_bytes") == 0)
        wait_until(lambda: set(json.loads(load.run(plan))["classes"]["yard-query"]["ends"]) == {"served"})


def read_metric(text: str, name: str) -> float:
    """The value of one metric of /metrics."""
    match = re.search(rf"^ringledge_{name} (\S+)$", text, re.MULTILINE)
    assert match
    return float(match[1])


def test_burst_of_large_prompts_gets_one_answer_per_request_and_prefers_bookings() -> None:
    settings = "enabled = true\ntarget = 0.05\n"  # a CPU target that any machine exceeds
    with start_lab(("--read-ms", "1", "--stream-ms", "5"), {"overload.toml": settings}) as stage:
        bursts = (Burst(0.5, 1.5, 5.0, 200.0),)
        plan = LoadPlan(
            stage.listening["platform"], 40.0, 3.0, 0.2, 2.0, 0.0, parse_shares(""), bursts, seed=6
        )
        report = orjson.loads(load.run(plan))
        audit = stage.audit()
    assert report["unanswered"] == 0 and not audit["twice"] and not audit["together"]
    for each in report["classes"].values():
        assert set(each["ends"]) <= {"served", "503", "429"}
        assert sum(each["ends"].values()) == each["asked"]
    query, booking = report["classes"].values()
    assert query["ends"]["503"] > 0 and booking["served_share"] >= query["served_share"]
