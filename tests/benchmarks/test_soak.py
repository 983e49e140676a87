"""Days of the soak with real processes; a process that got no processor excuses the rules on times alone."""

from __future__ import annotations

import asyncio

from benchmarks.soak.__main__ import play

SEEDS = (490_001, 490_002, 490_003, 490_004)


def test_no_promise_is_broken_under_overlapping_faults() -> None:
    verdicts = asyncio.run(play(SEEDS, parallel=2))
    for verdict in verdicts:
        unjudged = [each for each in verdict.violations if each not in verdict.judged()]
        print(f"seed {verdict.seed}: not judged, as a process was held up: {unjudged}")
    assert [(verdict.seed, verdict.judged()) for verdict in verdicts if verdict.judged()] == []
    assert all(verdict.statuses.get("200", 0) > 0 for verdict in verdicts)
