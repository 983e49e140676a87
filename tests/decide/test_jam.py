"""The limit on a router's reads in a jam: when it stands, what it lets through, and when it goes."""

from __future__ import annotations

from math import inf

import pytest

from crowstand import interface as i
from crowstand.jam import CALM_MS, LATELY_MS, WAITED, Jam
from tests.world import READER, WRITER, World, entry, finals, sends

START_MS = 10_000.0
FLEET = (*(entry(f"r{n}", READER) for n in range(12)), *(entry(f"w{n}", WRITER) for n in range(4)))


def jammed(out: float = 4_000.0, least: float = 500.0) -> Jam:
    jam = Jam()
    assert jam.waited(START_MS, 2 * WAITED, START_MS - 500)
    jam.cut(START_MS, out, least)
    return jam


def test_nothing_is_limited_until_a_read_waits() -> None:
    jam = Jam()
    assert not jam.waited(START_MS, WAITED, START_MS - 500)
    assert jam.most == inf
    assert jam.room(1e9, 1e9, 0.0, 0.99)


def test_one_slow_reader_is_no_jam() -> None:
    jam = Jam()
    jam.waited(START_MS, 0.0, START_MS - 50)
    assert not jam.waited(START_MS + LATELY_MS, 9.0, START_MS)
    assert jam.waited(START_MS + LATELY_MS + 1, 9.0, START_MS)


def test_reads_sent_before_a_cut_call_for_no_other() -> None:
    jam = jammed()
    assert not jam.waited(START_MS + 400, 9.0, START_MS - 1)
    assert jam.waited(START_MS + 400, 9.0, START_MS)


@pytest.mark.parametrize("out", [0.0, 100.0, 4_000.0, 1e6])
def test_a_cut_leaves_less_than_is_out_and_the_least_at_any_rate(out: float) -> None:
    jam = jammed(out)
    assert jam.most == max(500.0, 0.7 * out)
    jam.cut(START_MS, 1e9, 500.0)
    assert jam.most <= max(500.0, 0.7 * out)


def test_a_dear_read_of_little_worth_is_turned_away_first() -> None:
    jam = jammed()
    chances = [n / 100 for n in range(100)]

    def let_in(tokens: float, value: float) -> int:
        return sum(jam.room(1_500.0, tokens, value, chance) for chance in chances)

    assert let_in(400.0, 0.3) == 100
    assert 0 < let_in(4_000.0, 0.3) < let_in(4_000.0, 1.0) < 100


def test_it_lets_go_after_a_while_without_a_jam() -> None:
    jam = jammed()
    jam.waited(START_MS + 500, 0.0, START_MS)
    assert jam.most < inf
    jam.waited(START_MS + CALM_MS + 1, 0.0, START_MS)
    assert jam.most == inf


def refused(slow_ms: float, quick: bool) -> tuple[int, int]:
    """Of 60 requests beside 8 reads that wait: those refused, and sends; `quick` tells of one good reader."""
    world = World(FLEET, routers=40, max_attempts=6)
    for n in range(20):
        world.wait(400)
        world.serve(f"a{n}", session=n)
    world.wait(2 * LATELY_MS)
    for n in range(8):
        world.request(f"b{n}", session=100 + n)
    world.wait(slow_ms)
    for n in range(8):
        world.outcome(f"b{n}", i.Status.READ, latency_ms=slow_ms)
    if quick:
        world.serve("good", session=99)
    noes = sent = 0
    for n in range(60):  # at readers of which nothing is known, or long ago
        world.request(f"c{n}", session=1000 + n)
        noes += len(finals(world.last))
        sent += len(sends(world.last))
    return noes, sent


def test_a_reader_that_nothing_is_known_of_is_not_taken_for_idle_while_all_others_jam() -> None:
    noes, sent = refused(slow_ms=450, quick=False)  # under what sheds by one reader's own wait
    assert noes > 40  # 0 without the limit: each was sent at once
    assert sent == 60 - noes  # refused at once, nothing held back
    assert sent > 0


def test_nobody_is_turned_away_where_one_reader_reads_soon() -> None:
    assert refused(slow_ms=450, quick=True)[0] < refused(slow_ms=450, quick=False)[0]
    assert refused(slow_ms=50, quick=False)[0] == 0


def test_a_read_given_up_at_once_is_no_sign_of_calm() -> None:
    world = World(FLEET, routers=40)
    world.serve("a")
    world.wait(2 * LATELY_MS)
    soon_ms = world.policy.jam.soon_ms
    world.request("b", session=1)
    world.end("b")
    assert world.policy.jam.soon_ms == soon_ms
