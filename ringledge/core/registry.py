"""The registry of open requests, kept in sync with the other process of this router during a hand-over."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ringledge.core.possible_runs import PossibleRuns
from ringledge.core.records import RequestRecord


class PeerProcess(Protocol):
    """The predecessor or successor process of this router, while both run during a hand-over."""

    open_request_ids: set[str]  # of the requests that are open in that process

    def on_request_change(self, request_id: str, is_open: bool) -> None:
        """Notify that process of a request that was opened (`is_open`) or removed in this one."""


class RequestRegistry:
    """The open requests by id."""

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.peers: list[PeerProcess] = []
        self.possible_runs = PossibleRuns()  # of ended requests, in this process or in a peer
        # Called with each request that is removed, and whether it may run again.
        self.removal_listeners: list[Callable[[RequestRecord, bool], None]] = []

    def is_open(self, request_id: str) -> bool:
        """Whether a request with that id is open in this process or in a peer process."""
        return request_id in self.records or any(request_id in peer.open_request_ids for peer in self.peers)

    def unanswered_count(self) -> int:
        """The number of requests whose final answer is outstanding."""
        return sum(not record.closed for record in self.records.values())

    def add(self, record: RequestRecord) -> None:
        """Register a request and notify the peers."""
        self.records[record.request_id] = record
        for peer in self.peers:
            peer.on_request_change(record.request_id, True)

    def remove(self, record: RequestRecord, may_run_again: bool) -> None:
        """Remove a request that is done and notify the peers."""
        del self.records[record.request_id]
        if not may_run_again:
            self.possible_runs.add(record.request_id)
        for on_removed in self.removal_listeners:
            on_removed(record, may_run_again)
        for peer in self.peers:
            peer.on_request_change(record.request_id, False)
