"""Rule 5: no KV cache entry is left pinned."""

from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
)
from tests.world import READER, WRITER, World, entry, finals, released, sends


def test_state_is_released_when_the_request_ended_during_the_read() -> None:
    world = World()
    world.request("a", session=1)
    world.give(ClientDisconnected("a"))
    assert released(world.outcome("a", AttemptStatus.PREFILLED, request_ended=True))


def test_state_is_released_when_no_writer_is_left() -> None:
    world = World((entry("r", READER), entry("w", WRITER, availability=Availability.DRAINING)))
    world.request("a", session=1)
    done = world.outcome("a", AttemptStatus.PREFILLED)
    assert released(done) and len(finals(done)) == 1


def test_state_is_released_after_a_cancelled_write_and_at_the_last_attempt() -> None:
    world = World()
    world.read("a", session=1)
    world.give(ClientDisconnected("a"))
    assert released(world.outcome("a", AttemptStatus.CANCELLED, request_ended=True))
    world.read("b", session=1)
    for _ in range(2):
        assert len(sends(world.outcome("b", AttemptStatus.FULL))) == 1
    done = world.outcome("b", AttemptStatus.FULL)
    assert released(done) and len(finals(done)) == 1


def test_a_lost_state_is_read_anew_and_a_started_one_needs_no_release() -> None:
    world = World()
    world.read("a", session=1)
    assert sends(world.outcome("a", AttemptStatus.FULL, note=1))[0].startswith("r")
    world.outcome("a", AttemptStatus.PREFILLED)
    world.first("a")
    assert not released(world.outcome("a", AttemptStatus.OK, request_ended=True))
