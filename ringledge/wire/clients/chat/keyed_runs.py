"""The guard of requests with an idempotency key: each key runs a request that is not idempotent at most once.

Every such run asks here before it is submitted to the core, whether its client is connected or it was queued.
The claimed keys are recorded in a file that all processes of the router share, so the answer is the same
whichever process a client reaches. A key is released here, and only if the run provably never took place.
"""

from __future__ import annotations

import asyncio
from concurrent.futures import Future
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio

from ringledge.core.invariants import Invariant, InvariantChecker
from ringledge.core.possible_runs import PossibleRuns
from ringledge.core.records import RequestRecord
from ringledge.core.registry import RequestRegistry
from ringledge.observe.logging import log
from ringledge.store.errors import StoreError
from ringledge.store.key_claim import KeyClaim

if TYPE_CHECKING:
    from ringledge.store.idempotency_keys import IdempotencyKeys
    from ringledge.store.metrics import IdempotencyKeyMetrics

CLAIM_TIMEOUT_S = 1.0  # a claim takes a sync of the disk
RELEASE_TIMEOUT_S = 0.25  # a client whose request was rejected waits for this at most


class KeyRejectionReason(StrEnum):
    """Why a request with an idempotency key must not run now; the values are metric labels."""

    CLAIMED = "claimed"  # another run of the key may have taken place, or is under way
    UNRECORDED = "unrecorded"  # the claim could not be recorded; this request was not run


class KeyRejectedError(Exception):
    """A request with an idempotency key must not run now."""

    def __init__(self, reason: KeyRejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(slots=True, eq=False)
class KeyedRun:
    """A run that holds the claim to its key, until the claim is released."""

    claim: KeyClaim
    released: Future[None] | None = None  # done once the release is durable or has failed


class KeyedRuns:
    """The runs of this process that were started with an idempotency key, and the claims to their keys."""

    def __init__(
        self,
        keys: IdempotencyKeys,
        registry: RequestRegistry,
        invariants: InvariantChecker,
        metrics: IdempotencyKeyMetrics,
    ) -> None:
        self._keys = keys
        self._invariants = invariants
        self._metrics = metrics
        self._open: dict[str, KeyedRun] = {}  # by the id of the core's request
        self._possible_runs = PossibleRuns()  # keys of ended runs; checks the file's record
        registry.removal_listeners.append(self._on_request_removed)

    async def begin(self, request_id: str, claim: KeyClaim, superseded_origin: str | None = None) -> KeyedRun:
        """Claim the key for a run, which has to be submitted to the core under this id, or cancelled.

        `superseded_origin` is that of an earlier run that provably never took place. Raises KeyRejectedError.
        """
        try:
            with anyio.fail_after(CLAIM_TIMEOUT_S):
                is_claimed = await self._keys.claim(claim, superseded_origin)
        except (StoreError, TimeoutError) as error:
            self._keys.release(claim)  # it may have been recorded, or may still be
            log.rate_limited("idempotency_key_not_recorded", error=str(error) or "timed out")
            raise self._rejection(KeyRejectionReason.UNRECORDED) from error
        except BaseException:
            self._keys.release(claim)
            raise
        if not is_claimed:
            raise self._rejection(KeyRejectionReason.CLAIMED)
        self._check(claim)
        run = self._open[request_id] = KeyedRun(claim)
        return run

    def cancel(self, request_id: str) -> None:
        """Release the claim of a run that was not submitted."""
        run = self._open.pop(request_id, None)
        if run is not None:
            self._release(run)

    async def settle(self, run: KeyedRun, never_ran: bool) -> None:
        """Release the claim if the run provably never took place, so that its client may repeat the request.

        Call this before the client is answered. Waits for a release, for RELEASE_TIMEOUT_S at most.
        """
        if never_ran:
            self._release(run)
        if run.released is not None:
            # Unlike other waits, this one does not cancel what it waits for.
            await asyncio.wait([asyncio.wrap_future(run.released)], timeout=RELEASE_TIMEOUT_S)

    def _check(self, claim: KeyClaim) -> None:
        """Check the file's record against this process's memory, e.g. if the file was deleted."""
        if claim.key_hash.hex() in self._possible_runs:
            self._invariants.record_violation(Invariant.KEY_CLAIMED_TWICE, tenant=claim.tenant)
            raise self._rejection(KeyRejectionReason.CLAIMED)

    def _on_request_removed(self, record: RequestRecord, may_run_again: bool) -> None:
        run = self._open.pop(record.request_id, None)
        if run is None:
            return
        if may_run_again:
            self._release(run)
        else:
            self._possible_runs.add(run.claim.key_hash.hex())

    def _release(self, run: KeyedRun) -> None:
        if run.released is None:
            run.released = self._keys.release(run.claim)

    def _rejection(self, reason: KeyRejectionReason) -> KeyRejectedError:
        self._metrics.rejected.labels(reason.value).inc()
        return KeyRejectedError(reason)
