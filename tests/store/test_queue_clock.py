"""The queue's clock is not affected by steps of the system clock, and continues after a reboot."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
import pytest

from ringledge.store import schema, transitions
from ringledge.store.entry import EntryOutcome, EntryState, QueuedRequest
from ringledge.store.queue import Queue
from ringledge.store.queue_clock import QueueClock
from ringledge.store.settings import QueueConfig
from tests.store.helpers import LIMITS, in_transaction, queued_request

HOUR_S = 3600.0
EXPIRE_S = 600.0


@dataclass
class Machine:
    """A machine whose system clock and time since boot are set by the test."""

    unix_s: float = 1_800_000_000.0
    boot_s: float = 5_000.0
    boot: int = 7

    def advance(self, duration_s: float) -> None:
        self.unix_s += duration_s
        self.boot_s += duration_s

    def reboot(self, off_s: float) -> None:
        """Reboot the machine; `off_s` is the change of the system clock meanwhile."""
        self.unix_s += off_s
        self.boot_s, self.boot = 1.0, self.boot + 1

    def process(self, path: Path) -> tuple[QueueClock, sqlite3.Connection]:
        """Return the clock and the connection of a new process that opens the file."""
        clock = QueueClock(lambda: self.unix_s, lambda: self.boot_s, lambda: self.boot)
        connection = schema.connect(path, 1.0)
        clock.synchronize(connection)
        return clock, connection


@pytest.fixture
def machine() -> Machine:
    return Machine()


def enqueue(clock: QueueClock, connection: sqlite3.Connection) -> None:
    now_s = clock.now_s()
    request: QueuedRequest = replace(queued_request("a"), created_s=now_s, expires_s=now_s + EXPIRE_S)
    in_transaction(connection, lambda db: transitions.enqueue(db, request, now_s, LIMITS))


def expired(clock: QueueClock, connection: sqlite3.Connection) -> tuple[str, ...]:
    return in_transaction(connection, lambda db: transitions.expire(db, clock.now_s()))


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
@pytest.mark.parametrize("restarts", [False, True])
def test_step_of_the_system_clock_does_not_move_the_expiry(
    tmp_path: Path, machine: Machine, step_s: float, restarts: bool
) -> None:
    """Guards against accepted entries that expire early or wait an hour longer after a clock step."""
    clock, connection = machine.process(tmp_path / "queue.db")
    enqueue(clock, connection)
    machine.unix_s += step_s
    if restarts:
        clock, connection = machine.process(tmp_path / "queue.db")
    machine.advance(EXPIRE_S - 1)
    assert expired(clock, connection) == ()
    machine.advance(2)
    assert expired(clock, connection) == ("a",)


def test_clocks_of_processes_agree_within_one_boot(tmp_path: Path, machine: Machine) -> None:
    first, _ = machine.process(tmp_path / "queue.db")
    machine.unix_s -= HOUR_S
    second, _ = machine.process(tmp_path / "queue.db")
    assert second.now_s() == pytest.approx(first.now_s(), abs=1e-3)


@pytest.mark.parametrize(
    ("off_s", "waited_s"), [(100.0, 100.0), (-HOUR_S, 0.0)], ids=["correct clock", "clock set back"]
)
def test_time_while_the_machine_is_off_is_taken_from_the_system_clock(
    tmp_path: Path, machine: Machine, off_s: float, waited_s: float
) -> None:
    clock, connection = machine.process(tmp_path / "queue.db")
    enqueue(clock, connection)
    machine.reboot(off_s)
    clock, connection = machine.process(tmp_path / "queue.db")
    machine.advance(EXPIRE_S - waited_s - 1)
    assert expired(clock, connection) == ()
    machine.advance(2)
    assert expired(clock, connection) == ("a",)


def test_entries_stay_readable_if_the_offset_cannot_be_stored(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    connection = schema.connect(path, 1.0)
    connection.execute("CREATE TRIGGER full BEFORE INSERT ON meta BEGIN SELECT raise(ABORT, 'full'); END")
    connection.close()

    async def run() -> None:
        queue = Queue(QueueConfig(path=str(path)))
        queue.start()
        try:
            request = replace(queued_request("a"), created_s=await queue.now_s(), expires_s=9e9)
            assert (await queue.enqueue(request)).state is EntryState.WAITING
            assert (await queue.withdraw("a")).outcome is EntryOutcome.WITHDRAWN
        finally:
            queue.stop()

    anyio.run(run)
