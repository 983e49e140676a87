"""The messages of record replication: digests and versions to compare, requests and records.

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
MAX_PAYLOAD_BYTES = MAX_BODY_BYTES - 10  # limit of the rows in one message, array heads excluded

Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """The value that a writer gave to a key in one version.

    All records of the writer between `previous_version` and `version` have been replaced. So a member that
    holds all records up to `previous_version` holds all up to `version` once it has this one.
    """

    writer: MemberName
    start: StartNumber
    previous_version: Uint53
    version: Uint53  # from one counter for all keys of the writer
    key: Key
    value: Value | None  # None if deleted


class WriterVersion(msgspec.Struct, array_like=True, frozen=True):
    """Entry of a version vector: up to which version a member holds all records of a writer."""

    writer: MemberName
    start: StartNumber
    version: Uint53  # all records up to this version are held


class VersionDigests(msgspec.Struct, array_like=True, frozen=True):
    """Digests of the version vector by bucket, answered by the entries of the buckets that differ."""

    digests: Annotated[tuple[Uint32, ...], Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]


class VersionVector(msgspec.Struct, array_like=True, frozen=True):
    """A part of the sender's version vector, answered by records that it lacks and a RecordRequest."""

    versions: tuple[WriterVersion, ...]
    complete_buckets: Uint32 = 0  # bit mask of buckets whose writers are all listed here


class RecordRequest(msgspec.Struct, array_like=True, frozen=True):
    """The sender's versions of writers of whom the recipient has later ones, answered by records."""

    versions: tuple[WriterVersion, ...]


class RecordBatch(msgspec.Struct, array_like=True, frozen=True):
    """Records of any writers."""

    records: tuple[Record, ...]
    pushed: bool = False  # recent changes: the recipient pushes on those that are new to it


MESSAGES: tuple[type[msgspec.Struct], ...] = (VersionDigests, VersionVector, RecordRequest, RecordBatch)
Message = VersionDigests | VersionVector | RecordRequest | RecordBatch
