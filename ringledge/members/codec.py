"""Encodes messages between deciders as numbered, authenticated datagrams, and validates received ones.

A datagram has at most 256 bytes. Its fields, with integers in big-endian order:

    version          1 byte
    message kind     1 byte
    cluster          4 bytes, hash of the cluster's name
    sequence number  5 bytes, counts the sender's datagrams
    start            6 bytes, start number of the sender
    recipient start  6 bytes, start number of the recipient as known to the sender; 0 if unknown
    name length      1 byte
    name             the sender's name
    tag              12 bytes, BLAKE2b over all other bytes, keyed with the cluster's key
    body             msgpack
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
MAX_KEY_BYTES = 64  # limit of BLAKE2b
# Each decider has a range of message kinds, one per type in the order of its MESSAGES. Kinds are part of the
# wire format: append new types to MESSAGES and never remove any; a new decider gets a new range here.
KINDS_PER_DECIDER = 16
FIRST_KIND = {"membership": 0, "facts": 16, "leases": 32, "duties": 48, "replay": 64, "ratio": 80}
MAX_SEQUENCE = (1 << 40) - 1
# Offsets of header fields in bytes.
CLUSTER_OFFSET = 2
SEQUENCE_OFFSET = 6
START_OFFSET = 11
TO_START_OFFSET = 17
NAME_LENGTH_OFFSET = 23
NAME_OFFSET = 24


class DropReason(enum.Enum):
    """Why a datagram was not accepted or not sent. The values are metric labels and appear in logs."""

    TOO_LONG = "too_long"
    TOO_SHORT = "too_short"
    VERSION = "version"
    CLUSTER = "cluster"
    TAG = "tag"
    KIND = "kind"
    BODY = "body"
    SENDER_UNKNOWN = "sender_unknown"  # not permitted to join, or not an active member
    OTHER_START = "other_start"  # addressed to another start of this member, such as a predecessor
    REPLAYED = "replayed"
    MEMBER_STOPPED = "silent"  # the local member has left or was superseded
    BUFFER_FULL = "full"  # the send or receive buffer of the socket
    NO_ADDRESS = "no_address"
    NETWORK = "network"  # the operating system failed to send it


class DatagramError(Exception):
    """A datagram cannot be accepted or sent."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A decoded and authenticated datagram."""

    sender: str
    start: int  # start number of the sender
    to_start: int  # start number of the recipient as known to the sender; 0 if unknown
    sequence: int
    message: msgspec.Struct


class Codec:
    """Encodes the datagrams of the local member and decodes those of others.

    `tables` maps the decider names in FIRST_KIND to their MESSAGES. `key` is shared by all members and has 16
    to 64 bytes. Raises ValueError if the key, the name or a table does not fit the datagram format.
    """

    def __init__(
        self, cluster: str, key: bytes, name: str, tables: Mapping[str, tuple[type[msgspec.Struct], ...]]
    ) -> None:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"key: length must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        self._key = key
        self._name = validated_name(name).encode()
        self._cluster = hashlib.blake2b(cluster.encode(), digest_size=4).digest()
        self._kinds: dict[type, int] = {}
        self._decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}
        for decider, message_types in tables.items():
            if len(message_types) > KINDS_PER_DECIDER:
                raise ValueError(f"{decider}: more than {KINDS_PER_DECIDER} message types")
            for kind, message_type in enumerate(message_types, FIRST_KIND[decider]):
                self._kinds[message_type] = kind
                self._decoders[kind] = msgspec.msgpack.Decoder(message_type)
        self._encoder = msgspec.msgpack.Encoder()
        self._sequence = 0

    def encode(self, message: msgspec.Struct, start: int, to_start: int) -> bytes:
        """Encode a message under the next sequence number.

        Raises DatagramError if the datagram would be too long or no decider has this type of message.
        """
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
        """Authenticate and decode a datagram; raises DatagramError with the reason if it is invalid."""
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
        """Return the header, including the name, and the body.

        Raises DatagramError if the datagram is malformed, of another cluster, or wrongly authenticated.
        """
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DatagramError(DropReason.TOO_LONG)
        if len(datagram) < FIXED_HEADER_BYTES + 2:  # at least one byte each of name and body
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
