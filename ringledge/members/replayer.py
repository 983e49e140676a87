"""The replay of one site's queue, as a duty that one member holds.

Of an entry the start is on the disk, with the token, before it is sent; between that and the send the lease
is looked at once more. What was begun runs on when the duty is lost: nobody else ever sends a booking that
has begun, and what its end brings is refused by the file if a newer holder has settled it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio.abc

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.decide.replay.scheduler import QueueHead, ReplayScheduler, SendOutcome
from ringledge.members.duty import Still
from ringledge.members.replay_sender import EntrySender, SendHandle, SendResult
from ringledge.observe.logging import log
from ringledge.store.entry import End, Entry, MovedError, StaleError, StoreError
from ringledge.store.entry import State as EntryState
from ringledge.store.metrics import Figures
from ringledge.store.queue import Queue

HEADS_PER_TENANT = 4  # oldest entries of each tenant that are looked at: those under way leave gaps
BUSY_INTERVAL_S, IDLE_INTERVAL_S = (
    0.05,
    0.5,
)  # until the next step, while something waits and while nothing does
MAX_SENDS_PER_STEP = 8  # sends in one step: the lease is asked for again soon


@dataclass(slots=True, frozen=True)
class _UnsettledResult:
    entry: Entry
    token: int
    result: SendResult


class Replayer:
    """Replays a site's queue while the duty is held."""

    def __init__(
        self,
        queue: Queue,
        send: EntrySender,
        decider: Callable[[float, int], ReplayScheduler],
        site: Callable[[], SiteState],
        now_s: Callable[[], float],
        figures: Figures | None = None,
    ) -> None:
        """`decider`: made for each holding, from time and token; `tasks` is set before the first step."""
        self._queue, self._send, self._make_scheduler = queue, send, decider
        self._site_state, self._now, self._figures = site, now_s, figures
        self.tasks: anyio.abc.TaskGroup
        self._token, self._adopted = 0, False
        self.scheduler: ReplayScheduler | None = None
        self._handles: dict[str, SendHandle] = {}
        self._unsettled_results: list[_UnsettledResult] = []  # ends that the disk did not take yet
        self._settling, self._has_entries = 0, False
        self._completed = anyio.Event()

    @property
    def in_flight_count(self) -> int:
        """Entries that were sent and whose end is not on the disk."""
        return len(self._handles) + len(self._unsettled_results)

    @property
    def unsettled_count(self) -> int:
        """Ends that have come and are not on the disk."""
        return len(self._unsettled_results) + self._settling

    def begin(self, token: int) -> None:
        """The duty is ours."""
        self._token, self._adopted = token, False
        self.scheduler = self._make_scheduler(self._now(), token)
        log.info("replay_begun", token=token)

    def stop(self) -> None:
        """The duty is lost or given up: what may run twice is let go, the new holder sends it."""
        if self.scheduler is not None:
            log.info("replay_stopped", token=self._token, under_way=self.in_flight_count)
        self.scheduler = None
        self._handles = {name: sending for name, sending in self._handles.items() if not sending.cancel()}

    async def step(self, token: int, still: Still) -> float:
        """Settle what is owed, then send what it is time for; s until the next step is wanted.

        Shielded: cancelled between a start on the disk and its send, a booking that was never sent would end
        as unknown. It lasts some syncs, and `still` is asked before each effect.
        """
        with anyio.CancelScope(shield=True):
            await self._step(token, still)
        return BUSY_INTERVAL_S if self._has_entries else IDLE_INTERVAL_S

    async def _step(self, token: int, still: Still) -> None:
        try:
            await self._adopt(token)
            await self.settle()
            if self.scheduler is not None:
                await self._send_some(self.scheduler, token, still)
        except StaleError as error:
            self._stale(token, error)
        except StoreError as error:
            log.often("queue_step_failed", why=error.why.value, error=str(error))

    async def wait_for_completion(self, timeout_s: float) -> None:
        """Wait until an entry has ended, so that the next step may come sooner."""
        with anyio.move_on_after(timeout_s):
            await self._completed.wait()

    async def settle(self) -> None:
        """Write down ends that the disk did not take before."""
        waiting, self._unsettled_results = self._unsettled_results, []
        for outcome in waiting:
            await self._settle(outcome)

    async def _adopt(self, token: int) -> None:
        if self._adopted:
            return
        found = await self._queue.adopt(token)
        self._adopted = True
        for name in found.unknown:
            self._tell_end(name, End.UNKNOWN, token)
        log.info("queue_adopted", token=token, again=found.again, unknown=len(found.unknown))

    async def _send_some(self, replay: ReplayScheduler, token: int, still: Still) -> None:
        probing = self._site_state() is not SiteState.AVAILABLE
        if probing:
            replay.rate_controller.close()
        else:
            replay.rate_controller.open(self._now())
        heads = await self._queue.heads(HEADS_PER_TENANT + replay.in_flight_count)
        self._has_entries = bool(heads) or bool(replay.in_flight_count)
        for _ in range(MAX_SENDS_PER_STEP):
            head = replay.choose_next(self._now(), heads, probing)
            if head is None:
                return
            heads.remove(head)
            if not await self._begin(replay, head, token, still):
                return

    async def _begin(self, replay: ReplayScheduler, head: QueueHead, token: int, still: Still) -> bool:
        """Send one; False where the duty is not ours any more."""
        verdict: SendOutcome | None = SendOutcome.NOT_SENT
        try:
            if not still():
                return False
            entry = await self._queue.begin(head.name, token)
            if entry.state is not EntryState.BEGUN:  # too late for it, or its row is spoilt
                assert entry.end is not None
                self._tell_end(entry.name, entry.end, token)
                return True
            if not still() or self.scheduler is not replay:  # the sync took long; nothing was sent
                await self._queue.give_back(entry.name, token, ran=False)
                return False
            verdict = None
            self._start(entry, token)
            return True
        except MovedError:  # its client took it back meanwhile
            return True
        finally:
            if verdict is not None:
                replay.record_outcome(self._now(), head.name, verdict)

    def _start(self, entry: Entry, token: int) -> None:
        def ended(result: SendResult) -> None:
            self._handles.pop(entry.name, None)
            if self.scheduler is not None:
                self.scheduler.record_outcome(
                    self._now(), entry.name, result.outcome, result.work, result.decode_work
                )
            if self._figures is not None:
                self._figures.sends.labels(result.outcome.value).inc()
            self._settling += 1
            self.tasks.start_soon(self._settle_first, _UnsettledResult(entry, token, result))

        log.info("queue_entry_sent", entry=entry.name, token=token, attempt=entry.attempts)
        try:
            sending = self._send(entry, ended)
        except Exception as error:  # a fault of ours: it may have been sent
            log.fault("queue_send_crashed", error, entry=entry.name)
            ended(SendResult(SendOutcome.FAILED, may_have_run=True))
            return
        if sending is None:
            ended(
                SendResult(
                    SendOutcome.FAILED,
                    may_have_run=False,
                    answer=b"its class or model is not served any more",
                )
            )
        elif self.scheduler is not None and entry.name in self.scheduler.in_flight:
            self._handles[entry.name] = sending

    async def _settle_first(self, outcome: _UnsettledResult) -> None:
        try:
            await self._settle(outcome)
        finally:
            self._settling -= 1

    async def _settle(self, outcome: _UnsettledResult) -> None:
        """Bring the end of a send to the disk; kept for later where the disk takes none."""
        entry, token, result = outcome.entry, outcome.token, outcome.result
        try:
            if result.outcome is SendOutcome.SERVED:
                now = await self._queue.finish(entry.name, token, End.SERVED, result.answer)
            elif result.answer:
                now = await self._queue.finish(entry.name, token, End.FAILED, result.answer)
            else:
                now = await self._queue.give_back(entry.name, token, result.may_have_run)
        except StaleError as error:
            self._stale(token, error)
            return
        except MovedError as error:
            log.warning("queue_entry_moved", entry=entry.name, error=str(error))
            return
        except StoreError as error:
            log.often("queue_step_failed", why=error.why.value, error=str(error))
            self._unsettled_results.append(outcome)
            return
        if now.end is not None:
            self._tell_end(entry.name, now.end, token)
        self._completed.set()
        self._completed = anyio.Event()

    def _tell_end(self, name: str, end: End, token: int) -> None:
        log.info("queue_entry_ended", entry=name, how=end.value, token=token)
        if self._figures is not None:
            self._figures.ended.labels(end.value).inc()

    def _stale(self, token: int, error: StaleError) -> None:
        log.warning("queue_effect_refused", token=token, error=str(error))
        if self._figures is not None:
            self._figures.stale.inc()
        if token == self._token:
            self.scheduler = None
