"""How a request or an attempt is ended; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.actions import (
    CancelAttempt,
    FailRequest,
    GiveUpReason,
    RejectRequest,
    RoutingAction,
)
from ringledge.routing.settings import DedupScope, Idempotency, RouterSettings
from ringledge.routing.state import RequestState

RETRY_AFTER_SHARE = 0.25  # of the maximum that clients follow: congestion often clears within one attempt


def final_answer(
    settings: RouterSettings, state: RequestState, reason: GiveUpReason
) -> RejectRequest | FailRequest:
    """The answer of a request that is given up: rejected where a retry is harmless, else failed."""
    if not _may_reject(state):
        return FailRequest(state.request.request, reason)
    retry_after_ms = RETRY_AFTER_SHARE * settings.max_retry_after_ms if settings.retry_after else None
    return RejectRequest(state.request.request, retry_after_ms, reason)


def _may_reject(state: RequestState) -> bool:
    """Whether a client's retry does no harm: it never ran, or a second run has no further effect."""
    # An attempt still in flight proves nothing, a prefill neither.
    may_have_run = bool(state.possible_runs) or state.server is not None
    idempotency, scope = state.request_class.idempotency, state.request_class.dedup_scope
    deduplicated = idempotency == Idempotency.KEYED and scope == DedupScope.ALL
    return not may_have_run or idempotency == Idempotency.IDEMPOTENT or deduplicated


def cancel_actions(settings: RouterSettings, state: RequestState) -> list[RoutingAction]:
    """Cancel a request's attempt where it has one that has not begun to answer, and where that is allowed."""
    if state.server is None or state.streaming or not settings.may_cancel:
        return []
    return [CancelAttempt(state.request.request, state.attempt_count - 1)]
