"""Final answers and cancellation. The types are in ``ringledge/routing/interface.py``."""

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

# Share of the maximum retry-after that clients honour. Congestion often clears within one attempt.
RETRY_AFTER_SHARE = 0.25


def final_answer(
    settings: RouterSettings, state: RequestState, reason: GiveUpReason
) -> RejectRequest | FailRequest:
    """Return the final answer of a request: rejected if a retry is safe, failed otherwise."""
    if not _may_reject(state):
        return FailRequest(state.request.request, reason)
    retry_after_ms = RETRY_AFTER_SHARE * settings.max_retry_after_ms if settings.retry_after else None
    return RejectRequest(state.request.request, retry_after_ms, reason)


def _may_reject(state: RequestState) -> bool:
    """Whether a retry by the client is safe: the request never ran, or a second run has no effect."""
    # An attempt in flight counts as possibly run until its outcome arrives, even if it is a prefill.
    may_have_run = bool(state.possible_runs) or state.server is not None
    idempotency, scope = state.request_class.idempotency, state.request_class.dedup_scope
    deduplicated = idempotency == Idempotency.KEYED and scope == DedupScope.ALL
    return not may_have_run or idempotency == Idempotency.IDEMPOTENT or deduplicated


def cancel_actions(settings: RouterSettings, state: RequestState) -> list[RoutingAction]:
    """Return the action that cancels a request's attempt, if it is not streaming and may be cancelled."""
    if state.server is None or state.streaming or not settings.may_cancel:
        return []
    return [CancelAttempt(state.request.request, state.attempt_count - 1)]
