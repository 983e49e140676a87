"""Chooses which queue entry is sent next, and when; free of I/O and clocks; times in s, work in tokens.

Order: start-time fair queuing (Goyal, Vin, Cheng 1996) among tenants, by weight and tokens; by age within a
tenant. A tenant that becomes backlogged starts at the present virtual time, so capacity that it did not use
before gives it no claim. A tenant is charged for the work of its requests, not for their number. No tenant
starves: between two requests of one tenant, each other tenant gets a bounded amount of work.

Time: a token bucket is refilled at the rate of `rate_control.py`, and an entry is sent when the bucket is not
empty. An entry may overdraw the bucket, so that entries larger than its depth are sent too.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from ringledge.decide.replay.rate_control import RateController

MIX_DECAY_FACTOR = 0.95  # decay of the recent work per served entry: about the last twenty entries count
LIVE_MIX_WEIGHT_TOKENS = 2_000.0  # weight of the mix of live traffic: as much as a request or two
# Limit for one entry: a larger estimate is implausible, and would block its tenant for a long time.
MAX_WORK_TOKENS = 2_000_000.0


@dataclass(slots=True, frozen=True)
class QueueHead:
    """A waiting queue entry, with the fields that the scheduler needs."""

    name: str
    tenant: str
    work: float  # estimated number of tokens to prefill and decode
    created_s: float  # Unix time; only compared with that of other entries
    idempotent: bool  # the request may run more than once


class SendOutcome(Enum):
    """Outcome of sending one entry."""

    SERVED = "served"
    REJECTED = "refused"  # not run, for lack of capacity
    FAILED = "failed"  # it may have run
    NOT_SENT = "withheld"  # expired, withdrawn by the client, or the replay lease was lost


@dataclass(slots=True)
class _InFlightEntry:
    head: QueueHead
    charged_work: float


class StartTimeFairQueue:
    """Start-time fair queuing over tenants."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """`weights` by tenant; a tenant without an entry has a weight of 1."""
        self._weights = weights
        self._start_tags: dict[str, float] = {}  # by tenant: virtual start time of its next entry
        self._virtual_time = 0.0  # largest start tag of an entry that was sent

    def select(self, heads: Iterable[QueueHead]) -> QueueHead | None:
        """The waiting entry with the smallest start tag; None if there is none."""
        oldest: dict[str, QueueHead] = {}
        for head in heads:
            oldest_head = oldest.setdefault(head.tenant, head)
            if (head.created_s, head.name) < (oldest_head.created_s, oldest_head.name):
                oldest[head.tenant] = head
        if not oldest:
            return None
        return min(oldest.values(), key=lambda head: (self._start_tag(head), head.created_s, head.name))

    def charge(self, head: QueueHead, work: float) -> None:
        """Advance the start tag of the tenant of an entry that is sent, by the work divided by its weight."""
        start_tag = self._start_tag(head)
        self._virtual_time = max(self._virtual_time, start_tag)
        self._start_tags[head.tenant] = start_tag + work / self._weight(head.tenant)

    def settle(self, tenant: str, additional_work: float) -> None:
        """Correct a charge by the actual work; the start tag stays at or after the present virtual time."""
        current = self._start_tags.get(tenant, self._virtual_time)
        start_tag = current + additional_work / self._weight(tenant)
        self._start_tags[tenant] = max(self._virtual_time, start_tag)

    def remove_idle(self, waiting_tenants: Iterable[str]) -> None:
        """Remove tenants with nothing waiting whose start tag has passed; they need no tag."""
        waiting = set(waiting_tenants)
        self._start_tags = {
            tenant: start_tag
            for tenant, start_tag in self._start_tags.items()
            if tenant in waiting or start_tag > self._virtual_time
        }

    def _start_tag(self, head: QueueHead) -> float:
        return max(self._virtual_time, self._start_tags.get(head.tenant, self._virtual_time))

    def _weight(self, tenant: str) -> float:
        return self._weights.get(tenant, 1.0)


class ReplayScheduler:
    """Schedules the queue entries of one site, for the holder of its replay lease."""

    def __init__(
        self, rate_controller: RateController, max_in_flight: int, weights: Mapping[str, float] | None = None
    ) -> None:
        """`weights` by tenant; a tenant without an entry has a weight of 1."""
        self.rate_controller = rate_controller
        self._max_in_flight = max_in_flight
        self._fair_queue = StartTimeFairQueue(weights or {})
        self.in_flight: dict[str, _InFlightEntry] = {}  # by name
        self.served_work_by_tenant = defaultdict[str, float](float)
        self.served_work = 0.0
        # Exponentially decaying sums of the served work.
        self._recent_prefill = 0.0
        self._recent_decode = 0.0

    @property
    def in_flight_count(self) -> int:
        """The number of entries that were sent and have no outcome yet."""
        return len(self.in_flight)

    def decode_fraction(self, live_fraction: float) -> float:
        """The fraction of recent work that is decode; close to that of live traffic for little work."""
        recent = self._recent_prefill + self._recent_decode
        decode = self._recent_decode + LIVE_MIX_WEIGHT_TOKENS * live_fraction
        return decode / (recent + LIVE_MIX_WEIGHT_TOKENS)

    def choose_next(
        self, now_s: float, heads: Iterable[QueueHead], probing: bool = False
    ) -> QueueHead | None:
        """The entry to send now, or None. An entry is in flight until its `record_outcome`.

        `probing` is True if the site is partitioned or saturated, so that only a single probe may be sent.
        """
        waiting = [head for head in heads if head.name not in self.in_flight]
        self._fair_queue.remove_idle(head.tenant for head in waiting)
        if not waiting or not self._may_send(now_s, probing):
            return None
        # Idempotent entries are preferred as probes: if a probe is interrupted, its outcome is unknown.
        idempotent = [head for head in waiting if head.idempotent] if probing else []
        head = self._fair_queue.select(idempotent or waiting)
        assert head is not None
        work = bounded_work(head.work)
        self.in_flight[head.name] = _InFlightEntry(head, work)
        self._fair_queue.charge(head, work)
        self.rate_controller.record_sent(now_s, work)
        return head

    def _may_send(self, now_s: float, probing: bool) -> bool:
        if probing:
            return not self.in_flight and self.rate_controller.may_probe(now_s)
        return len(self.in_flight) < self._max_in_flight and self.rate_controller.may_send(now_s)

    def record_outcome(
        self,
        now_s: float,
        name: str,
        outcome: SendOutcome,
        work: float | None = None,
        decode_work: float = 0.0,
    ) -> None:
        """Record the outcome of an entry in flight; an unknown name is ignored.

        `work`: number of tokens processed, None if unknown; `decode_work`: number of those that were decoded.
        """
        entry = self.in_flight.pop(name, None)
        if entry is None:
            return
        actual_work = entry.charged_work if work is None else bounded_work(work)
        match outcome:
            case SendOutcome.SERVED:
                self.rate_controller.record_served(now_s)
                self.served_work_by_tenant[entry.head.tenant] += actual_work
                self.served_work += actual_work
                if work is not None:
                    self._update_mix(actual_work, decode_work)
            case SendOutcome.REJECTED | SendOutcome.FAILED:
                self.rate_controller.record_rejected(now_s)
        if outcome in (SendOutcome.REJECTED, SendOutcome.NOT_SENT):
            actual_work = 0.0  # no server has processed it
        self._fair_queue.settle(entry.head.tenant, actual_work - entry.charged_work)

    def _update_mix(self, work: float, decode_work: float) -> None:
        prefill_work = max(0.0, work - decode_work)
        self._recent_prefill = self._recent_prefill * MIX_DECAY_FACTOR + prefill_work
        self._recent_decode = self._recent_decode * MIX_DECAY_FACTOR + min(work, decode_work)


def bounded_work(work: float) -> float:
    """The work of one entry, limited to plausible values."""
    return min(max(1.0, work), MAX_WORK_TOKENS)
