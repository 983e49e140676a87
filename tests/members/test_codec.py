"""Codec and replay window: messages survive a round trip, and invalid or repeated datagrams are rejected."""

import itertools

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.datagram import FIXED_HEADER_BYTES, MAX_BODY_BYTES, MAX_NAME_BYTES, MAX_START_NUMBER
from ringledge.decide.interface import MAX_DATAGRAM_BYTES
from ringledge.decide.membership import messages as membership_messages
from ringledge.decide.membership.messages import (
    Ack,
    IndirectPingRequest,
    Join,
    MemberList,
    MemberListQuery,
    MembershipUpdate,
    MemberStatus,
    Ping,
    ViewDigests,
)
from ringledge.decide.paging import BUCKET_COUNT
from ringledge.decide.records import messages as record_messages
from ringledge.decide.records.messages import (
    Record,
    RecordBatch,
    RecordRequest,
    VersionDigests,
    VersionVector,
    WriterVersion,
)
from ringledge.members.codec import FIRST_KIND, KINDS_PER_DECIDER, Codec, DatagramError, DropReason
from ringledge.members.replay_window import WINDOW_SIZE, ReplayWindow

KEY = bytes(range(32))
TABLES = {"membership": membership_messages.MESSAGES, "facts": record_messages.MESSAGES}

names = st.text(st.characters(codec="ascii", categories=["L", "N"]), min_size=1, max_size=MAX_NAME_BYTES)
starts = st.integers(0, MAX_START_NUMBER)
uint32s = st.integers(0, (1 << 32) - 1)
updates = st.builds(MembershipUpdate, names, starts, uint32s, st.sampled_from(MemberStatus), names, names)
update_lists = st.lists(updates, max_size=1).map(tuple)
digest_lists = st.lists(uint32s, min_size=BUCKET_COUNT, max_size=BUCKET_COUNT).map(tuple)
version_lists = st.lists(st.builds(WriterVersion, names, starts, uint32s), max_size=3).map(tuple)
messages = st.one_of(
    st.builds(Ping, starts, starts, uint32s, uint32s, update_lists),
    st.builds(Ack, starts, starts, uint32s, uint32s, update_lists),
    st.builds(IndirectPingRequest, starts, starts, uint32s, names),
    st.builds(Join, starts, updates),
    st.builds(MemberList, starts, starts, update_lists),
    st.just(MemberListQuery()),
    st.builds(ViewDigests, starts, starts, digest_lists),
    st.builds(VersionDigests, digest_lists),
    st.builds(VersionVector, version_lists, uint32s),
    st.builds(RecordRequest, version_lists),
    st.builds(
        RecordBatch,
        st.tuples(
            st.builds(Record, names, starts, uint32s, uint32s, names, st.none() | st.binary(max_size=70))
        ),
        st.booleans(),
    ),
)


def codec(name: str = "a", cluster: str = "yards", key: bytes = KEY) -> Codec:
    return Codec(cluster, key, name, TABLES)


def drop_reason(datagram: bytes, decoder: Codec | None = None) -> DropReason | None:
    try:
        (decoder or codec("b")).decode(datagram)
    except DatagramError as error:
        return error.reason
    return None


@settings(max_examples=300, deadline=None)
@given(messages, names, starts, starts)
def test_decoding_an_encoded_message_returns_it(
    message: msgspec.Struct, name: str, start: int, to_start: int
) -> None:
    datagram = codec(name).encode(message, start, to_start)
    received = codec("b").decode(datagram)
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    assert (received.sender, received.start, received.to_start, received.sequence) == (
        name,
        start,
        to_start,
        1,
    )
    assert received.message == message and type(received.message) is type(message)


@settings(max_examples=500, deadline=None)
@given(messages, st.data())
def test_changed_or_truncated_datagram_is_rejected(message: msgspec.Struct, data: st.DataObject) -> None:
    datagram = codec().encode(message, 5, 6)
    position = data.draw(st.integers(0, len(datagram) - 1))
    bit = data.draw(st.integers(0, 7))
    changed = datagram[:position] + bytes((datagram[position] ^ 1 << bit,)) + datagram[position + 1 :]
    assert drop_reason(changed) is not None and drop_reason(datagram[:position]) is not None


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_are_rejected(datagram: bytes) -> None:
    assert drop_reason(datagram) is not None


@settings(max_examples=500, deadline=None)
@given(st.integers(0, 255), st.binary(min_size=1, max_size=MAX_BODY_BYTES))
def test_authenticated_body_is_validated(kind: int, body: bytes) -> None:
    sender = codec()
    datagram = sender.encode(IndirectPingRequest(1, 1, 1, "x"), 1, 1)
    header = datagram[:1] + bytes((kind,)) + datagram[2 : FIXED_HEADER_BYTES - 12 + 1]
    reason = drop_reason(header + sender._tag(header, body) + body)
    if kind not in sender._decoders:
        assert reason is DropReason.KIND
    else:
        assert reason in (None, DropReason.BODY)


def test_invalid_datagrams_are_rejected_with_their_reason() -> None:
    sender = codec()
    datagram = sender.encode(IndirectPingRequest(1, 1, 1, "x"), 1, 1)
    assert drop_reason(datagram) is None
    assert drop_reason(datagram + bytes(MAX_DATAGRAM_BYTES)) is DropReason.TOO_LONG
    assert drop_reason(datagram[:30]) is DropReason.TOO_SHORT
    assert drop_reason(b"\x09" + datagram[1:]) is DropReason.VERSION
    assert drop_reason(datagram, codec("b", cluster="other")) is DropReason.CLUSTER
    assert drop_reason(datagram, codec("b", key=bytes(32))) is DropReason.TAG
    assert (
        drop_reason(
            Codec("yards", KEY, "a", {"leases": (IndirectPingRequest,)}).encode(
                IndirectPingRequest(1, 1, 1, "x"), 1, 1
            )
        )
        is DropReason.KIND
    )
    long_name = "é" * 30  # longer than any member's name may be
    sender._name = long_name.encode()
    assert drop_reason(sender.encode(IndirectPingRequest(1, 1, 1, "x"), 1, 1)) is DropReason.BODY


def test_too_long_message_is_not_encoded() -> None:
    record = Record("w", 1, 0, 1, "k", bytes(120))
    with pytest.raises(DatagramError) as raised:
        codec().encode(RecordBatch((record, record)), 1, 1)
    assert raised.value.reason is DropReason.TOO_LONG


def test_kinds_of_deciders_do_not_overlap() -> None:
    first_kinds = sorted(FIRST_KIND.values())
    assert all(after - before >= KINDS_PER_DECIDER for before, after in itertools.pairwise(first_kinds))
    assert first_kinds[-1] + KINDS_PER_DECIDER <= 256


@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 3 * WINDOW_SIZE), max_size=60))
def test_replay_window_accepts_no_sequence_number_twice(sequences: list[int]) -> None:
    window, accepted = ReplayWindow(), set[int]()
    for sequence in sequences:
        newest = max(accepted, default=sequence)
        is_new = window.accept("a", 1, sequence)
        assert is_new is (sequence not in accepted and newest - sequence < WINDOW_SIZE)
        if is_new:
            accepted.add(sequence)
    assert window.accept("a", 2, 0) and window.accept("b", 1, 0)
