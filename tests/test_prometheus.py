"""/metrics, remote write to a stand-in receiver, and the alert rules."""

import re
from pathlib import Path
from typing import Any

import cramjam
import pytest
import yaml

from ringledge.wire.exporters.remote_write import MESSAGES
from tests.loopback import ROOT, Call, Node, StandIn, take

PROMETHEUS = 'enabled = true\nlisten = "127.0.0.1:0"\ninterval_s = 0.05\nqueue = 2\n'


def scrape(node: Node) -> str:
    client = node.client("prometheus")
    client.request("GET", "/metrics")
    return take(client).body.decode()


def test_every_alert_asks_for_figures_that_are_exported(tmp_path: Path) -> None:
    with Node(tmp_path, files={"prometheus.toml": PROMETHEUS}) as node:
        text = scrape(node)
    exported = set(re.findall(r"^# TYPE (\w+)", text, re.MULTILINE))
    exported |= {f"{name}{end}" for name in exported for end in ("_bucket", "_count", "_sum")}
    rules = [rule for group in yaml.safe_load((ROOT / "deploy/alerts.yml").read_text())["groups"] for rule in
             group["rules"]]  # fmt: skip
    assert len(rules) >= 10
    for rule in rules:
        asked = set(re.findall(r"ringledge_\w+", rule["expr"]))
        assert asked and asked <= exported, rule["alert"]


def test_figures_follow_what_happens(tmp_path: Path) -> None:
    with Node(tmp_path, files={"prometheus.toml": PROMETHEUS}) as node:
        client = node.post("a1")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
        take(client)
        text = scrape(node)
    assert 'ringledge_answers_total{class="0",how="served"} 1.0' in text
    assert 'ringledge_servers{state="up"} 2.0' in text
    assert "ringledge_first_token_seconds_count 1.0" in text


def series(call: Call) -> dict[str, float]:
    """Check a delivery's form; give its values by name."""
    assert call.headers["Content-Encoding"] == "snappy"
    assert call.headers["Content-Type"] == "application/x-protobuf"
    assert call.headers["X-Prometheus-Remote-Write-Version"] == "0.1.0"
    request: Any = MESSAGES["WriteRequest"].FromString(bytes(cramjam.snappy.decompress_raw(call.body)))
    found = {}
    for each in request.timeseries:
        names = [label.name for label in each.labels]
        assert names == sorted(names) and each.samples[0].timestamp > 1_600_000_000_000
        labels = {label.name: label.value for label in each.labels}
        assert labels["conductor"] == "n1"
        found[labels["__name__"]] = each.samples[0].value
    return found


@pytest.mark.parametrize(("status", "again"), [(500, True), (429, True), (400, False), (404, False)])
def test_a_receiver_that_fails_is_tried_again_and_one_that_refuses_is_not(
    tmp_path: Path, status: int, again: bool
) -> None:
    receiver = StandIn()
    told = PROMETHEUS + f'remote_write = "http://{receiver.address}/api/v1/write"\n'
    with Node(tmp_path, files={"prometheus.toml": told}) as node:
        first = receiver.next()
        assert first.path == "/api/v1/write" and "ringledge_open_requests" in series(first)
        first.answer(status)
        second = receiver.next()
        assert (second.body == first.body) is again
        second.answer(204)
        third = receiver.next()
        assert series(third)["ringledge_open_requests"] == 0
        third.answer(204)
        event = node.logged("remote_write_failed" if again else "remote_write_dropped")
        assert event["status"] == status
    receiver.close()


def test_a_full_queue_loses_its_oldest(tmp_path: Path) -> None:
    receiver = StandIn()
    told = PROMETHEUS + f'remote_write = "http://{receiver.address}/"\n'
    with Node(tmp_path, files={"prometheus.toml": told}) as node:
        held = receiver.next()
        while 'ringledge_remote_write_total{how="overflowed"}' not in scrape(node):
            pass  # collections go on while the receiver is silent
        held.answer(204)
        receiver.next().answer(204)
    receiver.close()
