"""The role planner with simulated servers in virtual time; the steps of its service; its settings."""

import re
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import pairwise
from pathlib import Path

import pytest

from benchmarks.ratio_simulation import Simulation
from benchmarks.ratio_strategies import SimulatedPlanner, spread_over_racks
from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio import planner as planner_module
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import decode_assignment
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import ServerState
from ringledge.lifecycle.settings_files import SettingsError, read_settings
from ringledge.members.planner import RolePlannerService
from ringledge.observe.logging import log

SHAPES = ((1_000.0, 300.0), (4_000.0, 120.0))
FAST_SETTINGS = RatioConfig(fast_s=2.0, slow_s=8.0, min_dwell_s=9.0, drain_timeout_s=3.0, warm_up_s=2.0)
END_S = 240.0


def mix(servers: int, every_s: float, now_s: float) -> tuple[float, float]:
    """Requests per s and the fraction of long prompts, which alternates between 0 and 1."""
    return (0.0 if now_s >= END_S else servers * (1.6 - 0.7 * (now_s // every_s % 2)), now_s // every_s % 2)


class RoleChangeRecorder:
    """A simulation that records the accepted assignments and the role changes of one registry."""

    def __init__(self, settings: RatioConfig, every_s: float, seed: int = 1) -> None:
        log.configure("error", "test")
        sizes = (1, 5, 4, 3)
        self.simulation = Simulation(seed, sizes, settings, SHAPES, partial(mix, 20, every_s))
        self.planner = SimulatedPlanner(self.simulation, 6)
        self.changes = list[tuple[str, float, str]]()
        self.tokens = list[int]()
        self.registry = self.simulation.conductors[-1].registry
        receive = self.registry.receive

        def recording_receive(now_s: float, server: str, assignment: RoleAssignment) -> bool:
            role, known = self.registry.entries[server].role, server in self.registry.assignments
            accepted = receive(now_s, server, assignment)
            if accepted:
                self.tokens.append(assignment.token)
                if known and self.registry.entries[server].role != role:
                    self.changes.append((server, now_s, assignment.role))
            return accepted

        self.registry.receive = recording_receive  # type: ignore[method-assign]

    def violation(self) -> str:
        """The first rule that was broken in a finished simulation, or an empty string."""
        simulation = self.simulation
        if any(request.decode_sends > 1 for request in simulation.requests):
            return "a request was sent twice"
        if any(not request.outcome for request in simulation.requests) or any(
            server.cache_entries for server in simulation.servers.values()
        ):
            return "a request without an outcome, or a KV cache entry that was never released"
        if self.tokens != sorted(self.tokens):
            return "an assignment with an outdated token was accepted"
        late_s = 1.5  # the delay of records varies by up to a second and a tick
        for server in {name for name, _, _ in self.changes}:
            times = [at_s for name, at_s, _ in self.changes if name == server]
            if any(
                after - before < simulation.settings.min_dwell_s - late_s for before, after in pairwise(times)
            ):
                return "two role changes of a server within the minimum dwell time"
        return ""


def test_no_request_is_lost_or_sent_twice_over_200_changes() -> None:
    """One conductor receives no assignments for 70 s, and the planner fails over three times."""
    changes = 0
    for seed in range(1, 9):
        recorder = RoleChangeRecorder(FAST_SETTINGS, 30.0, seed)
        recorder.simulation.after(40.0, setattr, recorder.simulation.conductors[0], "receives_records", False)
        recorder.simulation.after(110.0, setattr, recorder.simulation.conductors[0], "receives_records", True)
        for at in (33.0, 64.0, 91.0):
            recorder.simulation.after(at, recorder.planner.fail_over)
        recorder.simulation.run_until(END_S + 60)
        assert recorder.violation() == ""
        assert len(set(recorder.tokens)) >= 4
        changes += len(recorder.changes)
        if changes >= 200:
            break
    assert changes >= 200


def fail_over_after_each_plan(recorder: RoleChangeRecorder) -> int:
    """Let the planner fail over right after each of its plans; returns the number of failovers."""
    changes = failures = 0
    for at in range(4 * 5, 4 * int(END_S)):
        recorder.simulation.run_until(at / 4)
        if recorder.planner.changes > changes:
            recorder.planner.fail_over()
            changes, failures = recorder.planner.changes, failures + 1
    recorder.simulation.run_until(END_S + 60)
    return failures


def test_planner_failover_during_changes_breaks_no_rule() -> None:
    recorder = RoleChangeRecorder(FAST_SETTINGS, 40.0)
    assert fail_over_after_each_plan(recorder) >= 3
    assert recorder.changes and recorder.violation() == ""


def test_roles_and_service_persist_without_a_planner() -> None:
    recorder = RoleChangeRecorder(FAST_SETTINGS, 1_000.0)
    recorder.simulation.run_until(60.0)
    roles = {name: entry.role for name, entry in recorder.registry.entries.items()}
    recorder.planner.service.stop()
    recorder.simulation.run_until(END_S + 60)
    assert roles == {name: entry.role for name, entry in recorder.registry.entries.items()}
    assert recorder.simulation.served_value(60.0, END_S) > 0.9 and recorder.violation() == ""


def without_min_dwell(monkeypatch: pytest.MonkeyPatch) -> None:
    server_state = planner_module.RolePlanner._server_state

    def always_movable(self: planner_module.RolePlanner, *args: object) -> ServerState:
        return replace(server_state(self, *args), movable=True)  # type: ignore[arg-type]

    monkeypatch.setattr(planner_module.RolePlanner, "_server_state", always_movable)


def reissued_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    reissue = planner_module.RolePlanner.reissued_assignments
    monkeypatch.setattr(
        planner_module.RolePlanner,
        "reissued_assignments",
        lambda self, now_s: reissue(self, now_s + 100.0),
    )


def without_fencing(monkeypatch: pytest.MonkeyPatch) -> None:
    def receive(self: RoleRegistry, now_s: float, server: str, assignment: RoleAssignment) -> bool:
        self.assignments[server] = assignment
        return True

    monkeypatch.setattr(RoleRegistry, "receive", receive)


def sent_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    send_decode = Simulation._send_decode

    def send_twice(self: Simulation, request: object) -> None:
        request.decode_sends += 1  # type: ignore[attr-defined]
        send_decode(self, request)  # type: ignore[arg-type]

    monkeypatch.setattr(Simulation, "_send_decode", send_twice)


@pytest.mark.parametrize("mutant", [without_min_dwell, reissued_at_once, without_fencing, sent_twice])
def test_mutant_is_detected(
    monkeypatch: pytest.MonkeyPatch, mutant: Callable[[pytest.MonkeyPatch], None]
) -> None:
    mutant(monkeypatch)
    long_dwell = RatioConfig(fast_s=2.0, slow_s=8.0, min_dwell_s=60.0, drain_timeout_s=3.0, warm_up_s=2.0)
    recorder = RoleChangeRecorder(long_dwell if mutant is without_min_dwell else FAST_SETTINGS, 35.0)
    fail_over_after_each_plan(recorder)
    assert recorder.violation() != ""


class RecordedAssignments:
    """A record store and server list that collects the published assignments."""

    def __init__(self) -> None:
        self.published = list[tuple[str, RoleAssignment]]()

    def write(self, now_s: float, key: str, value: bytes) -> bool:
        assignment = decode_assignment(key, value)
        assert assignment is not None
        self.published.append(assignment)
        return True

    def delete(self, now_s: float, key: str) -> None:
        pass

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        return {("m", f"{prefix}x"): b"\xff not a fact"}

    def servers(self) -> list[ListedServer]:
        return [ListedServer(f"b{at}", "s", f"r{at % 2}", "both") for at in range(4)]

    def members(self) -> dict[str, str]:
        return {"m": "s"}


def step(planner: RolePlannerService, token: int, is_lease_held: Callable[[], bool]) -> None:
    with pytest.raises(StopIteration):
        planner.step(token, is_lease_held).send(None)


def test_each_effect_checks_the_lease() -> None:
    records, registry, lease = RecordedAssignments(), RoleRegistry(FAST_SETTINGS), iter([True, True, False])
    registry.update_servers(0.0, {each.name: "both" for each in spread_over_racks(records.servers())})
    for at in range(4):
        registry.receive(0.0, f"b{at}", RoleAssignment(1, 3, "read" if at < 2 else "write"))
    for at in range(20):
        registry.tick(float(at))
    clock = [20.0]
    planner = RolePlannerService(FAST_SETTINGS, records, records, registry, lambda: clock[0])
    planner.begin(7)
    step(planner, 7, lambda: True)
    assert not records.published  # the last assignments of the predecessor may not have arrived yet
    clock[0] += 2 * FAST_SETTINGS.propagation_s
    step(planner, 7, lambda: next(lease))
    assert [assignment.token for _, assignment in records.published] == [7, 7]
    step(planner, 7, lambda: True)
    assert sorted(name for name, _ in records.published) == ["b0", "b1", "b2", "b3"]
    assert planner.malformed == 4 and not registry.changing_servers()  # reissued assignments change no role
    step(planner, 6, lambda: True)
    planner.stop()
    step(planner, 7, lambda: True)
    assert len(records.published) == 4


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("enabled = true\nslow_s = 5.0", "slow_s must be at least twice"),
        ("enabled = true\nleast_stay_s = 3.0", "least_stay_s must be at least"),
        ("enabled = true\nstay = 3", "stay: no such key; allowed are enabled, look_s"),
        ("enabled = true\nheadroom = 2", "headroom"),
    ],
)
def test_invalid_settings_are_reported_with_their_key(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "ratio.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=re.escape(message)):
        read_settings(RatioConfig, path)


def test_deployed_file_equals_default_settings(tmp_path: Path) -> None:
    deployed = Path("deploy/ratio.toml")
    assert read_settings(RatioConfig, deployed) is None
    path = tmp_path / "ratio.toml"
    path.write_text(deployed.read_text().replace("enabled = false", "enabled = true"))
    assert read_settings(RatioConfig, path) == RatioConfig()
