"""The messages of record replication: digests and versions to compare, requests, and the records themselves.

Messages are encoded as arrays: the order of the fields, and of the types in `MESSAGES`, is the wire format.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ringledge.decide.datagram import MAX_BODY_BYTES, MemberName, StartNumber, Uint32, Uint53
from ringledge.decide.paging import BUCKET_COUNT

MAX_KEY_BYTES = 48
MAX_VALUE_BYTES = 120
MAX_PAYLOAD_BYTES = MAX_BODY_BYTES - 10  # for the versions or records of one message, without its array heads

Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """The value of one writer under one key, in one version.

    Of the writer's records that have not been replaced since, none lies between `previous_version` and
    `version`: who holds all up to the former holds all up to the latter with this one.
    """

    writer: MemberName
    start: StartNumber
    previous_version: Uint53
    version: Uint53  # one counter for all keys of the writer
    key: Key
    value: Value | None  # None: deleted


class WriterVersion(msgspec.Struct, array_like=True, frozen=True):
    """How far a member is up to date with a writer: an entry of its version vector."""

    writer: MemberName
    start: StartNumber
    version: Uint53  # all records up to this one are held


class VersionDigests(msgspec.Struct, array_like=True, frozen=True):
    """A digest of the version vector by bucket. Answered by the entries of the buckets that differ."""

    digests: Annotated[tuple[Uint32, ...], Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]


class VersionVector(msgspec.Struct, array_like=True, frozen=True):
    """A part of the sender's version vector. Answered by records that it lacks, and by a RecordRequest."""

    versions: tuple[WriterVersion, ...]
    complete_buckets: Uint32 = 0  # a bit mask: of these buckets the sender has no other writers


class RecordRequest(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of writers of whom the recipient has more. Answered by records."""

    versions: tuple[WriterVersion, ...]


class RecordBatch(msgspec.Struct, array_like=True, frozen=True):
    """Records, of any writers."""

    records: tuple[Record, ...]
    pushed: bool = False  # recent changes: a recipient to which they are new pushes them on


MESSAGES: tuple[type[msgspec.Struct], ...] = (VersionDigests, VersionVector, RecordRequest, RecordBatch)
Message = VersionDigests | VersionVector | RecordRequest | RecordBatch
