"""Releases what a server that hung leaves behind when it resumes, while the request is still open.

Such a server may run an attempt that was abandoned meanwhile. It is called until it answers: the call is a
release for one of the requests, and its answer has the others' entries released as well.
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
    """Watches the servers on which attempts of open requests may yet run."""

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

        Not while an attempt of the request has arrived: it is out, and a release would cost it its entry.
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
