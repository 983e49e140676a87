"""Messages of deciders as datagrams: packed, numbered and tagged; what is malformed is dropped by reason.

Layout, integers big-endian: version (1 byte), kind (1), cluster (4, hash of its name), number (5, counts the
sender's datagrams), the sender's start (6), the receiver's start as the sender knows it (6, 0: not known),
length of the sender's name (1), the name, tag (12, BLAKE2b keyed with the cluster's key over all other
bytes), body (msgpack). 256 bytes at most.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from ringledge.decide.datagram import FIXED_HEADER_BYTES, MAX_NAME_BYTES, MAX_START, TAG_BYTES, validated_name
from ringledge.decide.interface import MAX_DATAGRAM_BYTES

VERSION = 1
# The first kind of each decider; its message types follow in the order of its MESSAGES, at most SPAN of them.
# A new decider adds a line here; a type is added at the end of its MESSAGES, none is ever taken out.
SPAN = 16
FIRST_KIND = {"membership": 0, "facts": 16, "leases": 32, "duties": 48, "replay": 64, "ratio": 80}
NUMBER_MOST = (1 << 40) - 1
HEAD = FIXED_HEADER_BYTES - TAG_BYTES  # up to the name


class Drop(enum.Enum):
    """Why a datagram was not taken, or not sent."""

    TOO_LONG = "too_long"
    TOO_SHORT = "too_short"
    VERSION = "version"
    CLUSTER = "cluster"
    TAG = "tag"
    KIND = "kind"
    BODY = "body"
    SENDER_UNKNOWN = "sender_unknown"  # a name that may not talk here, or a member that is not there
    OTHER_START = "other_start"  # meant for a predecessor of ours
    REPLAYED = "replayed"
    SILENT = "silent"  # this member has left or has a successor
    FULL = "full"  # the queue has no room
    NO_ADDRESS = "no_address"
    NETWORK = "network"  # the system would not send it


class MalformedError(Exception):
    """A datagram that can't be read."""

    def __init__(self, why: Drop) -> None:
        super().__init__(why.value)
        self.why = why


@dataclass(frozen=True, slots=True)
class Heard:
    """One datagram as it was read."""

    sender: str
    start: int  # the sender's
    to_start: int  # ours as the sender knows it; 0: not known
    number: int
    message: msgspec.Struct


class Codec:
    """Packs what one member says and reads what it hears.

    `tables`: the MESSAGES of each decider by its name in FIRST_KIND. `key`: 16 to 64 bytes, all members' own.
    """

    def __init__(
        self, cluster: str, key: bytes, name: str, tables: Mapping[str, tuple[type[msgspec.Struct], ...]]
    ) -> None:
        if not 16 <= len(key) <= 64:
            raise ValueError("key: 16 to 64 bytes")
        self._key, self._name = key, validated_name(name).encode()
        self._cluster = hashlib.blake2b(cluster.encode(), digest_size=4).digest()
        self._kinds: dict[type, int] = {}
        self._readers: dict[int, msgspec.msgpack.Decoder[Any]] = {}
        for decider, types in tables.items():
            if len(types) > SPAN:
                raise ValueError(f"{decider}: more than {SPAN} kinds of messages")
            for kind, each in enumerate(types, FIRST_KIND[decider]):
                self._kinds[each] = kind
                self._readers[kind] = msgspec.msgpack.Decoder(each)
        self._encoder = msgspec.msgpack.Encoder()
        self._number = 0

    def pack(self, message: msgspec.Struct, start: int, to_start: int) -> bytes:
        """One datagram; MalformedError where it would be longer than all may be, or is of no known kind."""
        kind = self._kinds.get(type(message))
        if kind is None:
            raise MalformedError(Drop.KIND)
        body = self._encoder.encode(message)
        if FIXED_HEADER_BYTES + len(self._name) + len(body) > MAX_DATAGRAM_BYTES:
            raise MalformedError(Drop.TOO_LONG)
        self._number = self._number + 1 & NUMBER_MOST
        head = b"".join(
            (
                bytes((VERSION, kind)),
                self._cluster,
                self._number.to_bytes(5, "big"),
                min(start, MAX_START).to_bytes(6, "big"),
                min(to_start, MAX_START).to_bytes(6, "big"),
                bytes((len(self._name),)),
                self._name,
            )
        )
        return head + self._tag(head, body) + body

    def read(self, datagram: bytes) -> Heard:
        """What a datagram says; MalformedError with the reason where it says nothing for us."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise MalformedError(Drop.TOO_LONG)
        if len(datagram) < FIXED_HEADER_BYTES + 2:  # a name and a body have a byte at least
            raise MalformedError(Drop.TOO_SHORT)
        if datagram[0] != VERSION:
            raise MalformedError(Drop.VERSION)
        if datagram[2:6] != self._cluster:
            raise MalformedError(Drop.CLUSTER)
        named = HEAD + datagram[HEAD - 1]
        if named + TAG_BYTES >= len(datagram):
            raise MalformedError(Drop.TOO_SHORT)
        head, tag, body = datagram[:named], datagram[named : named + TAG_BYTES], datagram[named + TAG_BYTES :]
        if not hmac.compare_digest(tag, self._tag(head, body)):
            raise MalformedError(Drop.TAG)
        reader = self._readers.get(datagram[1])
        if reader is None:
            raise MalformedError(Drop.KIND)
        try:
            message = reader.decode(body)
            sender = validated_name(datagram[HEAD:named].decode())
        except (msgspec.MsgspecError, ValueError) as error:
            raise MalformedError(Drop.BODY) from error
        number = int.from_bytes(datagram[6:11], "big")
        start, to_start = int.from_bytes(datagram[11:17], "big"), int.from_bytes(datagram[17:23], "big")
        return Heard(sender, start, to_start, number, message)

    def _tag(self, head: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(head + body, key=self._key, digest_size=TAG_BYTES).digest()


__all__ = ["FIRST_KIND", "MAX_NAME_BYTES", "SPAN", "VERSION", "Codec", "Drop", "Heard", "MalformedError"]
