"""The replay of one site's queue by the member that holds its lease.

Before an entry is sent, its start is on the disk with the fencing token; between that and the send the lease
is checked once more. What has begun runs on when the lease is lost: nobody else ever sends a booking that has
begun, and its result is rejected by the file if a newer holder has settled it.
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
from ringledge.store.entry import Entry, EntryOutcome, InvalidTransitionError, QueueError, StaleTokenError
from ringledge.store.entry import EntryState as EntryState
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queue import Queue

HEADS_PER_TENANT = 4  # oldest entries of each tenant to choose from, besides as many as are in flight
BUSY_INTERVAL_S = 0.05  # until the next step while entries wait or are in flight
IDLE_INTERVAL_S = 0.5  # until the next step while there are none
MAX_SENDS_PER_STEP = 8  # the lease is checked again soon


@dataclass(slots=True, frozen=True)
class _UnsettledResult:
    """The result of a send that is not on the disk yet."""

    entry: Entry
    token: int
    result: SendResult


class Replayer:
    """Replays a site's queue while its lease is held; implements `Duty`."""

    def __init__(
        self,
        queue: Queue,
        send: EntrySender,
        make_scheduler: Callable[[float, int], ReplayScheduler],
        site_state: Callable[[], SiteState],
        now_s: Callable[[], float],
        figures: QueueMetrics | None = None,
    ) -> None:
        """`make_scheduler`: called for each term with time and token; `now_s`: a monotonic clock."""
        self._queue = queue
        self._send = send
        self._make_scheduler = make_scheduler
        self._site_state = site_state
        self._now = now_s
        self._figures = figures
        self.tasks: anyio.abc.TaskGroup | None = None  # set before the first step
        self.scheduler: ReplayScheduler | None = None  # None: the lease is not held
        self._token = 0
        self._adopted = False
        self._handles: dict[str, SendHandle] = {}
        self._unsettled_results: list[_UnsettledResult] = []  # that the disk has not accepted yet
        self._settling = 0  # results that are being written for the first time
        self._has_entries = False
        self._completed = anyio.Event()

    @property
    def in_flight_count(self) -> int:
        """Entries that were sent and whose result is not on the disk."""
        return len(self._handles) + len(self._unsettled_results)

    @property
    def unsettled_count(self) -> int:
        """Results that have been received and are not on the disk."""
        return len(self._unsettled_results) + self._settling

    def begin(self, token: int) -> None:
        """Begin a term under a new fencing token."""
        self._token = token
        self._adopted = False
        self.scheduler = self._make_scheduler(self._now(), token)
        log.info("replay_begun", token=token)

    def stop(self) -> None:
        """The lease is lost or given up: idempotent entries are cancelled, the new holder sends them."""
        if self.scheduler is not None:
            log.info("replay_stopped", token=self._token, under_way=self.in_flight_count)
        self.scheduler = None
        self._handles = {name: handle for name, handle in self._handles.items() if not handle.cancel()}

    async def step(self, token: int, is_held: LeaseCheck) -> float:
        """Write unsettled results, then send the entries that are due; returns s until the next step.

        Shielded: cancelled between a start on the disk and its send, a booking that was never sent would end
        as unknown. It lasts some syncs, and `is_held` is checked before each effect.
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
        except QueueError as error:
            log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))

    async def wait_for_completion(self, timeout_s: float) -> None:
        """Wait until an entry has completed, so that the next step may come sooner."""
        with anyio.move_on_after(timeout_s):
            await self._completed.wait()

    async def settle(self) -> None:
        """Write the results that the disk did not accept before."""
        results, self._unsettled_results = self._unsettled_results, []
        for unsettled in results:
            await self._settle(unsettled)

    async def _adopt(self, token: int) -> None:
        """Take the queue over from the holder before, once in a term."""
        if self._adopted:
            return
        found = await self._queue.adopt(token)
        self._adopted = True
        for name in found.unknown:
            self._report_end(name, EntryOutcome.UNKNOWN, token)
        log.info("queue_taken_over", token=token, again=found.requeued, unknown=len(found.unknown))

    async def _send_due(self, scheduler: ReplayScheduler, token: int, is_held: LeaseCheck) -> None:
        probing = self._site_state() is not SiteState.AVAILABLE
        if probing:
            scheduler.rate_controller.close()
        else:
            scheduler.rate_controller.open(self._now())
        heads = await self._queue.oldest_entries(HEADS_PER_TENANT + scheduler.in_flight_count)
        self._has_entries = bool(heads) or bool(scheduler.in_flight_count)
        for _ in range(MAX_SENDS_PER_STEP):
            head = scheduler.choose_next(self._now(), heads, probing)
            if head is None:
                return
            heads.remove(head)
            if not await self._send_entry(scheduler, head, token, is_held):
                return

    async def _send_entry(
        self, scheduler: ReplayScheduler, head: QueueHead, token: int, is_held: LeaseCheck
    ) -> bool:
        """Send one entry; False where the lease is lost."""
        sent = False
        try:
            if not is_held():
                return False
            entry = await self._queue.begin_attempt(head.name, token)
            if entry.state is not EntryState.BEGUN:  # it has expired, or its row is corrupt
                assert entry.outcome is not None
                self._report_end(entry.name, entry.outcome, token)
                return True
            if not is_held() or self.scheduler is not scheduler:  # lost during the sync; nothing was sent
                await self._queue.record_failed_attempt(entry.name, token, may_have_run=False)
                return False
            sent = True
            self._start(entry, token)
            return True
        except InvalidTransitionError:  # its client withdrew it meanwhile
            return True
        finally:
            if not sent:
                scheduler.record_outcome(self._now(), head.name, SendOutcome.NOT_SENT)

    def _start(self, entry: Entry, token: int) -> None:
        def on_result(result: SendResult) -> None:
            self._on_result(_UnsettledResult(entry, token, result))

        log.info("queue_entry_sent", entry=entry.name, token=token, attempt=entry.attempts)
        try:
            handle = self._send(entry, on_result)
        except Exception as error:  # a fault of the sender: the entry may have been sent
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
            self.scheduler.record_outcome(self._now(), name, result.outcome, result.work, result.decode_work)
        if self._figures is not None:
            self._figures.attempts.labels(result.outcome.value).inc()
        self._settling += 1
        assert self.tasks is not None
        self.tasks.start_soon(self._settle_first, unsettled)

    async def _settle_first(self, unsettled: _UnsettledResult) -> None:
        try:
            await self._settle(unsettled)
        finally:
            self._settling -= 1

    async def _settle(self, unsettled: _UnsettledResult) -> None:
        """Write the result of a send; retained for a later attempt where the disk fails."""
        name, token = unsettled.entry.name, unsettled.token
        try:
            entry = await self._write_result(name, token, unsettled.result)
        except StaleTokenError as error:
            self._handle_stale_token(token, error)
            return
        except InvalidTransitionError as error:
            log.warning("queue_transition_rejected", entry=name, error=str(error))
            return
        except QueueError as error:
            log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))
            self._unsettled_results.append(unsettled)
            return
        if entry.outcome is not None:
            self._report_end(name, entry.outcome, token)
        self._completed.set()
        self._completed = anyio.Event()

    async def _write_result(self, name: str, token: int, result: SendResult) -> Entry:
        if result.outcome is SendOutcome.SERVED:
            return await self._queue.complete(name, token, EntryOutcome.SERVED, result.answer)
        if result.answer:
            return await self._queue.complete(name, token, EntryOutcome.FAILED, result.answer)
        return await self._queue.record_failed_attempt(name, token, result.may_have_run)

    def _report_end(self, name: str, end: EntryOutcome, token: int) -> None:
        log.info("queue_entry_ended", entry=name, how=end.value, token=token)
        if self._figures is not None:
            self._figures.outcomes.labels(end.value).inc()

    def _handle_stale_token(self, token: int, error: StaleTokenError) -> None:
        """A newer holder has written to the file: stop, if the token is still the present one."""
        log.warning("queue_stale_token_rejected", token=token, error=str(error))
        if self._figures is not None:
            self._figures.stale_effects.inc()
        if token == self._token:
            self.scheduler = None
