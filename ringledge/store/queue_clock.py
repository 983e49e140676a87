"""Clock for the times in the queue's file: Unix seconds that are not affected by steps of the system clock.

Entries can outlive the process that wrote them, so a process's monotonic clock is not suitable. A step of the
system clock must neither expire entries early nor keep them longer. Therefore the clock adds an offset to the
time since the machine's boot. The offset is stored in the file, so all processes of one boot agree.

After a reboot a new offset is set from the system clock, which includes the time that the machine was off. If
the system clock is behind the newest time in the file, that time is used instead, so that no entry has a
negative age or waits for longer than its lifetime after the reboot.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
NEWEST_TIME_QUERY = "SELECT max(coalesce(max(created_s), 0), coalesce(max(ended_s), 0)) FROM entries"


def read_boot_number() -> int:
    """Return a number that identifies the current boot of the machine, or 0 if it is not available."""
    try:
        text = BOOT_ID_FILE.read_bytes()
    except OSError:
        return 0
    # 7 bytes, since SQLite stores positive integers of up to 63 bits.
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")


def _boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class QueueClock:
    """The queue's clock in one process; `synchronize` has to be called for each connection that is opened."""

    def __init__(
        self,
        unix_time_s: Callable[[], float] = time.time,
        boot_time_s: Callable[[], float] = _boot_time_s,
        boot_number: Callable[[], int] = read_boot_number,
    ) -> None:
        """`unix_time_s` may be stepped; `boot_time_s` is the time since boot, which never is."""
        self._unix_time_s = unix_time_s
        self._boot_time_s = boot_time_s
        self._boot_number = boot_number()
        self._offset_s = unix_time_s() - boot_time_s()
        self.synchronized = False

    def now_s(self) -> float:
        """Return the time in Unix seconds."""
        return self._boot_time_s() + self._offset_s

    def read(self, db: sqlite3.Connection) -> bool:
        """Load the offset from the file; returns False if the file has none for this boot."""
        meta = dict(db.execute("SELECT name, value FROM meta WHERE name IN ('boot', 'clock_offset_us')"))
        if not self._boot_number or meta.get("boot") != self._boot_number:
            return False
        self._offset_s = meta["clock_offset_us"] / 1e6
        self.synchronized = True
        return True

    def synchronize(self, db: sqlite3.Connection) -> None:
        """Load the offset from the file, or store one if it has none for this boot.

        Raises sqlite3.Error if the offset cannot be loaded or stored.
        """
        if self.read(db):
            return
        db.execute("BEGIN IMMEDIATE")
        try:
            if not self.read(db):  # another process may have stored it meanwhile
                self._set_offset(db)
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise

    def _set_offset(self, db: sqlite3.Connection) -> None:
        newest_s = db.execute(NEWEST_TIME_QUERY).fetchone()[0]
        boot_time_s = self._boot_time_s()
        self._offset_s = max(self._unix_time_s(), newest_s) - boot_time_s
        rows = (("boot", self._boot_number), ("clock_offset_us", round(self._offset_s * 1e6)))
        db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", rows)
        self.synchronized = True
