"""Logs what holds the memory of the process as it approaches the limit, past which it is killed."""

from __future__ import annotations

import os
from bisect import bisect_right
from pathlib import Path

import anyio

from ringledge.lifecycle.context import ProgramContext
from ringledge.observe.logging import log

CHECK_INTERVAL_S = 0.5
# Parts of the memory limit; the log line is written whenever one more of them is exceeded.
LEVELS = (0.5, 0.65, 0.8, 0.9)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 2**20


class MemoryLevels:
    """The level that the memory in use has reached; free of I/O."""

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self.level = 0  # how many of `LEVELS` are exceeded

    def update(self, used_bytes: float) -> bool:
        """Take a new reading; returns whether the level has risen since the last one."""
        before, self.level = self.level, bisect_right(LEVELS, used_bytes / self._limit_bytes)
        return self.level > before


def resident_bytes(statm: Path = Path("/proc/self/statm")) -> int:
    """The resident memory of this process; 0 if the system does not tell it."""
    try:
        return int(statm.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


async def watch_memory(context: ProgramContext) -> None:
    """Log the memory in use whenever it reaches a higher level; runs until cancelled."""
    levels = MemoryLevels(context.config.memory_bytes)
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        used_bytes = resident_bytes()
        if levels.update(used_bytes):
            _log_memory(context, used_bytes)


def _log_memory(context: ProgramContext, used_bytes: int) -> None:
    memory = context.fronts.client_memory
    connections = [each.front.connections for each in context.fronts.clients]
    log.warning(
        "memory_level_reached",
        resident_mb=round(used_bytes / MB),
        limit_mb=round(context.config.memory_bytes / MB),
        bodies_mb=round(memory.used_bytes / MB, 1),
        read_ahead_mb=round(memory.read_ahead_bytes / MB, 1),
        unsent_mb=round(memory.unsent_bytes / MB, 1),
        active=sum(len(each.active) for each in connections),
        parked=sum(len(each.idle) for each in connections),
        lingering=sum(len(each.lingering) for each in connections),
        server_sockets=context.upstream.pool.open_count,
        requests=len(context.conductor.registry.records),
        remembered_ids=len(context.conductor.registry.possible_runs),
    )
