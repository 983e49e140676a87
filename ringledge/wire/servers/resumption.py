"""Releases the entries that an open request may have on servers that resume after a hang.

Such a server may run an attempt that was abandoned while it hung. The server is sent a release call for one
of the requests until it answers; its answer triggers releases for the other requests as well.
"""

from __future__ import annotations

from collections.abc import Iterable

from ringledge.core.records import RequestRecord
from ringledge.decide.servers.cache_hold import ReleaseReason
from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.resumption import ResumptionChecks
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.entry_releases import EntryReleases
from ringledge.wire.servers.releases import ReleaseSender


class ResumedServers:
    """Watches servers that may still run abandoned attempts of open requests."""

    def __init__(
        self,
        context: UpstreamContext,
        reachability: Reachability,
        sender: ReleaseSender,
        entry_releases: EntryReleases,
    ) -> None:
        self._context = context
        self._reachability = reachability
        self._sender = sender
        self._entry_releases = entry_releases
        self._checks = ResumptionChecks()

    def check(self, records: Iterable[RequestRecord]) -> None:
        """Release what resumed servers may hold, and call those that have not answered yet.

        Requests with a delivered attempt in flight are skipped: a release would take away its entry.
        """
        now_ms = self._context.clock.now_ms()
        for record in records:
            if record.has_delivered_attempt:
                continue
            for server, ended_ms in record.cache.unresponsive_servers():
                if self._reachability.last_answer_ms(server) > ended_ms:
                    self._release(record, server, now_ms)
                elif self._checks.begin_if_due(now_ms, server):
                    self._context.tasks.start_soon(self._call, record, server)

    def _release(self, record: RequestRecord, server: str, now_ms: float) -> None:
        record.cache.record_resumption(server, now_ms)
        if not record.cache.releasing:
            self._entry_releases.start(record, ReleaseReason.SERVER_RESUMED)

    async def _call(self, record: RequestRecord, server: str) -> None:
        try:
            if await self._sender.call_server(server, record.request_id):
                record.cache.record_release_answered(server)
        finally:
            self._checks.finished(self._context.clock.now_ms(), server)
