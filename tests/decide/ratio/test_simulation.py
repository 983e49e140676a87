"""The planner at stand-ins in virtual time: handed on, cut off, over many changes; and each step."""

import re
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import pairwise
from pathlib import Path

import pytest

from benchmarks.ratio_lab import Lab
from benchmarks.ratio_ways import Planned, spread
from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio import planner as ratio
from ringledge.decide.ratio.planner import Listed
from ringledge.decide.ratio.role_records import decode
from ringledge.decide.ratio.role_registry import RoleBook
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import Box
from ringledge.lifecycle.settings_files import SettingsError, read_settings
from ringledge.members.planner import Planner
from ringledge.observe.logging import log

SHAPES = ((1_000.0, 300.0), (4_000.0, 120.0))
QUICK = RatioConfig(fast_s=2.0, slow_s=8.0, least_stay_s=9.0, drain_s=3.0, warm_s=2.0)
END_S = 240.0


def mix(servers: int, every_s: float, now_s: float) -> tuple[float, float]:
    """Requests per s and the part of long prompts; it moves to and fro."""
    return (0.0 if now_s >= END_S else servers * (1.6 - 0.7 * (now_s // every_s % 2)), now_s // every_s % 2)


class World:
    """A lab whose first book is watched: each change of a role, and that none is shut at any moment."""

    def __init__(self, settings: RatioConfig, every_s: float, seed: int = 1) -> None:
        log.configure("error", "test")
        sizes = (1, 5, 4, 3)
        self.lab = Lab(seed, sizes, settings, SHAPES, partial(mix, 20, every_s))
        self.planned = Planned(self.lab, 6)
        self.changes = list[tuple[str, float, str]]()
        self.tokens = list[int]()
        self.book = self.lab.conductors[-1].book
        receive = self.book.receive

        def heard(now_s: float, server: str, row: RoleAssignment) -> bool:
            role, known = self.book.places[server].role, server in self.book.rows
            taken = receive(now_s, server, row)
            if taken:
                self.tokens.append(row.token)
                if known and self.book.places[server].role != role:
                    self.changes.append((server, now_s, row.role))
            return taken

        self.book.receive = heard  # type: ignore[method-assign]

    def breach(self) -> str:
        """The first rule that was broken, once all is over."""
        lab = self.lab
        if any(job.sends > 1 for job in lab.jobs):
            return "sent twice"
        if any(not job.end for job in lab.jobs) or any(server.states for server in lab.servers.values()):
            return "a request without an end, or a state stranded"
        if self.tokens != sorted(self.tokens):
            return "tokens out of order"
        late_s = 1.5  # facts come up to a second and a tick apart
        for server in {name for name, _, _ in self.changes}:
            times = [at_s for name, at_s, _ in self.changes if name == server]
            if any(after - before < lab.settings.least_stay_s - late_s for before, after in pairwise(times)):
                return "within its least stay"
        return ""


def test_over_200_changes_nothing_is_lost_or_sent_twice() -> None:
    """One conductor hears no rows for a while; the planner dies again and again, in the middle of changes."""
    changes = 0
    for seed in range(1, 9):
        world = World(QUICK, 30.0, seed)
        world.lab.after(40.0, setattr, world.lab.conductors[0], "heard", False)
        world.lab.after(110.0, setattr, world.lab.conductors[0], "heard", True)
        for at in (33.0, 64.0, 91.0):
            world.lab.after(at, world.planned.hand_on)
        world.lab.play(END_S + 60)
        assert world.breach() == ""
        assert len(set(world.tokens)) >= 4
        changes += len(world.changes)
        if changes >= 200:
            break
    assert changes >= 200


def dies_after_each_plan(world: World) -> int:
    """The planner dies before all have heard what it told last; how often it did."""
    changes = died = 0
    for at in range(4 * 5, 4 * int(END_S)):
        world.lab.play(at / 4)
        if world.planned.changes > changes:
            world.planned.hand_on()
            changes, died = world.planned.changes, died + 1
    world.lab.play(END_S + 60)
    return died


def test_the_planner_changes_in_the_middle_of_a_change_of_roles_in_a_lab() -> None:
    world = World(QUICK, 40.0)
    assert dies_after_each_plan(world) >= 3
    assert world.changes and world.breach() == ""


def test_no_planner_in_a_lab_leaves_roles_and_service_as_they_are() -> None:
    world = World(QUICK, 1_000.0)
    world.lab.play(60.0)
    roles = {name: place.role for name, place in world.book.places.items()}
    world.planned.planner.stop()
    world.lab.play(END_S + 60)
    assert roles == {name: place.role for name, place in world.book.places.items()}
    assert world.lab.worth(60.0, END_S) > 0.9 and world.breach() == ""


def broken_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    box = ratio.Ratio._box

    def free(self: ratio.Ratio, *told: object) -> Box:
        return replace(box(self, *told), free=True)  # type: ignore[arg-type]

    monkeypatch.setattr(ratio.Ratio, "_box", free)


def told_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    again = ratio.Ratio.again
    monkeypatch.setattr(ratio.Ratio, "again", lambda self, now_s: again(self, now_s + 100.0))


def unfenced(monkeypatch: pytest.MonkeyPatch) -> None:
    def receive(self: RoleBook, now_s: float, server: str, row: RoleAssignment) -> bool:
        self.rows[server] = row
        return True

    monkeypatch.setattr(RoleBook, "receive", receive)


def sent_again(monkeypatch: pytest.MonkeyPatch) -> None:
    write = Lab._write

    def twice(self: Lab, job: object) -> None:
        job.sends += 1  # type: ignore[attr-defined]
        write(self, job)  # type: ignore[arg-type]

    monkeypatch.setattr(Lab, "_write", twice)


@pytest.mark.parametrize("mutant", [broken_stay, told_at_once, unfenced, sent_again])
def test_a_mutant_is_caught(
    monkeypatch: pytest.MonkeyPatch, mutant: Callable[[pytest.MonkeyPatch], None]
) -> None:
    mutant(monkeypatch)
    stay = RatioConfig(fast_s=2.0, slow_s=8.0, least_stay_s=60.0, drain_s=3.0, warm_s=2.0)
    world = World(stay if mutant is broken_stay else QUICK, 35.0)
    dies_after_each_plan(world)
    assert world.breach() != ""


class Paper:
    """Facts on paper: all is heard at once."""

    def __init__(self) -> None:
        self.told = list[tuple[str, RoleAssignment]]()

    def write(self, now_s: float, key: str, value: bytes) -> None:
        row = decode(key, value)
        assert row is not None
        self.told.append(row)

    def delete(self, now_s: float, key: str) -> None:
        pass

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        return {("m", f"{prefix}x"): b"\xff not a fact"}

    def servers(self) -> list[Listed]:
        return [Listed(f"b{at}", "s", f"r{at % 2}", "both") for at in range(4)]

    def members(self) -> dict[str, str]:
        return {"m": "s"}


def step(planner: Planner, token: int, still: Callable[[], bool]) -> None:
    with pytest.raises(StopIteration):
        planner.step(token, still).send(None)


def test_each_effect_asks_whether_the_lease_still_runs() -> None:
    paper, book, lease = Paper(), RoleBook(QUICK), iter([True, True, False])
    book.listed(0.0, {each.name: "both" for each in spread(paper.servers())})
    for at in range(4):
        book.receive(0.0, f"b{at}", RoleAssignment(1, 3, "read" if at < 2 else "write"))
    for at in range(20):
        book.tick(float(at))
    clock = [20.0]
    planner = Planner(QUICK, paper, paper, book, lambda: clock[0])
    planner.begin(7)
    step(planner, 7, lambda: True)
    assert not paper.told  # what the planner before told last may still be on its way
    clock[0] += 2 * QUICK.spread_s
    step(planner, 7, lambda: next(lease))
    assert [row.token for _, row in paper.told] == [7, 7]
    step(planner, 7, lambda: True)
    assert sorted(name for name, _ in paper.told) == ["b0", "b1", "b2", "b3"]
    assert planner.malformed == 4 and not book.changing()  # the rows told anew change nothing
    step(planner, 6, lambda: True)
    planner.stop()
    step(planner, 7, lambda: True)
    assert len(paper.told) == 4


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("enabled = true\nslow_s = 5.0", "slow_s is at least twice"),
        ("enabled = true\nleast_stay_s = 3.0", "least_stay_s is at least"),
        ("enabled = true\nstay = 3", "stay: no such key; allowed are enabled, look_s"),
        ("enabled = true\nheadroom = 2", "headroom"),
    ],
)
def test_settings_are_checked(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "ratio.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=re.escape(said)):
        read_settings(RatioConfig, path)


def test_the_file_in_deploy_says_what_the_settings_are_by_themselves(tmp_path: Path) -> None:
    told = Path("deploy/ratio.toml")
    assert read_settings(RatioConfig, told) is None
    path = tmp_path / "ratio.toml"
    path.write_text(told.read_text().replace("enabled = false", "enabled = true"))
    assert read_settings(RatioConfig, path) == RatioConfig()
