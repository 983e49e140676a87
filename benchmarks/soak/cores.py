"""Shares of a core for the routers of a soak: busy processes that run on the same core."""

from __future__ import annotations

import os
import subprocess
import sys

BUSY_PROGRAM = "while True: pass"


class SharedCores:
    """The busy processes of one run."""

    def __init__(self) -> None:
        self._busy = list[subprocess.Popen[bytes]]()

    def shared_core(self, number: int, divisor: int) -> int | None:
        """A core for the router with this number, shared with `divisor` - 1 processes; None if undivided."""
        if divisor == 1:
            return None
        cores = sorted(os.sched_getaffinity(0))
        core = cores[number % len(cores)]
        for _ in range(divisor - 1):
            process = subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM])
            os.sched_setaffinity(process.pid, {core})
            self._busy.append(process)
        return core

    def release(self) -> None:
        """End the busy processes."""
        for process in self._busy:
            process.kill()
            process.wait()
