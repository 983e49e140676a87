"""What may follow an attempt that may have run: the guard of repeats and refusals, by the record alone.

The decisions keep the same rule for their own choices. This is the one place that every other path asks.
"""

from __future__ import annotations

from collections.abc import Iterable

from crowstand import interface as i
from ringledge.core.records import Attempt, Record


def may_refuse(request_class: i.RequestClass, record: Record) -> bool:
    """Whether a refusal, which promises that a retry does no harm, is true of this request."""
    if request_class.effect is i.Effect.SAFE or not record.may_have_run:
        return True
    return request_class.effect is i.Effect.KEYED and request_class.dedup_scope is i.DedupScope.ALL


def may_be_beside(settings: i.Settings, request_class: i.RequestClass, others: Iterable[Attempt]) -> bool:
    """Whether an attempt may be out beside its request's others: only where copies are permitted and safe."""
    copies = settings.second_copies and request_class.effect is i.Effect.SAFE
    return copies or not any(each.out and each.written for each in others)


def may_repeat(request_class: i.RequestClass, attempts: Iterable[Attempt], at_ms: float) -> bool:
    """Whether a further attempt may be sent behind these, as far as the effect and its window tell."""
    if request_class.effect is i.Effect.SAFE:
        return True
    ran = [attempt for attempt in attempts if attempt.may_have_run]
    if request_class.effect is i.Effect.KEYED:
        return all(at_ms < attempt.sent_ms + request_class.dedup_window_ms for attempt in ran)
    return not ran
