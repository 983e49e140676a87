"""Each rule of membership bites: without it a world of the tests comes out otherwise."""

import pytest

from benchmarks.members_world import World
from ringledge.decide.membership import swim as membership
from ringledge.decide.membership.member_table import Table
from ringledge.decide.membership.messages import News, Status
from ringledge.decide.membership.settings import ProbeConfig
from tests.decide.membership.test_swim import SOON_S, deaths, fleet


def test_without_refutation_loss_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership.Membership, "_said", lambda self, now_s, news: [])
    world = fleet(7, seed=3, loss=0.2)
    world.run(120.0)
    assert deaths(world)


def test_without_the_tries_a_cut_fleet_stays_in_two(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "AGAIN", 1e9)
    world = fleet(8)
    left = {"n0", "n3", "n4", "n5"}
    world.cut = lambda a, b: (a in left) != (b in left)
    world.run(20.0)
    world.cut = lambda a, b: False
    assert world.run(SOON_S, world.agreed) == SOON_S


def test_without_the_look_at_its_own_lateness_one_that_stood_still_blames_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(membership, "STALL", 1e9)
    blamed = 0
    for seed in range(8):
        world: World = fleet(4, seed)
        world.run(0.2 + seed / 10)
        world.cut = lambda a, b: b == "n2"
        world.run(1.0)  # it has begun to suspect
        world.stop("n2")
        world.cut = lambda a, b: False
        world.run(10.0)
        world.nodes["n2"].inbox.clear()  # a full socket lost what came
        world.go_on("n2")
        world.run(5.0)
        blamed += any(who == "n2" for who, _, _ in deaths(world))
    assert blamed


def test_without_starts_in_order_the_dead_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    first, older = News("a", 9, 0, Status.DEAD), News("a", 8, 5, Status.ALIVE, "a:1")
    for mutated in (False, True):
        if mutated:
            monkeypatch.setattr(
                Table, "merge", lambda self, now_s, news, listed: self._first(now_s, None, news)
            )
        table = Table(ProbeConfig())
        table.merge(0.0, first, listed=False)
        table.merge(1.0, older, listed=False)
        assert table.peers["a"].there() is mutated


def test_without_ones_own_ears_a_lie_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    for mutated in (False, True):
        if mutated:
            monkeypatch.setattr(Table, "_heard_lately", lambda self, now_s, peer: False)
        table = Table(ProbeConfig())
        table.merge(0.0, News("a", 9, 0, Status.ALIVE, "a:1"), listed=False)
        table.heard(1.0, "a", 9)
        table.merge(1.5, News("a", 9, 0, Status.DEAD), listed=False)
        assert table.peers["a"].there() is not mutated
