"""Runs the rows marked `wire` against the program with stand-in servers."""

import json
import queue
from contextlib import suppress
from pathlib import Path

import pytest

from tests.conformance.play import Placements, RowRun, failed_expectations, key_for
from tests.conformance.rows import ROWS, Row
from tests.loopback import WAIT_S, Call, Node, StandIn, take


def next_call(servers: list[StandIn]) -> tuple[int, Call]:
    """Waits for the next call at any of these servers; returns the index of the server and the call."""
    for turn in range(round(100 * WAIT_S)):
        with suppress(queue.Empty):
            number = turn % len(servers)
            return number, servers[number].calls.get(timeout=0.01)
    raise AssertionError("no call arrived in time")


def run_on_the_wire(row: Row, node: Node) -> Placements:
    seen = Placements()
    for step in row.steps:
        keys = {what: key_for(what, key, row.fleet, seen.reads) for what, key in step.fields.items()}
        prefix = f",prefix={keys['prefix']:x}" if "prefix" in keys else ""
        client = node.post(
            step.name, X_Route_Hash=f"{keys['session']:x}", X_Call_Info=f"prompt_len=900{prefix}"
        )
        number, call = next_call(node.reader)
        seen.reads[step.name] = f"r{number}"
        if step.what == "serve":
            assert not any(each.calls.qsize() for each in node.writer)
            call.read()
            next_call(node.writer)[1].serve("x")
            assert take(client).status == 200
        seen.sends[step.name] = sum(c.id == step.name for s in node.reader + node.writer for c in s.seen)
    return seen


@pytest.mark.parametrize("row", [row for row in ROWS if row.wire], ids=lambda row: row.id)
def test_program_meets_conformance_row(row: Row, tmp_path: Path) -> None:
    with Node(
        tmp_path, readers=4, writers=2, initial_listing=lambda node: json.dumps(node.listing(8))
    ) as node:
        seen = run_on_the_wire(row, node)
        assert not failed_expectations(row, seen), row.description
        other = RowRun(row, 0).placements  # a router without this history
        assert all(seen.reads[name] == other.reads[name] for name in row.agree)
