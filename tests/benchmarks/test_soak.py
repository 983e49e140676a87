"""Soak runs with real processes; a stalled process excuses violations of timed rules only."""

from __future__ import annotations

import asyncio

from benchmarks.soak.__main__ import run_seeds

SEEDS = (490_001, 490_002, 490_003, 490_004)


def test_no_rule_is_broken_under_overlapping_faults() -> None:
    verdicts = asyncio.run(run_seeds(SEEDS, parallel=2))
    for verdict in verdicts:
        excused = [each for each in verdict.violations if each not in verdict.counted()]
        print(f"seed {verdict.seed}: not counted, since a process was stalled: {excused}")
    assert [(verdict.seed, verdict.counted()) for verdict in verdicts if verdict.counted()] == []
    assert all(verdict.statuses.get("200", 0) > 0 for verdict in verdicts)
