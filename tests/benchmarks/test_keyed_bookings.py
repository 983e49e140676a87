"""A short, seeded part of the soak of idempotency keys; the long one is started by hand."""

from __future__ import annotations

import pytest

from benchmarks.keyed_bookings import play

STEPS = 30


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_booking_runs_twice_while_its_process_is_replaced(seed: int) -> None:
    """Guards against keys that another process does not know, and keys that stay refused for nothing."""
    result = play(seed, STEPS)
    assert result["broken"] == []
    assert result["processes"] > 1 and result["runs"] > 0
