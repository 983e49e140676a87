"""Each suspected server is probed by one member, and all members see the outcome."""

from __future__ import annotations

from collections import Counter

import msgspec

from ringledge.decide.servers.health_checks import (
    KEY_PREFIX,
    HealthChecker,
    HealthCheckSettings,
    ProbeOutcome,
    Suspicion,
)

SETTINGS = HealthCheckSettings()
SERVERS = [f"server-{number}" for number in range(100)]


class SharedRecords:
    """Records that all members see at once."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], bytes] = {}

    def member(self, name: str) -> MemberRecords:
        return MemberRecords(self, name)


class MemberRecords:
    """The board as one member reads and writes it."""

    def __init__(self, board: SharedRecords, name: str) -> None:
        self.board = board
        self.name = name
        self.writes = 0

    def write(self, now_s: float, key: str, value: bytes) -> None:
        self.board.records[self.name, key] = value
        self.writes += 1

    def delete(self, now_s: float, key: str) -> None:
        del self.board.records[self.name, key]

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        return {
            (name, key): value for (name, key), value in self.board.records.items() if key.startswith(prefix)
        }


def _make_members(count: int) -> tuple[SharedRecords, dict[str, HealthChecker]]:
    board = SharedRecords()
    names = [f"c{number}" for number in range(count)]
    members = {name: HealthChecker(name, board.member(name)) for name in names}
    for checker in members.values():
        checker.set_members(names)
    return board, members


def test_each_suspected_server_has_one_prober_and_probes_are_divided() -> None:
    _, members = _make_members(10)
    for server in SERVERS:
        members["c0"].suspect(0.0, server)
    members["c0"].tick(0.0)
    probed = Counter(probe.server for checker in members.values() for probe in checker.tick(0.0))
    first = Counter(probe.server for probe in members["c0"].tick(0.0))
    assert sum(first.values()) == 0  # its probes of the first tick are in flight
    assert max(probed.values()) == 1
    assert 80 <= len(probed) < 100  # the rest are c0's own
    work = Counter(members["c3"].prober(server) for server in SERVERS)
    assert max(work.values()) <= 25


def test_only_the_servers_of_a_leaving_member_are_reassigned() -> None:
    _, members = _make_members(10)
    before = {server: members["c0"].prober(server) for server in SERVERS}
    members["c0"].set_members([f"c{number}" for number in range(9)])
    after = {server: members["c0"].prober(server) for server in SERVERS}
    moved = {server for server in SERVERS if before[server] != after[server]}
    assert moved == {server for server in SERVERS if before[server] == "c9"}


def _simulate(answers: bool, until_s: float = 8.0) -> tuple[list[Suspicion | None], int, SharedRecords]:
    """Suspect a server at 0; returns the findings of another member every 0.5 s, probes sent, the records."""
    board, members = _make_members(5)
    members["c1"].suspect(0.0, "s")
    findings, sent, now_s = [], 0, 0.0
    while now_s < until_s:
        for checker in members.values():
            for probe in checker.tick(now_s):
                sent += 1
                if answers:
                    checker.record_answer(now_s + 0.02, probe.server, probe.number)
        findings.append(members["c4"].latest_outcome(now_s, "s"))
        now_s += 0.5
    return findings, sent, board


def test_answered_probes_clear_the_suspicion_for_all_members() -> None:
    findings, sent, board = _simulate(answers=True)
    found = [latest_outcome for latest_outcome in findings if latest_outcome is not None]
    assert found[0].outcome == ProbeOutcome.ANSWERED
    assert found[0].duration_ms == 20
    assert found[-1].consecutive == SETTINGS.healthy_threshold
    assert sent == SETTINGS.healthy_threshold
    assert board.records == {}  # no member suspects it any more, and no record remains


def test_timed_out_probes_are_published_and_repeated_until_the_suspicion_expires() -> None:
    findings, sent, board = _simulate(answers=False)
    found = [latest_outcome for latest_outcome in findings if latest_outcome is not None]
    assert found[-1].outcome == ProbeOutcome.TIMED_OUT
    assert 4 <= sent <= 8
    assert any(key == KEY_PREFIX + "s" for _, key in board.records)
    findings, _, board = _simulate(answers=False, until_s=16.0)
    assert findings[-1] is None  # the suspicion was not renewed
    assert board.records == {}


def test_answer_after_the_probe_timed_out_is_ignored() -> None:
    _, members = _make_members(1)
    members["c0"].suspect(0.0, "s")
    (probe,) = members["c0"].tick(0.0)
    members["c0"].tick(SETTINGS.timeout_s)
    members["c0"].record_answer(SETTINGS.timeout_s + 0.1, "s", probe.number)
    found = members["c0"].latest_outcome(2.0, "s")
    assert found is not None
    assert found.outcome == ProbeOutcome.TIMED_OUT


def test_records_of_dead_members_and_malformed_records_are_ignored() -> None:
    board, members = _make_members(3)
    board.records["c9", KEY_PREFIX + "s"] = msgspec.msgpack.encode(
        Suspicion(True, ProbeOutcome.TIMED_OUT, 0, 3)
    )  # not alive
    board.records["c1", KEY_PREFIX + "s"] = b"\xff nonsense"
    assert members["c0"].latest_outcome(0.0, "s") is None
    assert [probe for checker in members.values() for probe in checker.tick(0.0)] == []


def test_record_is_small_and_written_only_when_it_changes() -> None:
    board, members = _make_members(1)
    members["c0"].suspect(0.0, "s")
    records = members["c0"]._records
    assert isinstance(records, MemberRecords)
    for step in range(80):
        for probe in members["c0"].tick(step * 0.1):
            del probe
    assert records.writes <= 5
    assert all(len(value) < 20 for value in board.records.values())
