"""One acceptor: it keeps in memory for which proposer each duty is locked, and the highest token accepted.

Safety depends on `_on_propose` alone. A duty is locked for one proposer until the lock expires; any two
majorities share an acceptor, so no two holdings of a duty overlap. A proposer that does not hold the duty
needs a token above the highest that the acceptor accepted or recovered, so tokens grow from one holding to
the next. A `PrepareRequest` only reads the state and reserves the duty for its sender for a short time, so
that concurrent proposers do not each win some of the acceptors and none a majority.
"""

from __future__ import annotations

from ringledge.decide.interface import Action, SendMessage
from ringledge.decide.leases.duty_locks import DutyLock, ProposerId
from ringledge.decide.leases.messages import (
    MAX_NAME_BYTES,
    AcceptorMessage,
    LeaseRelease,
    LeaseReleased,
    LeaseTerms,
    PrepareRequest,
    PrepareResponse,
    ProposeAccepted,
    ProposeRequest,
    Rejected,
    StateTransferRequest,
    StateTransferResponse,
)
from ringledge.decide.leases.recovery import AcceptorRecovery

RESERVATION_S = 0.25  # lets the response and the following ProposeRequest arrive, even if one is resent
MAX_TRACKED_DUTIES = 256  # duties with their own `DutyLock`; all others share one highest token


class LeaseAcceptor:
    """Answers proposers and other acceptors; after a start it recovers its state before it votes."""

    def __init__(self, now_s: float, name: str, start_number: int, terms: LeaseTerms) -> None:
        self._terms = terms
        self.recovery = AcceptorRecovery(now_s, name, start_number, terms)
        self._locks: dict[str, DutyLock] = {}  # by duty
        self.mismatched_terms_count = 0  # messages under other terms: some member's settings differ

    def receive(self, now_s: float, sender: str, message: AcceptorMessage) -> list[Action]:
        """Handle a message to acceptors; a message under other lease terms is counted and ignored."""
        if not isinstance(message, LeaseRelease) and message.terms_digest != self._terms.digest:
            self.mismatched_terms_count += 1
            return []
        if isinstance(message, StateTransferRequest | StateTransferResponse):
            highest_tokens = (lock.highest_token for lock in self._locks.values())
            return self.recovery.receive(now_s, sender, message, max(highest_tokens, default=0))
        if not self.recovery.active or len(message.duty.encode()) > MAX_NAME_BYTES:
            return []
        match message:
            case PrepareRequest():
                return [SendMessage(sender, self._on_prepare(now_s, sender, message))]
            case ProposeRequest():
                return [SendMessage(sender, self._on_propose(now_s, sender, message))]
            case LeaseRelease():
                return self._on_release(now_s, sender, message)

    def tick(self, now_s: float) -> list[Action]:
        """Request the state of the other acceptors, if that is due."""
        return self.recovery.tick(now_s)

    def next_tick_s(self) -> float:
        """The time at which `tick` has to be called next."""
        return self.recovery.next_tick_s()

    def _lock(self, now_s: float, duty: str) -> DutyLock:
        """The state of the duty, created on first use."""
        lock = self._locks.get(duty)
        if lock is None:
            if len(self._locks) >= MAX_TRACKED_DUTIES:
                self._evict_unused_locks(now_s)
            lock = self._locks[duty] = DutyLock()
        return lock

    def _evict_unused_locks(self, now_s: float) -> None:
        """Forget the duties that are neither locked nor reserved; only their highest token is kept."""
        for duty, lock in [*self._locks.items()]:
            if lock.is_unused(now_s):
                self.recovery.token_floor = max(self.recovery.token_floor, lock.highest_token)
                del self._locks[duty]

    def _highest_token(self, lock: DutyLock) -> int:
        return max(self.recovery.token_floor, lock.highest_token)

    def _reject_unavailable(
        self, now_s: float, lock: DutyLock, proposer: ProposerId, message: PrepareRequest | ProposeRequest
    ) -> Rejected | None:
        """The rejection if the duty is locked or reserved for another proposer, else None."""
        if lock.is_locked_for_other(now_s, proposer):
            lock.add_waiter(proposer.name)
            remaining_ms = _remaining_ms(now_s, lock.locked_until_s)
            return self._rejected(lock, message, lock.holder.name, remaining_ms)
        if lock.is_reserved_for_other(now_s, proposer) and not _overrides_reservation(message):
            remaining_ms = _remaining_ms(now_s, lock.reserved_until_s)
            return self._rejected(lock, message, lock.reserved_for.name, remaining_ms)
        return None

    def _rejected(
        self, lock: DutyLock, message: PrepareRequest | ProposeRequest, holder: str, remaining_ms: int
    ) -> Rejected:
        return Rejected(
            message.duty,
            message.start_number,
            prepare_number=message.prepare_number if isinstance(message, PrepareRequest) else 0,
            token=message.token if isinstance(message, ProposeRequest) else 0,
            highest_token=self._highest_token(lock),
            holder=holder,
            remaining_ms=remaining_ms,
        )

    def _on_prepare(self, now_s: float, sender: str, message: PrepareRequest) -> PrepareResponse | Rejected:
        lock = self._lock(now_s, message.duty)
        proposer = ProposerId(sender, message.start_number)
        if rejected := self._reject_unavailable(now_s, lock, proposer, message):
            return rejected
        lock.reserve(proposer, now_s + RESERVATION_S)
        return PrepareResponse(
            message.duty, message.start_number, message.prepare_number, self._highest_token(lock)
        )

    def _on_propose(self, now_s: float, sender: str, message: ProposeRequest) -> ProposeAccepted | Rejected:
        """Lock the duty, or extend the lock.

        A holder renews under its token at any acceptor where no other proposer has the lock, even at one that
        has restarted since, or that accepted a higher token from a proposer that gave up. If a renewal is so
        late that another holding has begun, its sender has lost the lease and ignores the response; the only
        effect is that this acceptor locks the duty for the duration of a lease.
        """
        lock = self._lock(now_s, message.duty)
        proposer = ProposerId(sender, message.start_number)
        if rejected := self._reject_unavailable(now_s, lock, proposer, message):
            return rejected
        if not self._is_acceptable(lock, proposer, message):
            return self._rejected(lock, message, "", 0)
        until_s = now_s + self._terms.acceptor_lock_s(message.lease_ms)
        lock.lock(proposer, message.token, until_s)
        return ProposeAccepted(message.duty, message.start_number, message.token, message.round_number)

    def _is_acceptable(self, lock: DutyLock, proposer: ProposerId, message: ProposeRequest) -> bool:
        """Whether a proposal for a free duty has a valid token and a valid lease duration."""
        is_repetition = lock.holder == proposer and lock.holder_token == message.token
        is_renewal = message.renewal or is_repetition
        token_too_low = not is_renewal and message.token <= self._highest_token(lock)
        lease_valid = 0 < message.lease_ms <= self._terms.max_lease_s * 1000
        return lease_valid and not token_too_low and not lock.was_released(proposer, message.token)

    def _on_release(self, now_s: float, sender: str, message: LeaseRelease) -> list[Action]:
        """Unlock the duty, and remember the token so that a late ProposeRequest under it is rejected."""
        lock = self._lock(now_s, message.duty)
        if not lock.release(ProposerId(sender, message.start_number), message.token):
            return []
        released = LeaseReleased(message.duty, message.token, nominated_successor=False)
        return [SendMessage(waiter, released) for waiter in lock.take_waiters() if waiter != sender]


def _remaining_ms(now_s: float, until_s: float) -> int:
    """The remaining time, rounded up so that the proposer does not retry too early."""
    return int((until_s - now_s) * 1000) + 1


def _overrides_reservation(message: PrepareRequest | ProposeRequest) -> bool:
    """Whether a reservation for another proposer is ignored: for renewals and nominated successors."""
    return message.nominated_successor if isinstance(message, PrepareRequest) else message.renewal
