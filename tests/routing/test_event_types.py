"""Timer tokens, the details of attempt outcomes, and failure scopes."""

from __future__ import annotations

import orjson
import pytest

from ringledge.routing.actions import TimerName, TimerToken
from ringledge.routing.events import AttemptOutcome, AttemptStatus
from ringledge.routing.state import ANY_REQUEST, FailureScope


@pytest.mark.parametrize(
    ("token", "text"),
    [
        (TimerToken(TimerName.WATCH, "a"), "look:a"),
        (TimerToken(TimerName.WATCH, "t/a:b:c"), "look:t/a:b:c"),
        (TimerToken(TimerName.WATCH, ""), "look:"),
        (TimerToken(TimerName.MEMBERS), "members"),
        (TimerToken(TimerName.EXPIRE), "reap"),
    ],
)
def test_timer_token_encodes_to_its_text_on_the_wire(token: TimerToken, text: str) -> None:
    assert token.encode() == text
    decoded = TimerToken.decode(text)
    assert decoded is not None
    assert (decoded.name, decoded.request or None) == (token.name, token.request or None)


@pytest.mark.parametrize("text", ["", "x", "look", "looks:a", ":a"])
def test_text_without_a_request_to_watch_is_no_watch_token(text: str) -> None:
    decoded = TimerToken.decode(text)
    assert decoded is None or decoded.request == ""


def detail(status: AttemptStatus, note: int) -> tuple[bool, bool, bool, bool]:
    outcome = AttemptOutcome("a", 0, "s", status, note=note)
    return (
        outcome.cache_entry_missing,
        outcome.rejected,
        outcome.idle_connection_closed,
        outcome.connection_failed,
    )


@pytest.mark.parametrize(
    ("status", "note", "expected"),
    [
        (AttemptStatus.FULL, 0, (False, True, False, False)),
        (AttemptStatus.FULL, 1, (True, False, False, False)),
        (AttemptStatus.FULL, 300, (False, False, False, False)),
        (AttemptStatus.RESET, 0, (False, False, False, True)),
        (AttemptStatus.RESET, 1, (False, False, True, False)),
        (AttemptStatus.CONNECT_FAILED, 0, (False, False, False, True)),
        (AttemptStatus.CONNECT_FAILED, 1, (False, False, True, False)),
        (AttemptStatus.ERROR, 1, (False, False, False, False)),
        (AttemptStatus.PREFILLED, 300, (False, False, False, False)),
    ],
)
def test_outcome_detail_depends_on_its_status(
    status: AttemptStatus, note: int, expected: tuple[bool, bool, bool, bool]
) -> None:
    assert detail(status, note) == expected


def test_failure_scope_is_its_text_in_snapshots() -> None:
    scopes = [FailureScope.of_class(0), FailureScope.of_tenant(1), ANY_REQUEST]
    assert orjson.dumps(scopes) == b'["class 0","tenant 1","all"]'
    assert {FailureScope("class 0"): 1}[FailureScope.of_class(0)] == 1
