"""The logs of all writers, with a digest of the versions in each bucket of writers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from ringledge.decide.paging import BUCKET_COUNT, bucket_of, encoded_size, paginate
from ringledge.decide.records.messages import Record, VersionVector, WriterVersion
from ringledge.decide.records.writer_log import WriterLog


class LogTable:
    """Logs by writer. Invariant: the digests cover the current state of all logs that hold a version."""

    def __init__(self) -> None:
        self._logs: dict[str, WriterLog] = {}
        self._digests = [0] * BUCKET_COUNT

    def __contains__(self, writer: str) -> bool:
        return writer in self._logs

    def __iter__(self) -> Iterator[WriterLog]:
        return iter(self._logs.values())

    def get(self, writer: str) -> WriterLog | None:
        """The log of a writer, or None if there is none."""
        return self._logs.get(writer)

    def create(self, writer: str, start: int) -> WriterLog:
        """Create the log of a writer that has none."""
        log = self._logs[writer] = WriterLog(writer, start)
        return log

    def remove(self, writer: str) -> None:
        """Remove the log of a writer, if there is one."""
        log = self._logs.pop(writer, None)
        if log is not None:
            self._toggle_digest(log)

    @contextmanager
    def updating_digest(self, log: WriterLog) -> Iterator[None]:
        """Context in which a log is modified; updates the digest of its bucket."""
        self._toggle_digest(log)
        yield
        self._toggle_digest(log)

    def digests(self) -> tuple[int, ...]:
        """The digests of all buckets."""
        return tuple(self._digests)

    def differing_buckets(self, digests: tuple[int, ...]) -> list[int]:
        """The numbers of the buckets whose digests differ from another member's."""
        pairs = zip(self._digests, digests, strict=True)
        return [bucket for bucket, (local, remote) in enumerate(pairs) if local != remote]

    def versions_in_bucket(self, bucket: int) -> list[WriterVersion]:
        """The entries of the version vector that belong to a bucket."""
        return [log.held_version() for log in self if log.version and bucket_of(log.writer) == bucket]

    def held_version(self, writer: str) -> WriterVersion:
        """A writer's entry in the version vector; start number and version are 0 if it has no log."""
        log = self._logs.get(writer)
        return WriterVersion(writer, 0, 0) if log is None else log.held_version()

    def held_versions(self, versions: Iterable[WriterVersion]) -> list[WriterVersion]:
        """The local entries for the writers of another member's entries, as far as there are logs."""
        return [self._logs[entry.writer].held_version() for entry in versions if entry.writer in self._logs]

    def writers_missing_in(self, vector: VersionVector) -> list[WriterVersion]:
        """Writers of whom the sender holds nothing: absent from its vector in a complete bucket."""
        listed = {entry.writer for entry in vector.versions}
        return [
            WriterVersion(log.writer, log.start, 0)
            for log in self
            if log.version
            and vector.complete_buckets >> bucket_of(log.writer) & 1
            and log.writer not in listed
        ]

    def missing_records(self, versions: Iterable[WriterVersion]) -> list[Record]:
        """The records that a member with these versions lacks, writer by writer."""
        records: list[Record] = []
        for remote in versions:
            log = self._logs.get(remote.writer)
            if log is not None and log.start >= remote.start:
                records += log.records_after(remote.version if log.start == remote.start else 0)
        return records

    def _toggle_digest(self, log: WriterLog) -> None:
        if log.version:
            self._digests[bucket_of(log.writer)] ^= log.digest()


def version_vectors(
    buckets: Iterable[tuple[int, list[WriterVersion]]], budget_bytes: int
) -> list[VersionVector]:
    """Pack entries into messages; a bucket whose entries fit into one message is marked as complete."""
    messages: list[VersionVector] = []
    versions: list[WriterVersion] = []
    complete_buckets = 0
    used_bytes = 0
    for bucket, entries in buckets:
        needed_bytes = sum(map(encoded_size, entries))
        if used_bytes + needed_bytes > budget_bytes and complete_buckets:
            messages.append(VersionVector(tuple(versions), complete_buckets))
            versions = []
            complete_buckets = 0
            used_bytes = 0
        if needed_bytes > budget_bytes:
            messages += [VersionVector(group) for group in paginate(entries, budget_bytes)]
        else:
            versions = versions + entries
            complete_buckets |= 1 << bucket
            used_bytes += needed_bytes
    if complete_buckets:
        messages.append(VersionVector(tuple(versions), complete_buckets))
    return messages
