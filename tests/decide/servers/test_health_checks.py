"""Each suspected server is probed by one member, whose outcome is available to all members."""

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
    """Replicated records that reach all members immediately."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], bytes] = {}

    def member(self, name: str) -> MemberRecords:
        return MemberRecords(self, name)


class MemberRecords:
    """One member's interface to the shared records."""

    def __init__(self, shared: SharedRecords, name: str) -> None:
        self.shared = shared
        self.name = name
        self.writes = 0

    def write(self, now_s: float, key: str, value: bytes) -> bool:
        self.shared.records[self.name, key] = value
        self.writes += 1
        return True

    def delete(self, now_s: float, key: str) -> None:
        del self.shared.records[self.name, key]

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        return {
            (name, key): value for (name, key), value in self.shared.records.items() if key.startswith(prefix)
        }


def _make_members(count: int) -> tuple[SharedRecords, dict[str, HealthChecker]]:
    shared = SharedRecords()
    names = [f"c{number}" for number in range(count)]
    members = {name: HealthChecker(name, shared.member(name)) for name in names}
    for checker in members.values():
        checker.set_members(names)
    return shared, members


def test_each_suspected_server_has_one_prober_and_probes_are_divided() -> None:
    _, members = _make_members(10)
    for server in SERVERS:
        members["c0"].suspect(0.0, server)
    members["c0"].tick(0.0)
    probed = Counter(probe.server for checker in members.values() for probe in checker.tick(0.0))
    first = Counter(probe.server for probe in members["c0"].tick(0.0))
    assert sum(first.values()) == 0  # its probes of the first tick are in flight
    assert max(probed.values()) == 1
    assert 80 <= len(probed) < 100  # the others are assigned to c0
    assigned = Counter(members["c3"].prober(server) for server in SERVERS)
    assert max(assigned.values()) <= 25


def test_only_the_servers_of_a_leaving_member_are_reassigned() -> None:
    _, members = _make_members(10)
    before = {server: members["c0"].prober(server) for server in SERVERS}
    members["c0"].set_members([f"c{number}" for number in range(9)])
    after = {server: members["c0"].prober(server) for server in SERVERS}
    reassigned = {server for server in SERVERS if before[server] != after[server]}
    assert reassigned == {server for server in SERVERS if before[server] == "c9"}


def _simulate(answers: bool, until_s: float = 8.0) -> tuple[list[Suspicion | None], int, SharedRecords]:
    """Suspect a server at time 0, and simulate five members until `until_s`.

    Returns the outcomes that another member reads every 0.5 s, the number of probes sent, and the records.
    """
    shared, members = _make_members(5)
    members["c1"].suspect(0.0, "s")
    results, sent, now_s = [], 0, 0.0
    while now_s < until_s:
        for checker in members.values():
            for probe in checker.tick(now_s):
                sent += 1
                if answers:
                    checker.record_answer(now_s + 0.02, probe.server, probe.number)
        results.append(members["c4"].latest_outcome(now_s, "s"))
        now_s += 0.5
    return results, sent, shared


def test_answered_probes_clear_the_suspicion_for_all_members() -> None:
    results, sent, shared = _simulate(answers=True)
    published = [result for result in results if result is not None]
    assert published[0].outcome == ProbeOutcome.ANSWERED
    assert published[0].duration_ms == 20
    assert published[-1].consecutive == SETTINGS.healthy_threshold
    assert sent == SETTINGS.healthy_threshold
    assert shared.records == {}  # no member suspects the server any more


def test_timed_out_probes_are_published_and_repeated_until_the_suspicion_expires() -> None:
    results, sent, shared = _simulate(answers=False)
    published = [result for result in results if result is not None]
    assert published[-1].outcome == ProbeOutcome.TIMED_OUT
    assert 4 <= sent <= 8
    assert any(key == KEY_PREFIX + "s" for _, key in shared.records)
    results, _, shared = _simulate(answers=False, until_s=16.0)
    assert results[-1] is None  # the suspicion was not renewed, so it has expired
    assert shared.records == {}


def test_answer_after_the_probe_timed_out_is_ignored() -> None:
    _, members = _make_members(1)
    members["c0"].suspect(0.0, "s")
    (probe,) = members["c0"].tick(0.0)
    members["c0"].tick(SETTINGS.timeout_s)
    members["c0"].record_answer(SETTINGS.timeout_s + 0.1, "s", probe.number)
    published = members["c0"].latest_outcome(2.0, "s")
    assert published is not None
    assert published.outcome == ProbeOutcome.TIMED_OUT


def test_records_of_dead_members_and_malformed_records_are_ignored() -> None:
    shared, members = _make_members(3)
    shared.records["c9", KEY_PREFIX + "s"] = msgspec.msgpack.encode(
        Suspicion(True, ProbeOutcome.TIMED_OUT, 0, 3)
    )  # c9 is not a live member
    shared.records["c1", KEY_PREFIX + "s"] = b"\xff nonsense"
    assert members["c0"].latest_outcome(0.0, "s") is None
    assert [probe for checker in members.values() for probe in checker.tick(0.0)] == []


def test_record_is_small_and_written_only_when_it_changes() -> None:
    shared, members = _make_members(1)
    members["c0"].suspect(0.0, "s")
    records = members["c0"]._records
    assert isinstance(records, MemberRecords)
    for step in range(80):
        for probe in members["c0"].tick(step * 0.1):
            del probe
    assert records.writes <= 5
    assert all(len(value) < 20 for value in shared.records.values())
