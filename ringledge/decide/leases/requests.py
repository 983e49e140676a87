"""The requests of one proposer and the retransmission of its releases."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.decide.leases.messages import LeaseRelease, LeaseTerms, PrepareRequest, ProposeRequest

RELEASE_SEND_COUNT = 3  # number of times that a release is sent
RELEASE_RESEND_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class ProposerRequests:
    """Builds the requests of one proposer for one duty."""

    duty: str
    start_number: int  # of the proposer
    terms: LeaseTerms

    def prepare(self, prepare_number: int, nominated: bool) -> PrepareRequest:
        """A prepare request; `nominated`: the last holder nominated this member as its successor."""
        return PrepareRequest(self.duty, self.start_number, prepare_number, nominated, self.terms.digest)

    def propose(self, token: int, round_number: int, renewal: bool) -> ProposeRequest:
        """A propose request; `renewal`: the proposer already holds the duty under this token."""
        lease_ms = round(self.terms.lease_s * 1000)
        return ProposeRequest(
            self.duty, self.start_number, token, round_number, lease_ms, renewal, self.terms.digest
        )

    def release(self, token: int) -> LeaseRelease:
        """A message that ends the holding under this token and any reservation."""
        return LeaseRelease(self.duty, self.start_number, token)


@dataclass(slots=True)
class ReleaseRetransmission:
    """Retransmits the latest release a few times, since acceptors do not acknowledge it."""

    message: LeaseRelease | None = None
    remaining_sends: int = 0
    due_s: float = 0.0

    def next_tick_s(self) -> float:
        """The time of the next retransmission; infinity if there are no more."""
        return self.due_s if self.remaining_sends else float("inf")

    def begin(self, now_s: float, message: LeaseRelease) -> None:
        """Schedule the retransmissions of a release that is first sent now."""
        self.message = message
        self.remaining_sends = RELEASE_SEND_COUNT - 1
        self.due_s = now_s + RELEASE_RESEND_INTERVAL_S

    def due_message(self, now_s: float) -> LeaseRelease | None:
        """The release if a retransmission is due now, which is then counted as sent; else None."""
        if not self.remaining_sends or now_s < self.due_s:
            return None
        self.remaining_sends -= 1
        self.due_s = now_s + RELEASE_RESEND_INTERVAL_S
        return self.message
