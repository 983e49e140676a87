"""Encodes messages of deciders as datagrams, numbered and authenticated; invalid ones are dropped by reason.

Layout, integers big-endian: version (1 byte), kind (1), cluster (4, hash of its name), sequence number (5,
counts the sender's datagrams), the sender's start (6), the recipient's start as the sender knows it (6, 0:
unknown), length of the sender's name (1), the name, tag (12, BLAKE2b keyed with the cluster's key over all
other bytes), body (msgpack). 256 bytes at most.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from ringledge.decide.datagram import FIXED_HEADER_BYTES, MAX_START_NUMBER, TAG_BYTES, validated_name
from ringledge.decide.interface import MAX_DATAGRAM_BYTES

VERSION = 1
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # BLAKE2b takes no longer one
# The first kind of each decider; its message types follow in the order of its MESSAGES. A new decider adds a
# line here; a type is added at the end of its MESSAGES, none is ever removed.
KINDS_PER_DECIDER = 16
FIRST_KIND = {"membership": 0, "facts": 16, "leases": 32, "duties": 48, "replay": 64, "ratio": 80}
MAX_SEQUENCE = (1 << 40) - 1
# Offsets of the header's fields, in bytes.
CLUSTER_OFFSET = 2
SEQUENCE_OFFSET = 6
START_OFFSET = 11
TO_START_OFFSET = 17
NAME_LENGTH_OFFSET = 23
NAME_OFFSET = 24


class DropReason(enum.Enum):
    """Why a datagram was not accepted, or not sent."""

    TOO_LONG = "too_long"
    TOO_SHORT = "too_short"
    VERSION = "version"
    CLUSTER = "cluster"
    TAG = "tag"
    KIND = "kind"
    BODY = "body"
    SENDER_UNKNOWN = "sender_unknown"  # a name that is not permitted here, or an inactive member
    OTHER_START = "other_start"  # addressed to a predecessor of this member
    REPLAYED = "replayed"
    MEMBER_STOPPED = "silent"  # this member has left or was superseded
    BUFFER_FULL = "full"
    NO_ADDRESS = "no_address"
    NETWORK = "network"  # the system could not send it


class DatagramError(Exception):
    """A datagram that can't be accepted or sent."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A decoded datagram."""

    sender: str
    start: int  # the sender's
    to_start: int  # the recipient's as the sender knows it; 0: unknown
    sequence: int
    message: msgspec.Struct


class Codec:
    """Encodes the datagrams of one member, and decodes those of others.

    `tables`: the MESSAGES of each decider by its name in FIRST_KIND. `key`: shared by all members, 16 to 64
    bytes. ValueError where key, name or tables exceed the layout.
    """

    def __init__(
        self, cluster: str, key: bytes, name: str, tables: Mapping[str, tuple[type[msgspec.Struct], ...]]
    ) -> None:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"key: {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        self._key = key
        self._name = validated_name(name).encode()
        self._cluster = hashlib.blake2b(cluster.encode(), digest_size=4).digest()
        self._kinds: dict[type, int] = {}
        self._decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}
        for decider, message_types in tables.items():
            if len(message_types) > KINDS_PER_DECIDER:
                raise ValueError(f"{decider}: more than {KINDS_PER_DECIDER} kinds of messages")
            for kind, message_type in enumerate(message_types, FIRST_KIND[decider]):
                self._kinds[message_type] = kind
                self._decoders[kind] = msgspec.msgpack.Decoder(message_type)
        self._encoder = msgspec.msgpack.Encoder()
        self._sequence = 0

    def encode(self, message: msgspec.Struct, start: int, to_start: int) -> bytes:
        """A datagram with the next sequence number; DatagramError: it is too long, or of an unknown kind."""
        kind = self._kinds.get(type(message))
        if kind is None:
            raise DatagramError(DropReason.KIND)
        body = self._encoder.encode(message)
        if FIXED_HEADER_BYTES + len(self._name) + len(body) > MAX_DATAGRAM_BYTES:
            raise DatagramError(DropReason.TOO_LONG)
        self._sequence = self._sequence + 1 & MAX_SEQUENCE
        header = b"".join(
            (
                bytes((VERSION, kind)),
                self._cluster,
                self._sequence.to_bytes(5, "big"),
                min(start, MAX_START_NUMBER).to_bytes(6, "big"),
                min(to_start, MAX_START_NUMBER).to_bytes(6, "big"),
                bytes((len(self._name),)),
                self._name,
            )
        )
        return header + self._tag(header, body) + body

    def decode(self, datagram: bytes) -> ReceivedDatagram:
        """The contents of a datagram; DatagramError with the reason where it is invalid."""
        header, body = self._authenticate(datagram)
        decoder = self._decoders.get(header[1])
        if decoder is None:
            raise DatagramError(DropReason.KIND)
        try:
            message = decoder.decode(body)
            sender = validated_name(header[NAME_OFFSET:].decode())
        except (msgspec.MsgspecError, ValueError) as error:
            raise DatagramError(DropReason.BODY) from error
        return ReceivedDatagram(
            sender,
            start=int.from_bytes(header[START_OFFSET:TO_START_OFFSET], "big"),
            to_start=int.from_bytes(header[TO_START_OFFSET:NAME_LENGTH_OFFSET], "big"),
            sequence=int.from_bytes(header[SEQUENCE_OFFSET:START_OFFSET], "big"),
            message=message,
        )

    def _authenticate(self, datagram: bytes) -> tuple[bytes, bytes]:
        """Header with name, and body; DatagramError: it is malformed, of another cluster, or forged."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DatagramError(DropReason.TOO_LONG)
        if len(datagram) < FIXED_HEADER_BYTES + 2:  # name and body have at least one byte each
            raise DatagramError(DropReason.TOO_SHORT)
        if datagram[0] != VERSION:
            raise DatagramError(DropReason.VERSION)
        if datagram[CLUSTER_OFFSET:SEQUENCE_OFFSET] != self._cluster:
            raise DatagramError(DropReason.CLUSTER)
        tag_offset = NAME_OFFSET + datagram[NAME_LENGTH_OFFSET]
        body_offset = tag_offset + TAG_BYTES
        if body_offset >= len(datagram):
            raise DatagramError(DropReason.TOO_SHORT)
        header = datagram[:tag_offset]
        body = datagram[body_offset:]
        if not hmac.compare_digest(datagram[tag_offset:body_offset], self._tag(header, body)):
            raise DatagramError(DropReason.TAG)
        return header, body

    def _tag(self, header: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(header + body, key=self._key, digest_size=TAG_BYTES).digest()
