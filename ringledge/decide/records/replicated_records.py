"""Small versioned records with one writer each, replicated to all members by push and anti-entropy.

A change is pushed to a few members, and each member to which it is new pushes it to a few more. Anti-entropy
(van Renesse, Dumitriu, Gough, Thomas 2008) finds what the pushes miss: in each interval a member sends to
another one the digests of its version vector by bucket of writers. The answer contains the entries of the
buckets that differ, and the member requests or sends the records in between. A restart of a writer replaces
all of its records; the records of a writer that has died or left are deleted after a retention time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ringledge.decide.datagram import validated_name
from ringledge.decide.interface import Action, Member, SendMessage
from ringledge.decide.paging import paginate
from ringledge.decide.records.log_table import LogTable, version_vectors
from ringledge.decide.records.messages import (
    MAX_PAYLOAD_BYTES,
    MESSAGES,
    Message,
    Record,
    RecordBatch,
    RecordRequest,
    VersionDigests,
    VersionVector,
    WriterVersion,
)
from ringledge.decide.records.settings import RecordsConfig

__all__ = ["MESSAGES", "ReplicatedRecords"]

PUSH_DELAY_S = 0.02  # a change waits for so long, to be pushed together with others
FAST_COMPARE_DIVISOR = 4  # divisor of the interval after a comparison that found missing records
COMPARE_JITTER_FACTORS = (0.9, 1.1)  # random factors on the interval, so that members do not compare in step
REQUEST_TIMEOUT_S = 0.2  # several round trips; after it another member may be asked
MAX_VECTOR_DATAGRAMS = 2  # limit per answer to digests; buckets left out follow later, in shuffled order


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request for the records of a writer: its recipient and when it times out."""

    recipient: str
    expires_s: float


class ReplicatedRecords:
    """The local member's replica; implements Decider. Times are in s of its monotonic clock.

    The caller reports the active members with `update_members`; `rng` draws recipients and orders.
    """

    def __init__(self, local_member: Member, settings: RecordsConfig, rng: random.Random) -> None:
        """Raise ValueError if the member's name does not fit a datagram."""
        validated_name(local_member.name)
        self.local_member = local_member
        self._settings = settings
        self._rng = rng
        self._logs = LogTable()
        self._own_log = self._logs.create(local_member.name, local_member.start)
        self._active_start_numbers: dict[str, int] = {local_member.name: local_member.start}
        self._expiry_s: dict[str, float] = {}  # when the records of inactive writers are deleted
        self._pending_pushes: dict[tuple[str, str], Record] = {}  # by writer and key
        self._pending_requests: dict[str, _PendingRequest] = {}  # by writer
        self._next_push_s = math.inf
        self._next_compare_s = -math.inf

    def write(self, now_s: float, key: str, value: bytes) -> None:
        """Write a record of the local member; RecordLimitError if it exceeds a limit."""
        self._own_log.validate(key, value)
        if self._own_log.value(key) != value:
            self._append(now_s, key, value)

    def delete(self, now_s: float, key: str) -> None:
        """Delete a record of the local member."""
        if self._own_log.value(key) is not None:
            self._append(now_s, key, None)

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """All known values whose key has the prefix, by the writer's name and the key."""
        return {
            (log.writer, key): value
            for log in self._logs
            if self._expiry_s.get(log.writer, math.inf) > now_s
            for key, value in log.values(prefix)
        }

    def update_members(self, now_s: float, local_member: Member, members: Iterable[Member]) -> None:
        """Set the active members; under a new start number the local member's records are written again."""
        active = {member.name: member.start for member in members}
        active[local_member.name] = local_member.start
        if local_member.start != self.local_member.start:
            self._restart(now_s, local_member)
        for name in self._active_start_numbers.keys() - active.keys():
            if name in self._logs:
                self._expiry_s[name] = now_s + self._settings.retention_s
        for name, start in active.items():
            self._expiry_s.pop(name, None)
            log = self._logs.get(name)
            if log is not None and log.start < start:
                self._remove(name)
        self._active_start_numbers = active

    def next_tick_s(self) -> float:
        """The time at which the next tick is due."""
        return min(self._next_push_s, self._next_compare_s, min(self._expiry_s.values(), default=math.inf))

    def tick(self, now_s: float) -> list[Action]:
        """Delete expired records, push changes and compare with another member, as far as each is due."""
        for name in [name for name, expires_s in self._expiry_s.items() if expires_s <= now_s]:
            del self._expiry_s[name]
            self._remove(name)
        actions: list[Action] = []
        if now_s >= self._next_push_s:
            self._next_push_s = math.inf
            actions += self._push()
        if now_s >= self._next_compare_s:
            self._next_compare_s = now_s + self._settings.interval_s * self._rng.uniform(
                *COMPARE_JITTER_FACTORS
            )
            digests = VersionDigests(self._logs.digests())
            actions += [SendMessage(name, digests) for name in self._sample_others(1)]
        return actions

    def receive(self, now_s: float, sender: str, message: Message) -> list[Action]:
        """Handle a message of another member."""
        match message:
            case VersionDigests(digests):
                return self._answer_digests(sender, digests)
            case VersionVector():
                return self._answer_vector(now_s, sender, message)
            case RecordRequest(versions):
                return self._send_records(sender, versions)
            case RecordBatch(records, pushed):
                for record in records:
                    if self._apply(record) and pushed:
                        self._queue_push(now_s, record)
                return []

    def _append(self, now_s: float, key: str, value: bytes | None) -> None:
        with self._logs.updating_digest(self._own_log):
            record = self._own_log.write(key, value)
        self._queue_push(now_s, record)

    def _queue_push(self, now_s: float, record: Record) -> None:
        self._pending_pushes[record.writer, record.key] = record
        self._next_push_s = min(self._next_push_s, now_s + PUSH_DELAY_S)

    def _push(self) -> list[Action]:
        records = list(self._pending_pushes.values())
        self._pending_pushes = {}
        recipients = self._sample_others(self._settings.fan_out)
        batches = [RecordBatch(group, pushed=True) for group in paginate(records, MAX_PAYLOAD_BYTES)]
        return [SendMessage(name, batch) for batch in batches for name in recipients]

    def _restart(self, now_s: float, local_member: Member) -> None:
        values = list(self._own_log.values(""))
        self._remove(self.local_member.name)
        self.local_member = local_member
        self._own_log = self._logs.create(local_member.name, local_member.start)
        for key, value in values:
            self._append(now_s, key, value)

    def _remove(self, writer: str) -> None:
        self._pending_requests.pop(writer, None)
        self._logs.remove(writer)

    def _sample_others(self, max_count: int) -> list[str]:
        others = [name for name in self._active_start_numbers if name != self.local_member.name]
        return self._rng.sample(others, min(max_count, len(others)))

    def _answer_digests(self, sender: str, digests: tuple[int, ...]) -> list[Action]:
        """Send the version vector of the buckets that differ, shuffled, since not all of them may fit."""
        buckets = self._logs.differing_buckets(digests)
        self._rng.shuffle(buckets)
        entries = [(bucket, self._logs.versions_in_bucket(bucket)) for bucket in buckets]
        messages = version_vectors(entries, MAX_PAYLOAD_BYTES)[:MAX_VECTOR_DATAGRAMS]
        return [SendMessage(sender, message) for message in messages]

    def _answer_vector(self, now_s: float, sender: str, vector: VersionVector) -> list[Action]:
        """Send the records that the sender lacks, and request those that are missing here."""
        outdated = self._logs.writers_missing_in(vector)
        wanted: list[WriterVersion] = []
        for remote in vector.versions:
            local = self._logs.held_version(remote.writer)
            if (remote.start, remote.version) < (local.start, local.version):
                outdated.append(remote)
            elif remote != local and self._may_request(now_s, sender, remote):
                self._pending_requests[remote.writer] = _PendingRequest(sender, now_s + REQUEST_TIMEOUT_S)
                held = local.version if remote.start == local.start else 0
                wanted.append(WriterVersion(remote.writer, remote.start, held))
        if wanted:  # more records may be missing, at this member or at others
            soon_s = now_s + self._settings.interval_s / FAST_COMPARE_DIVISOR
            self._next_compare_s = min(self._next_compare_s, soon_s)
        requests = [
            SendMessage(sender, RecordRequest(group)) for group in paginate(wanted, MAX_PAYLOAD_BYTES)
        ]
        return [*self._send_records(sender, outdated), *requests]

    def _send_records(self, recipient: str, versions: Sequence[WriterVersion]) -> list[Action]:
        """Send records that the recipient lacks, up to the limit of one answer, then the local versions.

        From the versions the recipient sees what else to request.
        """
        records = self._logs.missing_records(versions)
        batches = paginate(records, MAX_PAYLOAD_BYTES)[: self._settings.max_answer_datagrams]
        if not batches:
            return []
        vectors = paginate(self._logs.held_versions(versions), MAX_PAYLOAD_BYTES)[:1]
        messages = (*map(RecordBatch, batches), *map(VersionVector, vectors))
        return [SendMessage(recipient, message) for message in messages]

    def _may_request(self, now_s: float, sender: str, remote: WriterVersion) -> bool:
        """Whether to request a writer's records: only from one member at a time, to avoid duplicates."""
        pending = self._pending_requests.get(remote.writer)
        is_free = pending is None or pending.recipient == sender or pending.expires_s <= now_s
        return is_free and self._is_acceptable(remote.writer, remote.start)

    def _is_acceptable(self, writer: str, start: int) -> bool:
        """Whether to hold records of this start number: the writer is active or its records are retained."""
        if writer == self.local_member.name:
            return False
        if writer in self._active_start_numbers:
            return start >= self._active_start_numbers[writer]
        log = self._logs.get(writer)
        return writer in self._expiry_s and log is not None and log.start == start

    def _apply(self, record: Record) -> bool:
        """Apply a record of another writer, and return whether it was new."""
        if not self._is_acceptable(record.writer, record.start):
            return False
        log = self._logs.get(record.writer)
        if log is not None and record.start > log.start:
            self._remove(record.writer)
            log = None
        if log is None:
            log = self._logs.create(record.writer, record.start)
        if record.start < log.start:
            return False
        with self._logs.updating_digest(log):
            return log.apply(record)
