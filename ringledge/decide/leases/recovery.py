"""Recovery of a restarted acceptor's state from the other acceptors, without a disk.

First the acceptor is silent for the longest lease, so that every lock of its predecessor expires. Then it
requests the state of the other acceptors, and becomes active once it knows a token that is not below any
under which a lease was ever acquired. That is so in two cases:

- A majority of acceptors that are active have responded: one of them knows the highest token.
- All other acceptors have responded, active or not: either one of the majority that accepted the highest
  token still runs, or all of that majority have restarted, and then the sum of all acceptors' start numbers,
  which forms the upper bits of the token, has grown.

Assumptions: the start numbers of a name grow; at most one process runs under a name; a duty has fewer than
2**COUNTER_BITS holdings per unit by which the sum of start numbers grows. The proof is in
docs/design/coordination-leases.md.
"""

from __future__ import annotations

from ringledge.decide.interface import Action, SendMessage
from ringledge.decide.leases.messages import (
    START_NUMBER_LIMIT,
    LeaseTerms,
    StateTransferRequest,
    StateTransferResponse,
)

STATE_REQUEST_INTERVAL_S = 0.3  # requests are repeated, as a request or its response may be lost


class AcceptorRecovery:
    """The recovery of one acceptor, which is silent at first, then requests state, then is active."""

    def __init__(self, now_s: float, name: str, start_number: int, terms: LeaseTerms) -> None:
        if not 0 <= start_number < START_NUMBER_LIMIT:
            raise ValueError(f"start: must be 0 to {START_NUMBER_LIMIT - 1}, such as milliseconds since 1970")
        self._name = name
        self._start_number = start_number
        self._terms = terms
        self._silent_until_s = now_s + terms.startup_silence_s
        self._next_request_s = self._silent_until_s
        self._responses: dict[str, StateTransferResponse] = {}  # latest response by acceptor
        self.active = False
        # Invariant: once active, not below any token that a predecessor of this acceptor accepted.
        self.token_floor = 0

    def restart_silence(self, now_s: float) -> None:
        """Restart the silence now: from this time on no other process can vote under this name."""
        self._silent_until_s = now_s + self._terms.startup_silence_s
        self._next_request_s = self._silent_until_s

    def receive(
        self,
        now_s: float,
        sender: str,
        message: StateTransferRequest | StateTransferResponse,
        highest_token: int,
    ) -> list[Action]:
        """Handle a message between acceptors; `highest_token` is the highest that this acceptor accepted."""
        if now_s < self._silent_until_s or sender not in self._terms.acceptors:
            return []
        match message:
            case StateTransferRequest():
                return [SendMessage(sender, self._response(message, highest_token))]
            case StateTransferResponse():
                self._on_response(sender, message)
        return []

    def tick(self, now_s: float) -> list[Action]:
        """Request the state of all other acceptors, also again of those that were not active."""
        if self.active or now_s < self._next_request_s:
            return []
        self._next_request_s = now_s + STATE_REQUEST_INTERVAL_S
        request = StateTransferRequest(self._start_number, self._terms.digest)
        others = (acceptor for acceptor in self._terms.acceptors if acceptor != self._name)
        return [SendMessage(acceptor, request) for acceptor in others]

    def next_tick_s(self) -> float:
        """The time at which `tick` has to be called next."""
        return float("inf") if self.active else self._next_request_s

    def _response(self, request: StateTransferRequest, highest_token: int) -> StateTransferResponse:
        return StateTransferResponse(
            request.start_number,
            self._start_number,
            self.active,
            max(self.token_floor, highest_token),
            request.terms_digest,
        )

    def _on_response(self, sender: str, message: StateTransferResponse) -> None:
        if self.active or message.requester_start_number != self._start_number or sender == self._name:
            return
        self._responses[sender] = message
        self._activate_if_recovered()

    def _activate_if_recovered(self) -> None:
        """Become active if the responses yield a token not below any under which a lease was acquired."""
        responses = self._responses.values()
        highest_token = max(response.highest_token for response in responses)
        if sum(response.active for response in responses) >= self._terms.majority:
            self.token_floor = max(self.token_floor, highest_token)
            self.active = True
        elif len(responses) == len(self._terms.acceptors) - 1:
            start_numbers = sum(response.start_number for response in responses)
            restart_floor = self._terms.token_floor(self._start_number + start_numbers)
            self.token_floor = max(self.token_floor, highest_token, restart_floor)
            self.active = True
