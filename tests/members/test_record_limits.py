"""Limits of the replicated records: what exceeds them is left out, and the process goes on."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

from ringledge.decide.interface import Member
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.decide.records.settings import RecordsConfig
from ringledge.decide.records.writer_log import MAX_KEYS_PER_WRITER
from ringledge.members.record_writer import RecordWriter
from tests.loopback import Node, take

MEMBERS = 'enabled = true\ncluster = "yards"\nkey_file = "{key}"\nlisten = "127.0.0.1:0"\nsite = "east"\n'


def test_record_above_the_limit_of_keys_is_left_out_and_counted() -> None:
    limits, written = list[None](), list[None]()
    records = ReplicatedRecords(Member("a", 5), RecordsConfig(), random.Random(1))
    writer = RecordWriter(records, lambda: written.append(None), lambda: limits.append(None))
    for number in range(MAX_KEYS_PER_WRITER):
        assert writer.write(0.0, f"server/{number}", b"1")
    assert not writer.write(0.0, "server/one-more", b"1")
    assert writer.write(0.0, "server/0", b"2")  # a key that it has
    assert (len(limits), len(written)) == (1, MAX_KEYS_PER_WRITER + 1)
    assert ("a", "server/one-more") not in records.values(0.0, "server/")


def test_record_that_exceeds_a_datagram_is_left_out() -> None:
    records = ReplicatedRecords(Member("a", 5), RecordsConfig(), random.Random(1))
    assert not RecordWriter(records, lambda: None).write(0.0, "k" * 49, b"")


def test_router_stays_ready_with_more_servers_than_one_writer_may_publish(
    tmp_path: Path,
) -> None:
    """Guards against a release in a large fleet that ends all routers which share records."""
    key = tmp_path / "members.key"
    key.write_text("5c" * 32)
    files = {
        "members.toml": MEMBERS.format(key=key),
        "duties.toml": 'enabled = true\nvoters = ["n1", "n2", "n3"]\n',
        "ratio.toml": "enabled = true\n",
    }
    with Node(tmp_path, files=files) as node:
        node.kill()
        node.configure(known=with_many_servers(node.listing(7)))
        node.start(tmp_path)
        assert "more than" in node.logged("record_not_written")["error"]
        client = node.client()
        client.request("GET", "/ready")
        assert take(client).status == 200 and node.process.poll() is None


def with_many_servers(listing: dict[str, Any]) -> dict[str, Any]:
    """The list, and so many further servers that accept no connection."""
    first = listing["endpoints"][0]
    more = [
        first | {"name": f"m{number}", "type": "mixed", "address": "127.0.0.1:1", "group": 2}
        for number in range(MAX_KEYS_PER_WRITER)
    ]
    return listing | {"endpoints": [*listing["endpoints"], *more]}
