"""The proposer of one duty: prepare, propose, hold and renew, release (PaxosLease).

An acceptor that accepts a `ProposeRequest` locks the duty for at least the duration of a lease after it
received the request, which is later than the proposer sent it. The proposer holds the duty as long as the
grants of a majority last, by its own clock and less the bound on clock drift. An acceptance counts for the
round that it names.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec

from ringledge.decide.interface import Action, LeaseAcquired, LeaseEnded, SendMessage
from ringledge.decide.leases.backoff import AttemptBackoff
from ringledge.decide.leases.events import LeaseEvent
from ringledge.decide.leases.granted_rounds import GrantedRounds
from ringledge.decide.leases.messages import (
    LeaseReleased,
    LeaseTerms,
    PrepareResponse,
    ProposeAccepted,
    ProposerMessage,
    Rejected,
)
from ringledge.decide.leases.phase_responses import PhaseResponses
from ringledge.decide.leases.proposer_state import ProposerState
from ringledge.decide.leases.requests import ProposerRequests, ReleaseRetransmission

RESEND_DELAY_RANGE_S = (0.1, 0.2)  # until a request without answer is resent; above a round trip (2 x 27 ms)
PHASE_TIMEOUT_S = 0.6  # per phase: four sends, which reach nine of ten acceptors at 50% loss
RENEWAL_FRACTION = 0.25  # part of the lease after which it is renewed; leaves time if rounds are lost
RELEASED_DELAY_RANGE_S = (0.05, 0.08)  # after a release: behind the nominated successor, spread
MAX_REJECTED_JITTER_S = 0.2  # delay after a lock expires; spreads the proposers that wait for it


class LeaseProposer:
    """Acquires, renews and releases one duty; `receive`, `tick` and `end` return the actions to execute."""

    def __init__(self, duty: str, name: str, start_number: int, terms: LeaseTerms, random: Random) -> None:
        self.duty = duty
        self._name = name
        self._start_number = start_number
        self._terms = terms
        self._random = random
        self._requests = ProposerRequests(duty, start_number, terms)
        self.state = ProposerState.IDLE
        self.next_attempt_s = 0.0  # earliest next attempt of an idle proposer; `tick` adds the member's delay
        self.duty_released = False  # the last holder released the duty, and other proposers know it too
        self.nominated = False  # the last holder nominated this member as its successor
        # Invariant: the token changes only as a propose phase begins; renewals repeat it.
        self.token = 0  # of the current or the last holding
        self._highest_token = 0  # highest one that acceptors reported or this proposer used
        # Invariant: until `until_s` a majority of acceptors keeps the duty locked for this process.
        self.until_s = float("-inf")
        self.holder = ""  # last known holder; "" if none
        self._prepare_number = 0
        self._rounds = GrantedRounds(terms)
        self._responses = PhaseResponses(terms)
        self._resend_s = self._phase_deadline_s = self._renewal_s = 0.0
        self._release = ReleaseRetransmission()
        self._backoff = AttemptBackoff(random)

    def token_at(self, now_s: float) -> int | None:
        """The token if the duty is held at this time, else None."""
        return self.token if self.state is ProposerState.HOLDING and now_s < self.until_s else None

    def next_tick_s(self, delay_s: float) -> float:
        """The time at which `tick` has to be called next."""
        if self.state is ProposerState.IDLE:
            return min(self._release.next_tick_s(), self.next_attempt_s + delay_s)
        if self.state is ProposerState.HOLDING:
            return min(self.until_s, self._renewal_s, self._resend_s)
        return min(self._release.next_tick_s(), self._resend_s, self._phase_deadline_s)

    def tick(self, now_s: float, delay_s: float) -> list[Action]:
        """Do the work that is due; an idle proposer begins `delay_s` (or infinity) after `next_attempt_s`."""
        actions = self._expire(now_s)
        if (release := self._release.due_message(now_s)) is not None:
            actions += self._to_acceptors(release)
        match self.state:
            case ProposerState.IDLE if now_s >= self.next_attempt_s + delay_s:
                actions += self._begin_prepare(now_s)
            case ProposerState.PREPARING | ProposerState.PROPOSING if now_s >= self._phase_deadline_s:
                actions += self._fail_attempt(now_s)
            case ProposerState.HOLDING if now_s >= self._renewal_s:
                actions += self._send_full_round(now_s)
            case ProposerState.PREPARING if now_s >= self._resend_s:
                actions += self._send_prepare(now_s, self._responses.unanswered(now_s))
            case ProposerState.PROPOSING | ProposerState.HOLDING if now_s >= self._resend_s:
                actions += self._resend_propose(now_s)
        return actions

    def receive(self, now_s: float, sender: str, message: ProposerMessage) -> list[Action]:
        """Handle a message to proposers; all but `LeaseReleased` are responses of acceptors."""
        actions = self._expire(now_s)
        match message:
            case LeaseReleased():
                actions += self._on_released(now_s, sender, message)
            case _ if sender not in self._terms.acceptors or message.start_number != self._start_number:
                pass  # not from an acceptor, or a response to a predecessor of this process
            case PrepareResponse():
                actions += self._on_prepare_response(now_s, sender, message)
            case ProposeAccepted():
                actions += self._on_accepted(now_s, sender, message)
            case Rejected():
                actions += self._on_rejected(now_s, sender, message)
        return actions

    def end(self, now_s: float, reason: LeaseEvent, idle_s: float) -> list[Action]:
        """End the holding or the attempt, release the duty, and stay idle for `idle_s`."""
        actions: list[Action] = []
        if self.state is ProposerState.HOLDING:
            actions.append(LeaseEnded(self.duty, self.token, reason))
        return actions + self._abandon(now_s, idle_s)

    def _abandon(self, now_s: float, idle_s: float) -> list[Action]:
        """Release the locks that acceptors may have set, and become idle."""
        actions: list[Action] = []
        if self.state in (ProposerState.PROPOSING, ProposerState.HOLDING):
            release = self._requests.release(self.token)
            self._release.begin(now_s, release)
            actions = self._to_acceptors(release)
        self._become_idle(now_s + idle_s)
        return actions

    def _become_idle(self, next_attempt_s: float) -> None:
        self.state = ProposerState.IDLE
        self.next_attempt_s = next_attempt_s
        self.until_s = float("-inf")
        self.duty_released = False
        self.nominated = False
        self._rounds.clear()

    def _expire(self, now_s: float) -> list[Action]:
        """End an expired holding before any other work, as the process may have been suspended."""
        if self.state is not ProposerState.HOLDING or now_s < self.until_s:
            return []
        return self.end(now_s, LeaseEvent.EXPIRED, self._backoff.base_delay_s())

    def _fail_attempt(self, now_s: float) -> list[Action]:
        return self._abandon(now_s, self._backoff.failure_delay_s())

    def _to_acceptors(self, message: msgspec.Struct) -> list[Action]:
        return [SendMessage(acceptor, message) for acceptor in self._terms.acceptors]

    def _begin_prepare(self, now_s: float) -> list[Action]:
        self.state = ProposerState.PREPARING
        self._prepare_number += 1
        self._responses.clear()
        self._phase_deadline_s = now_s + PHASE_TIMEOUT_S
        return self._send_prepare(now_s, self._terms.acceptors)

    def _send_prepare(self, now_s: float, acceptors: Iterable[str]) -> list[Action]:
        self._resend_s = now_s + self._random.uniform(*RESEND_DELAY_RANGE_S)
        request = self._requests.prepare(self._prepare_number, self.nominated)
        return [SendMessage(acceptor, request) for acceptor in acceptors]

    def _begin_propose(self, now_s: float) -> list[Action]:
        self.state = ProposerState.PROPOSING
        self._highest_token += 1
        self.token = self._highest_token
        self._responses.clear_rejections()
        self._phase_deadline_s = now_s + PHASE_TIMEOUT_S
        return self._send_full_round(now_s)

    def _send_full_round(self, now_s: float) -> list[Action]:
        """Send a round of propose requests or renewals to all acceptors."""
        self._rounds.begin_full_round(now_s)
        self._renewal_s = now_s + RENEWAL_FRACTION * self._terms.lease_s
        return self._send_round(now_s, self._terms.acceptors)

    def _resend_propose(self, now_s: float) -> list[Action]:
        """Resend to acceptors that have not granted since the last full round, until a majority has."""
        self._resend_s = now_s + self._random.uniform(*RESEND_DELAY_RANGE_S)  # `_send_round` draws it again
        missing = self._rounds.missing_grants()
        if len(missing) > len(self._terms.acceptors) - self._terms.majority:
            return self._send_round(now_s, missing)
        self._resend_s = self._renewal_s
        return []

    def _send_round(self, now_s: float, acceptors: Iterable[str]) -> list[Action]:
        self._rounds.begin_round(now_s)
        self._resend_s = now_s + self._random.uniform(*RESEND_DELAY_RANGE_S)
        holding = self.state is ProposerState.HOLDING
        request = self._requests.propose(self.token, self._rounds.round_number, renewal=holding)
        return [SendMessage(acceptor, request) for acceptor in acceptors]

    def _on_prepare_response(self, now_s: float, sender: str, message: PrepareResponse) -> list[Action]:
        if self.state is not ProposerState.PREPARING or message.prepare_number != self._prepare_number:
            return []
        self._highest_token = max(self._highest_token, message.highest_token)
        self._responses.add_prepared(sender)
        return self._begin_propose(now_s) if self._responses.majority_prepared() else []

    def _on_accepted(self, now_s: float, sender: str, message: ProposeAccepted) -> list[Action]:
        if message.token != self.token or not self._rounds.record_acceptance(sender, message.round_number):
            return []
        lease_end_s = self._rounds.lease_end_s()
        if lease_end_s is None or now_s >= lease_end_s:
            return []
        self.until_s = max(self.until_s, lease_end_s)
        if self.state is not ProposerState.PROPOSING:
            return []
        self.state = ProposerState.HOLDING
        self.holder = self._name
        self._backoff.reset()
        return [LeaseAcquired(self.duty, self.token, self.until_s)]

    def _on_rejected(self, now_s: float, sender: str, message: Rejected) -> list[Action]:
        if not self._is_current(message):
            return []
        self._highest_token = max(self._highest_token, message.highest_token)
        self._responses.add_rejection(sender, now_s + message.remaining_ms / 1000)
        self.holder = message.holder or self.holder
        if not self._responses.majority_impossible():
            return []
        if self.state is ProposerState.PROPOSING:
            return self._fail_attempt(now_s)
        return self._wait_for_holder()

    def _is_current(self, message: Rejected) -> bool:
        """Whether the message rejects a request of the current phase."""
        if message.prepare_number:
            return self.state is ProposerState.PREPARING and message.prepare_number == self._prepare_number
        return self.state is ProposerState.PROPOSING and message.token == self.token

    def _wait_for_holder(self) -> list[Action]:
        """Become idle until a majority may be free; release reservations, which would only block others."""
        self._backoff.reset()
        release = self._requests.release(self.token)
        actions: list[Action] = [SendMessage(acceptor, release) for acceptor in self._responses.prepared()]
        self._become_idle(self._responses.majority_free_s() + self._random.uniform(0, MAX_REJECTED_JITTER_S))
        return actions

    def _on_released(self, now_s: float, sender: str, message: LeaseReleased) -> list[Action]:
        """Seek the duty soon, or repeat the prepare request if the sender rejected it before the release."""
        if message.token >= self._highest_token:
            self.holder = ""
        if self.state is ProposerState.IDLE:
            delay_s = 0.0 if message.nominated_successor else self._random.uniform(*RELEASED_DELAY_RANGE_S)
            self.next_attempt_s = min(self.next_attempt_s, now_s + delay_s)
            self.nominated = self.nominated or message.nominated_successor
            self.duty_released = True
        elif self.state is ProposerState.PREPARING and self._responses.withdraw_rejection(sender):
            return [SendMessage(sender, self._requests.prepare(self._prepare_number, self.nominated))]
        return []
