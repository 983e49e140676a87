"""Decides by a request's record whether a further attempt or a rejection is safe.

Both can be unsafe after an attempt that may have run. The policy applies the same rules to its own decisions;
every other code path uses these functions.
"""

from __future__ import annotations

from collections.abc import Iterable

from ringledge.core.records import Attempt, RequestRecord
from ringledge.routing.interface import (
    DedupScope,
    Idempotency,
    Request,
    RequestClass,
    RouterSettings,
)


def may_reject(request_class: RequestClass, record: RequestRecord) -> bool:
    """Whether the request may be rejected: a rejection tells the client that a retry is safe."""
    if request_class.idempotency is Idempotency.IDEMPOTENT or not record.may_have_run:
        return True
    return request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DedupScope.ALL


def may_run_concurrently(
    settings: RouterSettings, request_class: RequestClass, others: Iterable[Attempt]
) -> bool:
    """Whether an attempt may be in flight together with the request's `others`.

    Another attempt that was written is permitted only if hedging is enabled and the request is idempotent.
    """
    hedging_allowed = settings.hedging_allowed and request_class.idempotency is Idempotency.IDEMPOTENT
    return hedging_allowed or not any(other.in_flight and other.written for other in others)


def is_idempotent(settings: RouterSettings, request: Request) -> bool:
    """Whether the request's class permits that it runs more than once."""
    return settings.classes[request.class_index].idempotency is Idempotency.IDEMPOTENT


def may_retry(request_class: RequestClass, attempts: Iterable[Attempt], at_ms: float) -> bool:
    """Whether a further attempt may reach a server at `at_ms`, by idempotency and deduplication window."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    possible_runs = [attempt for attempt in attempts if attempt.may_have_run]
    if request_class.idempotency is Idempotency.KEYED:
        return all(at_ms < attempt.sent_ms + request_class.dedup_window_ms for attempt in possible_runs)
    return not possible_runs
