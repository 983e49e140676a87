"""Replay of a site's queue by the member that holds the replay lease.

The start of an attempt is durable in the queue's file, with the fencing token, before the entry is sent; the
lease is checked again in between. When the lease is lost, entries in flight that are not idempotent are not
cancelled: no other holder sends them again, and the file rejects a result once a newer holder took over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio.abc

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.decide.replay.scheduler import QueueHead, ReplayScheduler, SendOutcome
from ringledge.members.duty import LeaseCheck
from ringledge.members.replay_sender import EntrySender, SendHandle, SendResult
from ringledge.observe.logging import log
from ringledge.store.entry import Entry, EntryOutcome, EntryState, InvalidTransitionError, StaleTokenError
from ringledge.store.errors import StoreError
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queue import Queue

HEADS_PER_TENANT = 4  # oldest entries read per tenant, in addition to the number of entries in flight
BUSY_INTERVAL_S = 0.05  # between steps while entries wait or are in flight
IDLE_INTERVAL_S = 0.5  # between steps while no entry waits or is in flight
MAX_SENDS_PER_STEP = 8  # bounds the duration of a step


@dataclass(slots=True, frozen=True)
class _UnsettledResult:
    """Result of an attempt that has not been written to the queue's file yet."""

    entry: Entry
    token: int
    result: SendResult


class Replayer:
    """Replays a site's queue while the lease is held; implements `Duty`."""

    def __init__(
        self,
        queue: Queue,
        send: EntrySender,
        make_scheduler: Callable[[float, int], ReplayScheduler],
        site_state: Callable[[], SiteState],
        clock: Callable[[], float],
        metrics: QueueMetrics | None = None,
    ) -> None:
        """`make_scheduler(now_s, token)` is called at each lease acquisition; `clock` is monotonic, in s."""
        self._queue = queue
        self._send = send
        self._make_scheduler = make_scheduler
        self._site_state = site_state
        self._clock = clock
        self._metrics = metrics
        self.tasks: anyio.abc.TaskGroup | None = None  # has to be set before the first step
        self.scheduler: ReplayScheduler | None = None  # None while the lease is not held
        self._token = 0
        self._adopted = False
        self._handles: dict[str, SendHandle] = {}
        self._unsettled_results: list[_UnsettledResult] = []  # results whose first write has failed
        self._first_writes = 0  # number of results that are being written for the first time
        self._has_entries = False
        self._completed = anyio.Event()

    @property
    def in_flight_count(self) -> int:
        """Number of entries in flight, plus entries whose result could not be written yet."""
        return len(self._handles) + len(self._unsettled_results)

    @property
    def unsettled_count(self) -> int:
        """Number of results that have been received but not written to the file."""
        return len(self._unsettled_results) + self._first_writes

    def begin(self, token: int) -> None:
        """Begin to replay under a new fencing token."""
        self._token = token
        self._adopted = False
        self.scheduler = self._make_scheduler(self._clock(), token)
        log.info("replay_begun", token=token)

    def stop(self) -> None:
        """Stop because the lease has ended; cancels idempotent entries, which the next holder sends again."""
        if self.scheduler is not None:
            log.info("replay_stopped", token=self._token, under_way=self.in_flight_count)
        self.scheduler = None
        self._handles = {name: handle for name, handle in self._handles.items() if not handle.cancel()}

    async def step(self, token: int, is_held: LeaseCheck) -> float:
        """Write unsettled results, then send the entries that are due; returns s until the next step.

        Shielded, as a cancellation between the write of a start and the send would end a non-idempotent
        entry as unknown, although never sent. A step lasts a few disk syncs; each send rechecks `is_held`.
        """
        with anyio.CancelScope(shield=True):
            await self._step(token, is_held)
        return BUSY_INTERVAL_S if self._has_entries else IDLE_INTERVAL_S

    async def _step(self, token: int, is_held: LeaseCheck) -> None:
        try:
            await self._adopt(token)
            await self.settle()
            if self.scheduler is not None:
                await self._send_due(self.scheduler, token, is_held)
        except StaleTokenError as error:
            self._handle_stale_token(token, error)
        except StoreError as error:
            log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))

    async def wait_for_completion(self, timeout_s: float) -> None:
        """Wait until a result has been written, so that the next step can run earlier, or time out."""
        with anyio.move_on_after(timeout_s):
            await self._completed.wait()

    async def settle(self) -> None:
        """Retry the write of results whose earlier writes have failed."""
        results, self._unsettled_results = self._unsettled_results, []
        for unsettled in results:
            await self._settle(unsettled)

    async def _adopt(self, token: int) -> None:
        """Take over the queue from the previous lease holder, once per token."""
        if self._adopted:
            return
        adoption = await self._queue.adopt(token)
        self._adopted = True
        for name in adoption.unknown:
            self._report_outcome(name, EntryOutcome.UNKNOWN, token)
        log.info("queue_taken_over", token=token, again=adoption.requeued, unknown=len(adoption.unknown))

    async def _send_due(self, scheduler: ReplayScheduler, token: int, is_held: LeaseCheck) -> None:
        probing = self._site_state() is not SiteState.AVAILABLE
        if probing:
            scheduler.rate_controller.close()
        else:
            scheduler.rate_controller.open(self._clock())
        heads = await self._queue.oldest_entries(HEADS_PER_TENANT + scheduler.in_flight_count)
        self._has_entries = bool(heads) or bool(scheduler.in_flight_count)
        for _ in range(MAX_SENDS_PER_STEP):
            head = scheduler.choose_next(self._clock(), heads, probing)
            if head is None:
                return
            heads.remove(head)
            if not await self._send_entry(scheduler, head, token, is_held):
                return

    async def _send_entry(
        self, scheduler: ReplayScheduler, head: QueueHead, token: int, is_held: LeaseCheck
    ) -> bool:
        """Send an entry; returns False if the lease is lost."""
        sent = False
        try:
            if not is_held():
                return False
            entry = await self._queue.begin_attempt(head.name, token)
            if entry.state is not EntryState.BEGUN:  # expired, or its row is corrupt
                assert entry.outcome is not None
                self._report_outcome(entry.name, entry.outcome, token)
                return True
            if not is_held() or self.scheduler is not scheduler:  # lost while the start was written
                await self._queue.record_failed_attempt(entry.name, token, may_have_run=False)
                return False
            sent = True
            self._start(entry, token)
            return True
        except InvalidTransitionError:  # withdrawn by its client in the meantime
            return True
        finally:
            if not sent:
                scheduler.record_outcome(self._clock(), head.name, SendOutcome.NOT_SENT)

    def _start(self, entry: Entry, token: int) -> None:
        def on_result(result: SendResult) -> None:
            self._on_result(_UnsettledResult(entry, token, result))

        log.info("queue_entry_sent", entry=entry.name, token=token, attempt=entry.attempts)
        try:
            handle = self._send(entry, on_result)
        except Exception as error:  # a defect in the sender; the entry may have been sent
            log.exception("queue_send_crashed", error, entry=entry.name)
            on_result(SendResult(SendOutcome.FAILED, may_have_run=True))
            return
        if handle is None:
            reason = b"its class or model is not served any more"
            on_result(SendResult(SendOutcome.FAILED, may_have_run=False, answer=reason))
        elif self.scheduler is not None and entry.name in self.scheduler.in_flight:
            self._handles[entry.name] = handle

    def _on_result(self, unsettled: _UnsettledResult) -> None:
        name, result = unsettled.entry.name, unsettled.result
        self._handles.pop(name, None)
        if self.scheduler is not None:
            self.scheduler.record_outcome(
                self._clock(), name, result.outcome, result.work, result.decode_work
            )
        if self._metrics is not None:
            self._metrics.attempts.labels(result.outcome.value).inc()
        self._first_writes += 1
        assert self.tasks is not None
        self.tasks.start_soon(self._settle_new, unsettled)

    async def _settle_new(self, unsettled: _UnsettledResult) -> None:
        try:
            await self._settle(unsettled)
        finally:
            self._first_writes -= 1

    async def _settle(self, unsettled: _UnsettledResult) -> None:
        """Write the result of an attempt to the file; a result that cannot be written is kept for a retry."""
        name, token = unsettled.entry.name, unsettled.token
        try:
            entry = await self._write_result(name, token, unsettled.result)
        except StaleTokenError as error:
            self._handle_stale_token(token, error)
            return
        except InvalidTransitionError as error:
            log.warning("queue_transition_rejected", entry=name, error=str(error))
            return
        except StoreError as error:
            log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))
            self._unsettled_results.append(unsettled)
            return
        if entry.outcome is not None:
            self._report_outcome(name, entry.outcome, token)
        self._completed.set()
        self._completed = anyio.Event()

    async def _write_result(self, name: str, token: int, result: SendResult) -> Entry:
        if result.outcome is SendOutcome.SERVED:
            return await self._queue.complete(name, token, EntryOutcome.SERVED, result.answer)
        if result.answer:
            return await self._queue.complete(name, token, EntryOutcome.FAILED, result.answer)
        return await self._queue.record_failed_attempt(name, token, result.may_have_run)

    def _report_outcome(self, name: str, outcome: EntryOutcome, token: int) -> None:
        log.info("queue_entry_ended", entry=name, how=outcome.value, token=token)
        if self._metrics is not None:
            self._metrics.outcomes.labels(outcome.value).inc()

    def _handle_stale_token(self, token: int, error: StaleTokenError) -> None:
        """Record that a newer holder has written to the file; stop if the token is the current one."""
        log.warning("queue_stale_token_rejected", token=token, error=str(error))
        if self._metrics is not None:
            self._metrics.stale_effects.inc()
        if token == self._token:
            self.scheduler = None
