"""The oracle of the soak excuses what a kill may leave unanswered, and nothing else."""

from __future__ import annotations

import pytest

from benchmarks.soak.events import Event
from tests.benchmarks.test_soak_oracle import (
    EventChange,
    at,
    cut_stream,
    held_entry,
    late_answer,
    partial_request,
    remove_answer,
    rules,
    without,
)


def kill_after_grace(term_s: float, kill_s: float) -> EventChange:
    """SIGTERM, and SIGKILL at the end of the grace period."""

    def change_events(events: list[Event]) -> None:
        without(events, "killed")
        events.append(at(term_s, "sigterm", conductor="n0"))
        events.append(at(kill_s, "killed", conductor="n0", grace=True))

    return change_events


# The request is sent 0.8 s and 0.5 s after SIGTERM: more and less than the 0.7 s that excuse a cut stream.
@pytest.mark.parametrize(("term_s", "found"), [(0.2, {"lost"}), (0.5, {"lost"})])
def test_kill_after_the_grace_period_does_not_excuse_a_request_without_an_answer(
    term_s: float, found: set[str]
) -> None:
    assert rules(remove_answer, kill_after_grace(term_s, 1.45)) >= found


@pytest.mark.parametrize(("term_s", "found"), [(0.1, {"cut"}), (0.9, set())])
def test_kill_after_the_grace_period_excuses_a_stream_requested_soon_after_sigterm(
    term_s: float, found: set[str]
) -> None:
    assert rules(cut_stream, kill_after_grace(term_s, 1.45)) == found


@pytest.mark.parametrize(
    "change_events", [remove_answer, late_answer, cut_stream, held_entry, partial_request]
)
def test_kill_excuses_failed_requests(change_events: EventChange) -> None:
    def fail_before_kill(events: list[Event]) -> None:
        change_events(events)
        events.append(at(6.0 if change_events is partial_request else 1.3, "killed", conductor="n0"))

    assert not rules(fail_before_kill)
