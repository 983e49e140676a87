"""Gossip: membership updates are piggybacked on messages, each a limited number of times."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.decide.membership.messages import MembershipUpdate
from ringledge.decide.paging import encoded_size


@dataclass(slots=True)
class _QueuedUpdate:
    update: MembershipUpdate
    size_bytes: int
    remaining_transmits: int


class TransmitLimitedQueue:
    """Queue of the latest update of each member, until it has been transmitted often enough."""

    def __init__(self) -> None:
        self._queued: dict[str, _QueuedUpdate] = {}  # by the member's name

    def enqueue(self, update: MembershipUpdate, transmit_limit: int) -> None:
        """Queue an update for `transmit_limit` messages; it replaces an earlier one of the same member."""
        self._queued[update.name] = _QueuedUpdate(update, encoded_size(update), transmit_limit)

    def take(
        self, budget_bytes: int, recipient: str, first: MembershipUpdate | None = None
    ) -> tuple[MembershipUpdate, ...]:
        """The updates for one message: `first`, then the least transmitted ones that fit into the budget.

        A queued update about the recipient itself is left out.
        """
        chosen: list[MembershipUpdate] = []
        if first is not None:
            chosen.append(first)
            budget_bytes -= encoded_size(first)
        for queued in sorted(self._queued.values(), key=lambda queued: -queued.remaining_transmits):
            if queued.size_bytes > budget_bytes or queued.update.name == recipient:
                continue
            budget_bytes -= queued.size_bytes
            chosen.append(queued.update)
            queued.remaining_transmits -= 1
            if not queued.remaining_transmits:
                del self._queued[queued.update.name]
        return tuple(chosen)
