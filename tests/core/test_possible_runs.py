"""An id that comes again runs at most once, unless its class is idempotent or it never ran."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.port import RELEASED_PAYLOAD, Payload
from ringledge.core.possible_runs import MAX_IDS, RETENTION_S, PossibleRuns
from ringledge.core.records import Attempt, RequestRecord, RequestResult
from ringledge.core.stages import accept, record_outcome
from ringledge.core.stages.accept import DuplicateRequestError
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Idempotency,
    Request,
    RequestClass,
    Role,
    RouterSettings,
    ServerKind,
)

SAFE = RequestClass(1200, 5000, Idempotency.IDEMPOTENT)
UNSAFE = replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT)
KEYED = replace(SAFE, idempotency=Idempotency.KEYED, dedup_window_ms=300.0)
KINDS = (ServerKind(Role.DECODE),)
SINK: Any = SimpleNamespace(is_disconnected=lambda: False, reject=lambda _: None, fail=lambda: None)


def conductor() -> Conductor:
    transport: Any = SimpleNamespace(
        endpoints_changed=lambda *_: None,
        unreachable_servers=frozenset,
        abandon=lambda _: None,
        release=lambda *_: None,
        answered_since=lambda *_: True,
    )
    settings = RouterSettings((SAFE, UNSAFE, KEYED), KINDS, may_cancel=True)
    return Conductor(settings, 1, Clock(), ServerList(KINDS), Metrics(), transport)


def accepted(node: Conductor, class_index: int) -> RequestRecord:
    request = Request("a1", expires_in_ms=5000, class_index=class_index)
    return accept.accept(node.context, request, Payload(b"/", b"body"), SINK)


def attempt(record: RequestRecord, written: bool, prefill: bool = False) -> Attempt:
    new = Attempt(record, len(record.attempts), "w0", prefill, not prefill, 0.0, 5000.0, written=written)
    record.attempts.append(new)
    return new


@pytest.mark.parametrize("class_index", [1, 2])
def test_request_that_ran_and_whose_client_left_is_not_run_again(class_index: int) -> None:
    node = conductor()
    record = accepted(node, class_index)
    decode = attempt(record, written=True)
    accept.on_client_disconnected(node.context, record)
    with pytest.raises(DuplicateRequestError, match="open already"):
        accepted(node, class_index)
    record_outcome.record_outcome(node.context, decode, AttemptStatus.CANCELLED)
    with pytest.raises(DuplicateRequestError, match="may have run"):
        accepted(node, class_index)


@pytest.mark.parametrize(
    ("class_index", "written", "prefill", "outcome"),
    [
        (0, True, False, AttemptStatus.CANCELLED),
        (1, False, False, AttemptStatus.CANCELLED),
        (1, True, True, AttemptStatus.CANCELLED),
        (1, True, False, AttemptStatus.FULL),
    ],
    ids=["idempotent", "not written", "prefill", "turned away"],
)
def test_request_that_may_run_again_is_accepted_again(
    class_index: int, written: bool, prefill: bool, outcome: AttemptStatus
) -> None:
    node = conductor()
    record = accepted(node, class_index)
    only = attempt(record, written, prefill)
    record_outcome.record_outcome(node.context, only, outcome)
    accept.on_client_disconnected(node.context, record)
    assert accepted(node, class_index) is not record


@pytest.mark.parametrize("result", RequestResult)
def test_body_of_a_closed_request_is_released_without_garbage_collection(result: RequestResult) -> None:
    """Guards against bodies that stay in memory with the reference cycle of a record and its attempts."""
    node = conductor()
    record = accepted(node, 0)
    record_outcome.close_request(node.context, record, result)
    assert record.payload is RELEASED_PAYLOAD


def test_ids_are_forgotten_after_their_retention_time() -> None:
    now_s = [0.0]
    runs = PossibleRuns(lambda: now_s[0])
    runs.add("a")
    now_s[0] = RETENTION_S
    runs.add("b")
    assert "a" in runs
    now_s[0] += 1.0
    assert "a" not in runs and list(runs) == ["b"]


def test_number_of_ids_is_limited_and_the_newest_are_kept() -> None:
    runs = PossibleRuns(lambda: 0.0)
    for number in range(MAX_IDS + 5):
        runs.add(str(number))
    runs.add("5")
    assert len(runs) == MAX_IDS and "4" not in runs and "5" in runs and str(MAX_IDS + 4) in runs
