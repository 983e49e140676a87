"""The requests of one proposer, and the retransmission of its releases."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.decide.leases.messages import LeaseRelease, LeaseTerms, PrepareRequest, ProposeRequest

RELEASE_SEND_COUNT = 3  # times that a release is sent
RELEASE_RESEND_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class ProposerRequests:
    """Makes the requests of one proposer for one duty."""

    duty: str
    start_number: int  # of the proposer
    terms: LeaseTerms

    def prepare(self, prepare_number: int, nominated: bool) -> PrepareRequest:
        """Asks whether the duty is free; `nominated`: by its last holder, as its successor."""
        return PrepareRequest(self.duty, self.start_number, prepare_number, nominated, self.terms.digest)

    def propose(self, token: int, round_number: int, renewal: bool) -> ProposeRequest:
        """Asks for a lock of the duty; `renewal`: the proposer holds it under this token."""
        lease_ms = round(self.terms.lease_s * 1000)
        return ProposeRequest(
            self.duty, self.start_number, token, round_number, lease_ms, renewal, self.terms.digest
        )

    def release(self, token: int) -> LeaseRelease:
        """Ends the holding under this token, and any reservation."""
        return LeaseRelease(self.duty, self.start_number, token)


@dataclass(slots=True)
class ReleaseRetransmission:
    """The latest release, and its retransmissions, since acceptors do not acknowledge it."""

    message: LeaseRelease | None = None
    remaining_sends: int = 0
    due_s: float = 0.0

    def next_tick_s(self) -> float:
        """When it is sent next; infinity where it has been sent often enough."""
        return self.due_s if self.remaining_sends else float("inf")

    def begin(self, now_s: float, message: LeaseRelease) -> None:
        """Retransmit a release that is sent for the first time now."""
        self.message = message
        self.remaining_sends = RELEASE_SEND_COUNT - 1
        self.due_s = now_s + RELEASE_RESEND_INTERVAL_S

    def due_message(self, now_s: float) -> LeaseRelease | None:
        """The release, where a retransmission is due now; counted as sent."""
        if not self.remaining_sends or now_s < self.due_s:
            return None
        self.remaining_sends -= 1
        self.due_s = now_s + RELEASE_RESEND_INTERVAL_S
        return self.message
