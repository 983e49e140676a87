"""Scrapes of /metrics, remote write to a stand-in receiver, and the metrics that the alert rules use."""

import re
from pathlib import Path
from typing import Any

import cramjam
import pytest
import yaml

from ringledge.wire.exporters.remote_write import MESSAGE_CLASSES
from tests.loopback import ROOT, Call, Node, StandIn, take

PROMETHEUS = 'enabled = true\nlisten = "127.0.0.1:0"\ninterval_s = 0.05\nqueue = 2\n'


def scrape(node: Node) -> str:
    client = node.client("prometheus")
    client.request("GET", "/metrics")
    return take(client).body.decode()


def test_every_alert_uses_exported_metrics(tmp_path: Path) -> None:
    with Node(tmp_path, files={"prometheus.toml": PROMETHEUS}) as node:
        text = scrape(node)
    exported = set(re.findall(r"^# TYPE (\w+)", text, re.MULTILINE))
    exported |= {f"{name}{end}" for name in exported for end in ("_bucket", "_count", "_sum")}
    rules = [rule for group in yaml.safe_load((ROOT / "deploy/alerts.yml").read_text())["groups"] for rule in
             group["rules"]]  # fmt: skip
    assert len(rules) >= 10
    for rule in rules:
        used = set(re.findall(r"ringledge_\w+", rule["expr"]))
        assert used and used <= exported, rule["alert"]


def test_metrics_count_a_served_request(tmp_path: Path) -> None:
    with Node(tmp_path, files={"prometheus.toml": PROMETHEUS}) as node:
        client = node.post("a1")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
        take(client)
        text = scrape(node)
    assert 'ringledge_answers_total{class="0",how="served"} 1.0' in text
    assert 'ringledge_servers{state="up"} 2.0' in text
    assert "ringledge_first_token_seconds_count 1.0" in text


def metric_values(call: Call) -> dict[str, float]:
    """Check the format of a remote write request; returns its values by metric name."""
    assert call.headers["Content-Encoding"] == "snappy"
    assert call.headers["Content-Type"] == "application/x-protobuf"
    assert call.headers["X-Prometheus-Remote-Write-Version"] == "0.1.0"
    request: Any = MESSAGE_CLASSES["WriteRequest"].FromString(bytes(cramjam.snappy.decompress_raw(call.body)))
    values = {}
    for each in request.timeseries:
        names = [label.name for label in each.labels]
        assert names == sorted(names) and each.samples[0].timestamp > 1_600_000_000_000
        labels = {label.name: label.value for label in each.labels}
        assert labels["conductor"] == "n1"
        values[labels["__name__"]] = each.samples[0].value
    return values


@pytest.mark.parametrize(("status", "is_retried"), [(500, True), (429, True), (400, False), (404, False)])
def test_remote_write_retries_server_errors_and_drops_rejected_collections(
    tmp_path: Path, status: int, is_retried: bool
) -> None:
    receiver = StandIn()
    settings = PROMETHEUS + f'remote_write = "http://{receiver.address}/api/v1/write"\n'
    with Node(tmp_path, files={"prometheus.toml": settings}) as node:
        first = receiver.next()
        assert first.path == "/api/v1/write" and "ringledge_open_requests" in metric_values(first)
        first.answer(status)
        second = receiver.next()
        assert (second.body == first.body) is is_retried
        second.answer(204)
        third = receiver.next()
        assert metric_values(third)["ringledge_open_requests"] == 0
        third.answer(204)
        event = node.logged("remote_write_failed" if is_retried else "remote_write_dropped")
        assert event["status"] == status
    receiver.close()


def test_a_full_queue_drops_its_oldest_collection(tmp_path: Path) -> None:
    receiver = StandIn()
    settings = PROMETHEUS + f'remote_write = "http://{receiver.address}/"\n'
    with Node(tmp_path, files={"prometheus.toml": settings}) as node:
        unanswered = receiver.next()
        while 'ringledge_remote_write_total{how="overflowed"}' not in scrape(node):
            pass  # metrics are collected while the receiver does not answer
        unanswered.answer(204)
        receiver.next().answer(204)
    receiver.close()
