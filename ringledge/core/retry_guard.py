"""What may follow an attempt that may have run: the guard of repeats and refusals, by the record alone.

The decisions keep the same rule for their own choices. This is the one place that every other path asks.
"""

from __future__ import annotations

from collections.abc import Iterable

from ringledge.core.records import Attempt, Record
from ringledge.routing.interface import (
    DedupScope,
    Idempotency,
    RequestClass,
    RouterSettings,
)


def may_reject(request_class: RequestClass, record: Record) -> bool:
    """Whether a refusal, which promises that a retry does no harm, is true of this request."""
    if request_class.idempotency is Idempotency.IDEMPOTENT or not record.may_have_run:
        return True
    return request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DedupScope.ALL


def may_run_concurrently(
    settings: RouterSettings, request_class: RequestClass, others: Iterable[Attempt]
) -> bool:
    """Whether an attempt may be out beside its request's others: only where copies are permitted and safe."""
    copies = settings.hedging_allowed and request_class.idempotency is Idempotency.IDEMPOTENT
    return copies or not any(each.in_flight and each.written for each in others)


def may_retry(request_class: RequestClass, attempts: Iterable[Attempt], at_ms: float) -> bool:
    """Whether a further attempt may be sent behind these, as far as the effect and its window tell."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    ran = [attempt for attempt in attempts if attempt.may_have_run]
    if request_class.idempotency is Idempotency.KEYED:
        return all(at_ms < attempt.sent_ms + request_class.dedup_window_ms for attempt in ran)
    return not ran
