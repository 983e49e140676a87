"""Which queued request is sent next, and when: fair in work among tenants, within the spare capacity.

Among tenants: start-time fair queuing (Goyal, Vin, Cheng 1996) on tokens, by weight; within one by age. A
tenant that becomes backlogged late starts at the present virtual time, so capacity that it did not use before
is no claim on the rest; a tenant pays for the work that its requests took, not for their number. So there is
no starvation: between two requests of one tenant each other one gets a bounded amount of work.

In time: a token bucket fills at the rate of `rate_control.py`, and an entry is sent when it is not empty; an
entry may overdraw it, so the largest is sent too. Free of I/O and clocks; times in s, work in tokens.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from ringledge.decide.replay.rate_control import RateController

MIX_RETENTION = 0.95  # factor on the mix at each entry served: the last twenty determine it
INITIAL_MIX_TOKENS = 2_000.0  # tokens with which the mix of live traffic counts: a request or two
MAX_WORK = 2_000_000.0  # tokens of one entry: a larger figure is implausible, and would stop its tenant


@dataclass(slots=True, frozen=True)
class QueueHead:
    """One waiting entry as far as the scheduler has to know it."""

    name: str
    tenant: str
    work: float  # estimated tokens to prefill and decode
    created_s: float  # Unix seconds; only compared with others
    idempotent: bool  # it may run twice


class SendOutcome(Enum):
    """The outcome of sending one entry."""

    SERVED = "served"
    REJECTED = "refused"  # it did not run: there was no capacity
    FAILED = "failed"  # it may have run
    NOT_SENT = "withheld"  # expired, withdrawn by its client, or the lease was lost


@dataclass(slots=True)
class _InFlightEntry:
    head: QueueHead
    charged_work: float


class StartTimeFairQueue:
    """Start-time fair queuing over tenants."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """`weights`: of tenants whose weight is not 1."""
        self._weights = weights
        self._start_tags: dict[str, float] = {}  # of each tenant's next entry, in virtual time
        self._virtual_time = 0.0  # the start tag of the last entry sent

    def select(self, heads: Iterable[QueueHead]) -> QueueHead | None:
        """The waiting entry with the smallest start tag; None where none waits."""
        oldest: dict[str, QueueHead] = {}
        for head in heads:
            known = oldest.setdefault(head.tenant, head)
            if (head.created_s, head.name) < (known.created_s, known.name):
                oldest[head.tenant] = head
        if not oldest:
            return None
        return min(oldest.values(), key=lambda head: (self._start_tag(head), head.created_s, head.name))

    def charge(self, head: QueueHead, work: float) -> None:
        """An entry is sent: its tenant's next start tag is later by its work over its weight."""
        start_tag = self._start_tag(head)
        self._virtual_time = max(self._virtual_time, start_tag)
        self._start_tags[head.tenant] = start_tag + work / self._weight(head.tenant)

    def settle(self, tenant: str, additional_work: float) -> None:
        """Correct the charge by the work that was really done; never to before the present virtual time."""
        current = self._start_tags.get(tenant, self._virtual_time)
        start_tag = current + additional_work / self._weight(tenant)
        self._start_tags[tenant] = max(self._virtual_time, start_tag)

    def remove_idle(self, waiting_tenants: Iterable[str]) -> None:
        """Remove tenants with nothing waiting whose start tag has passed: they start at the present again."""
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
    """Chooses what is sent next of one site's queue, for the holder of its replay lease."""

    def __init__(
        self, rate_controller: RateController, max_in_flight: int, weights: Mapping[str, float] | None = None
    ) -> None:
        """`weights`: of tenants whose weight is not 1."""
        self.rate_controller = rate_controller
        self._max_in_flight = max_in_flight
        self._fair_queue = StartTimeFairQueue(weights or {})
        self.in_flight: dict[str, _InFlightEntry] = {}  # by name
        self.served_work_by_tenant = defaultdict[str, float](float)
        self.served_work = 0.0
        # Recent work served, with exponential decay.
        self._recent_prefill = 0.0
        self._recent_decode = 0.0

    @property
    def in_flight_count(self) -> int:
        """Entries sent without an outcome yet."""
        return len(self.in_flight)

    def decode_fraction(self, live_fraction: float) -> float:
        """The fraction of recent work that is decode; of little work, toward that of live traffic."""
        recent = self._recent_prefill + self._recent_decode
        decode = self._recent_decode + INITIAL_MIX_TOKENS * live_fraction
        return decode / (recent + INITIAL_MIX_TOKENS)

    def choose_next(
        self, now_s: float, heads: Iterable[QueueHead], probing: bool = False
    ) -> QueueHead | None:
        """The entry to send now; None: none yet. It counts as in flight until `record_outcome`.

        `probing`: the site is partitioned or saturated, and a single entry may be sent as a probe.
        """
        waiting = [head for head in heads if head.name not in self.in_flight]
        self._fair_queue.remove_idle(head.tenant for head in waiting)
        if not waiting or not self._may_send(now_s, probing):
            return None
        # A probe had better be idempotent: a booking that is cut off midway ends as unknown.
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
        """Record the outcome of a chosen entry; an unknown name is ignored.

        `work`: the tokens that it took, where they are known; `decode_work`: those of them that were decoded.
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
            actual_work = 0.0  # no server worked for it
        self._fair_queue.settle(entry.head.tenant, actual_work - entry.charged_work)

    def _update_mix(self, work: float, decode_work: float) -> None:
        prefill_work = max(0.0, work - decode_work)
        self._recent_prefill = self._recent_prefill * MIX_RETENTION + prefill_work
        self._recent_decode = self._recent_decode * MIX_RETENTION + min(work, decode_work)


def bounded_work(work: float) -> float:
    """The work of one entry within plausible bounds, in tokens."""
    return min(max(1.0, work), MAX_WORK)
