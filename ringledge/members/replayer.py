"""The replay of one site's queue, as a duty that one member holds.

Of an entry the start is on the disk, with the token, before it is sent; between that and the send the lease
is looked at once more. What was begun runs on when the duty is lost: nobody else ever sends a booking that
has begun, and what its end brings is refused by the file if a newer holder has settled it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio.abc

from ringledge.decide.replay.partition_detection import State
from ringledge.decide.replay.scheduler import Head, Replay, Verdict
from ringledge.members.duty import LeaseCheck
from ringledge.members.replay_sender import Result, Sender, Sending
from ringledge.observe.logging import log
from ringledge.store.entry import (
    Entry,
    EntryOutcome,
    EntryState,
    InvalidTransitionError,
    QueueError,
    StaleTokenError,
)
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queue import Queue

EACH = 4  # oldest entries of each tenant that are looked at: those under way leave gaps
STEP_S, IDLE_S = 0.05, 0.5  # until the next step, while something waits and while nothing does
AT_ONCE = 8  # sends in one step: the lease is asked for again soon


@dataclass(slots=True, frozen=True)
class _Outcome:
    entry: Entry
    token: int
    result: Result


class Replayer:
    """Replays a site's queue while the duty is held."""

    def __init__(
        self,
        queue: Queue,
        send: Sender,
        decider: Callable[[float, int], Replay],
        site: Callable[[], State],
        now_s: Callable[[], float],
        figures: QueueMetrics | None = None,
    ) -> None:
        """`decider`: made for each holding, from time and token; `tasks` is set before the first step."""
        self._queue, self._send, self._decider = queue, send, decider
        self._site, self._now, self._figures = site, now_s, figures
        self.tasks: anyio.abc.TaskGroup
        self._token, self._adopted = 0, False
        self.replay: Replay | None = None
        self._out: dict[str, Sending] = {}
        self._unsettled: list[_Outcome] = []  # ends that the disk did not take yet
        self._settling, self._busy = 0, False
        self._news = anyio.Event()

    @property
    def under_way(self) -> int:
        """Entries that were sent and whose end is not on the disk."""
        return len(self._out) + len(self._unsettled)

    @property
    def owed(self) -> int:
        """Ends that have come and are not on the disk."""
        return len(self._unsettled) + self._settling

    def begin(self, token: int) -> None:
        """The duty is ours."""
        self._token, self._adopted = token, False
        self.replay = self._decider(self._now(), token)
        log.info("replay_begun", token=token)

    def stop(self) -> None:
        """The duty is lost or given up: what may run twice is let go, the new holder sends it."""
        if self.replay is not None:
            log.info("replay_stopped", token=self._token, under_way=self.under_way)
        self.replay = None
        self._out = {name: sending for name, sending in self._out.items() if not sending.cancel()}

    async def step(self, token: int, still: LeaseCheck) -> float:
        """Settle what is owed, then send what it is time for; s until the next step is wanted.

        Shielded: cancelled between a start on the disk and its send, a booking that was never sent would end
        as unknown. It lasts some syncs, and `still` is asked before each effect.
        """
        with anyio.CancelScope(shield=True):
            await self._step(token, still)
        return STEP_S if self._busy else IDLE_S

    async def _step(self, token: int, still: LeaseCheck) -> None:
        try:
            await self._adopt(token)
            await self.settle()
            if self.replay is not None:
                await self._send_some(self.replay, token, still)
        except StaleTokenError as error:
            self._stale(token, error)
        except QueueError as error:
            log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))

    async def news(self, timeout_s: float) -> None:
        """Wait until an entry has ended, so that the next step may come sooner."""
        with anyio.move_on_after(timeout_s):
            await self._news.wait()

    async def settle(self) -> None:
        """Write down ends that the disk did not take before."""
        waiting, self._unsettled = self._unsettled, []
        for outcome in waiting:
            await self._settle(outcome)

    async def _adopt(self, token: int) -> None:
        if self._adopted:
            return
        found = await self._queue.adopt(token)
        self._adopted = True
        for name in found.unknown:
            self._tell_end(name, EntryOutcome.UNKNOWN, token)
        log.info("queue_adopted", token=token, again=found.requeued, unknown=len(found.unknown))

    async def _send_some(self, replay: Replay, token: int, still: LeaseCheck) -> None:
        probing = self._site() is not State.OPEN
        if probing:
            replay.pace.closed()
        else:
            replay.pace.opened(self._now())
        heads = await self._queue.oldest_entries(EACH + replay.under_way)
        self._busy = bool(heads) or bool(replay.under_way)
        for _ in range(AT_ONCE):
            head = replay.choose(self._now(), heads, probing)
            if head is None:
                return
            heads.remove(head)
            if not await self._begin(replay, head, token, still):
                return

    async def _begin(self, replay: Replay, head: Head, token: int, still: LeaseCheck) -> bool:
        """Send one; False where the duty is not ours any more."""
        verdict: Verdict | None = Verdict.WITHHELD
        try:
            if not still():
                return False
            entry = await self._queue.begin_attempt(head.name, token)
            if entry.state is not EntryState.BEGUN:  # too late for it, or its row is spoilt
                assert entry.outcome is not None
                self._tell_end(entry.name, entry.outcome, token)
                return True
            if not still() or self.replay is not replay:  # the sync took long; nothing was sent
                await self._queue.record_failed_attempt(entry.name, token, may_have_run=False)
                return False
            verdict = None
            self._start(entry, token)
            return True
        except InvalidTransitionError:  # its client took it back meanwhile
            return True
        finally:
            if verdict is not None:
                replay.ended(self._now(), head.name, verdict)

    def _start(self, entry: Entry, token: int) -> None:
        def ended(result: Result) -> None:
            self._out.pop(entry.name, None)
            if self.replay is not None:
                self.replay.ended(self._now(), entry.name, result.verdict, result.work, result.written)
            if self._figures is not None:
                self._figures.attempts.labels(result.verdict.value).inc()
            self._settling += 1
            self.tasks.start_soon(self._settle_first, _Outcome(entry, token, result))

        log.info("queue_entry_sent", entry=entry.name, token=token, attempt=entry.attempts)
        try:
            sending = self._send(entry, ended)
        except Exception as error:  # a fault of ours: it may have been sent
            log.exception("queue_send_crashed", error, entry=entry.name)
            ended(Result(Verdict.FAILED, ran=True))
            return
        if sending is None:
            ended(Result(Verdict.FAILED, ran=False, answer=b"its class or model is not served any more"))
        elif self.replay is not None and entry.name in self.replay.sent:
            self._out[entry.name] = sending

    async def _settle_first(self, outcome: _Outcome) -> None:
        try:
            await self._settle(outcome)
        finally:
            self._settling -= 1

    async def _settle(self, outcome: _Outcome) -> None:
        """Bring the end of a send to the disk; kept for later where the disk takes none."""
        entry, token, result = outcome.entry, outcome.token, outcome.result
        try:
            if result.verdict is Verdict.SERVED:
                now = await self._queue.complete(entry.name, token, EntryOutcome.SERVED, result.answer)
            elif result.answer:
                now = await self._queue.complete(entry.name, token, EntryOutcome.FAILED, result.answer)
            else:
                now = await self._queue.record_failed_attempt(entry.name, token, result.ran)
        except StaleTokenError as error:
            self._stale(token, error)
            return
        except InvalidTransitionError as error:
            log.warning("queue_entry_moved", entry=entry.name, error=str(error))
            return
        except QueueError as error:
            log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))
            self._unsettled.append(outcome)
            return
        if now.outcome is not None:
            self._tell_end(entry.name, now.outcome, token)
        self._news.set()
        self._news = anyio.Event()

    def _tell_end(self, name: str, end: EntryOutcome, token: int) -> None:
        log.info("queue_entry_ended", entry=name, how=end.value, token=token)
        if self._figures is not None:
            self._figures.outcomes.labels(end.value).inc()

    def _stale(self, token: int, error: StaleTokenError) -> None:
        log.warning("queue_effect_refused", token=token, error=str(error))
        if self._figures is not None:
            self._figures.stale_effects.inc()
        if token == self._token:
            self.replay = None
