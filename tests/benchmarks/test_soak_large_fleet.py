"""Soak runs with thousands of servers, some of which hang, drain and restart by the hundred."""

from __future__ import annotations

import asyncio

from benchmarks.soak.__main__ import FleetSize, run_seeds

SEEDS = (780_001, 780_002)
SIZE = FleetSize(servers=3_200)


def test_no_answer_is_lost_or_late_in_a_fleet_of_thousands_of_servers() -> None:
    verdicts = asyncio.run(run_seeds(SEEDS, parallel=2, size=SIZE))
    for verdict in verdicts:
        excused = [each for each in verdict.violations if each not in verdict.counted()]
        print(f"seed {verdict.seed}: not counted, since a process was stalled: {excused}")
    assert [(verdict.seed, verdict.counted()) for verdict in verdicts if verdict.counted()] == []
    assert all(verdict.statuses.get("200", 0) > 0 for verdict in verdicts)
