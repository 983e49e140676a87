"""Which queued request is sent next, and when: fair in work among tenants, in what live traffic leaves over.

Among tenants: start-time fair queuing (Goyal, Vin, Cheng 1996) on tokens, by weight; within one by age. A
tenant that comes late starts at the present, so what it did not use while it had nothing is no claim on the
rest; one that is served pays for the work that its requests took, not for their number. So nobody waits for
ever while another is served: between two of a tenant's requests each other one gets a bounded amount of
work.

In time: a bucket fills at a pace (`replay_pace.py`) and an entry goes when it is not empty; the entry may
overdraw it, so the largest goes too. Free of I/O and clocks; times in s, work in tokens.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from ringledge.decide.replay.rate_control import Pace

MIX = 0.95  # of what the mix was known by that stays with each one served: the last twenty tell it
FIRST_MIX = 2_000.0  # tokens by which the mix is first taken to be that of live traffic: a request or two
MOST_WORK = 2_000_000.0  # tokens: a row that tells more is not believed, for it would stop its tenant


@dataclass(slots=True, frozen=True)
class Head:
    """One waiting entry as far as the choice of the next one has to know it."""

    name: str
    tenant: str
    work: float  # tokens to read and to write, as estimated
    created_s: float  # Unix seconds; only compared with others
    safe: bool  # it may run twice


class Verdict(Enum):
    """What became of a send."""

    SERVED = "served"
    REFUSED = "refused"  # it did not run: there was no room
    FAILED = "failed"  # it may have run
    WITHHELD = "withheld"  # it was not sent after all: expired, taken back, or the duty was lost


@dataclass(slots=True)
class _Sent:
    head: Head
    charged: float


class Fair:
    """Start-time fair queuing over tenants."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """`weights`: of tenants that don't weigh 1."""
        self._weights = weights
        self._starts: dict[str, float] = {}  # when each tenant's next entry starts, in virtual time
        self._now = 0.0  # virtual time: the start of what was sent last

    def first(self, heads: Iterable[Head]) -> Head | None:
        """Whose turn it is, of what waits."""
        oldest: dict[str, Head] = {}
        for head in heads:
            known = oldest.setdefault(head.tenant, head)
            if (head.created_s, head.name) < (known.created_s, known.name):
                oldest[head.tenant] = head
        if not oldest:
            return None
        return min(oldest.values(), key=lambda each: (self._start(each), each.created_s, each.name))

    def charge(self, head: Head, work: float) -> None:
        """It is sent: its tenant's next one starts that much later."""
        start = self._start(head)
        self._now = max(self._now, start)
        self._starts[head.tenant] = start + work / self._weight(head.tenant)

    def settle(self, tenant: str, more: float) -> None:
        """The work was more (or less) than was charged; never back before the present."""
        start = self._starts.get(tenant, self._now) + more / self._weight(tenant)
        self._starts[tenant] = max(self._now, start)

    def forget(self, tenants: Iterable[str]) -> None:
        """Drop tenants with nothing waiting whose time has come: they start at the present again."""
        kept = set(tenants)
        self._starts = {t: at for t, at in self._starts.items() if t in kept or at > self._now}

    def _start(self, head: Head) -> float:
        return max(self._now, self._starts.get(head.tenant, self._now))

    def _weight(self, tenant: str) -> float:
        return self._weights.get(tenant, 1.0)


class Replay:
    """Chooses what is sent next of one site's queue, for the holder of its replay duty."""

    def __init__(self, pace: Pace, most: int, weights: Mapping[str, float] | None = None) -> None:
        """`most`: entries under way together."""
        self.pace, self._most = pace, most
        self._fair = Fair(weights or {})
        self.sent: dict[str, _Sent] = {}  # under way, by name
        self.done = defaultdict[str, float](float)  # work served, by tenant
        self.served = 0.0  # work served in all
        self._mix = (0.0, 0.0)  # read and written, of those served last

    @property
    def under_way(self) -> int:
        """Entries sent and not ended."""
        return len(self.sent)

    def written(self, live: float) -> float:
        """The part of the work that is written: of those served last; of few, as of `live` traffic."""
        return (self._mix[1] + FIRST_MIX * live) / (sum(self._mix) + FIRST_MIX)

    def choose(self, now_s: float, heads: Iterable[Head], probing: bool = False) -> Head | None:
        """What to send now, None: nothing yet. `probing`: the site is cut off, one alone may try the link.

        The one chosen counts as sent until `ended` is told of it.
        """
        waiting = [head for head in heads if head.name not in self.sent]
        self._fair.forget(head.tenant for head in waiting)
        if not waiting or len(self.sent) >= (1 if probing else self._most):
            return None
        if not (self.pace.may_probe(now_s) if probing else self.pace.may_send(now_s, len(self.sent))):
            return None
        # To try a link, what may run twice is better: a booking that is cut off midway ends as unknown.
        safe = [head for head in waiting if head.safe] if probing else []
        head = self._fair.first(safe or waiting)
        assert head is not None
        work = min(max(1.0, head.work), MOST_WORK)
        self.sent[head.name] = _Sent(head, work)
        self._fair.charge(head, work)
        self.pace.sent(now_s, work)
        return head

    def ended(
        self, now_s: float, name: str, verdict: Verdict, work: float | None = None, written: float = 0.0
    ) -> None:
        """What became of one that was chosen; `work`: the tokens that it took, where they are known.

        `written`: those of them that were written.
        """
        sent = self.sent.pop(name, None)
        if sent is None:
            return
        took = sent.charged if work is None else min(max(1.0, work), MOST_WORK)
        if verdict is Verdict.SERVED:
            self.pace.served(now_s, took)
            self.done[sent.head.tenant] += took
            self.served += took
            if work is not None:
                read, wrote = self._mix
                self._mix = (read * MIX + max(0.0, took - written), wrote * MIX + min(took, written))
        elif verdict is Verdict.REFUSED:
            self.pace.refused(now_s)
        elif verdict is Verdict.FAILED:
            self.pace.failed(now_s)
        unused = verdict in (Verdict.REFUSED, Verdict.WITHHELD)  # nobody worked for it
        self._fair.settle(sent.head.tenant, (0.0 if unused else took) - sent.charged)
