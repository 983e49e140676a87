"""The clock of the queue's times: Unix seconds that a step of the system's clock does not move.

Entries outlive the process that wrote them, so its monotonic clock does not do; the system's clock may be
stepped, which must neither expire what waits nor keep it longer. So time is counted by the time since the
machine's boot, and the file holds what to add for Unix seconds: all processes of a boot that use it agree.

After a reboot the system's clock tells how long the machine was off; where it is behind the newest time in
the file, that one is taken, so that no age is negative and nothing waits longer than from its arrival on.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
NEWEST = "SELECT max(coalesce(max(created_s), 0), coalesce(max(ended_s), 0)) FROM entries"


def read_boot_number() -> int:
    """A number of this boot of the machine; 0 where the system does not tell."""
    try:
        text = BOOT_ID_FILE.read_bytes()
    except OSError:
        return 0
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")  # SQLite's integers have 63 bits


def _boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class QueueClock:
    """The clock of one process; `synchronize` it with each file that is opened."""

    def __init__(
        self,
        unix_time_s: Callable[[], float] = time.time,
        boot_time_s: Callable[[], float] = _boot_time_s,
        boot_number: Callable[[], int] = read_boot_number,
    ) -> None:
        """`unix_time_s`: may be stepped; `boot_time_s`: since the machine's boot, never stepped."""
        self._unix_time_s = unix_time_s
        self._boot_time_s = boot_time_s
        self._boot_number = boot_number()
        self._offset_s = unix_time_s() - boot_time_s()
        self.synchronized = False

    def now_s(self) -> float:
        """Unix seconds."""
        return self._boot_time_s() + self._offset_s

    def read(self, db: sqlite3.Connection) -> bool:
        """Use the file's offset; False where it has none of this boot."""
        meta = dict(db.execute("SELECT name, value FROM meta WHERE name IN ('boot', 'clock_offset_us')"))
        if not self._boot_number or meta.get("boot") != self._boot_number:
            return False
        self._offset_s = meta["clock_offset_us"] / 1e6
        self.synchronized = True
        return True

    def synchronize(self, db: sqlite3.Connection) -> None:
        """Use the file's offset, or set it where it has none of this boot; sqlite3.Error where that fails."""
        if self.read(db):
            return
        db.execute("BEGIN IMMEDIATE")
        try:
            if not self.read(db):  # another process may have set it meanwhile
                self._set_offset(db)
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise

    def _set_offset(self, db: sqlite3.Connection) -> None:
        newest_s = db.execute(NEWEST).fetchone()[0]
        boot_time_s = self._boot_time_s()
        self._offset_s = max(self._unix_time_s(), newest_s) - boot_time_s
        rows = (("boot", self._boot_number), ("clock_offset_us", round(self._offset_s * 1e6)))
        db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", rows)
        self.synchronized = True
