"""What goes through the codec comes out as it was; what is malformed is dropped by its reason."""

import itertools

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.datagram import FIXED_HEADER_BYTES, MAX_BODY_BYTES, MAX_NAME_BYTES, MAX_START
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
from ringledge.decide.records import messages as facts_messages
from ringledge.decide.records.messages import (
    Record,
    RecordBatch,
    RecordRequest,
    VersionDigests,
    VersionVector,
    WriterVersion,
)
from ringledge.members.codec import FIRST_KIND, SPAN, Codec, Drop, MalformedError
from ringledge.members.replay_window import WINDOW, Guard

KEY = bytes(range(32))
TABLES = {"membership": membership_messages.MESSAGES, "facts": facts_messages.MESSAGES}

names = st.text(st.characters(codec="ascii", categories=["L", "N"]), min_size=1, max_size=MAX_NAME_BYTES)
starts = st.integers(0, MAX_START)
words = st.integers(0, (1 << 32) - 1)
news = st.builds(MembershipUpdate, names, starts, words, st.sampled_from(MemberStatus), names, names)
few = st.lists(news, max_size=1).map(tuple)
sums = st.lists(words, min_size=BUCKET_COUNT, max_size=BUCKET_COUNT).map(tuple)
rows = st.lists(st.builds(WriterVersion, names, starts, words), max_size=3).map(tuple)
messages = st.one_of(
    st.builds(Ping, starts, starts, words, words, few),
    st.builds(Ack, starts, starts, words, words, few),
    st.builds(IndirectPingRequest, starts, starts, words, names),
    st.builds(Join, starts, news),
    st.builds(MemberList, starts, starts, few),
    st.just(MemberListQuery()),
    st.builds(ViewDigests, starts, starts, sums),
    st.builds(VersionDigests, sums),
    st.builds(VersionVector, rows, words),
    st.builds(RecordRequest, rows),
    st.builds(
        RecordBatch,
        st.tuples(st.builds(Record, names, starts, words, words, names, st.none() | st.binary(max_size=70))),
        st.booleans(),
    ),
)


def codec(name: str = "a", cluster: str = "yards", key: bytes = KEY) -> Codec:
    return Codec(cluster, key, name, TABLES)


def why(datagram: bytes, reader: Codec | None = None) -> Drop | None:
    try:
        (reader or codec("b")).read(datagram)
    except MalformedError as error:
        return error.why
    return None


@settings(max_examples=300, deadline=None)
@given(messages, names, starts, starts)
def test_round_trip(message: msgspec.Struct, name: str, start: int, to_start: int) -> None:
    packed = codec(name).pack(message, start, to_start)
    heard = codec("b").read(packed)
    assert len(packed) <= MAX_DATAGRAM_BYTES
    assert (heard.sender, heard.start, heard.to_start, heard.number) == (name, start, to_start, 1)
    assert heard.message == message and type(heard.message) is type(message)


@settings(max_examples=500, deadline=None)
@given(messages, st.data())
def test_any_byte_changed_or_cut_off_is_noticed(message: msgspec.Struct, data: st.DataObject) -> None:
    packed = codec().pack(message, 5, 6)
    at = data.draw(st.integers(0, len(packed) - 1))
    bit = data.draw(st.integers(0, 7))
    changed = packed[:at] + bytes((packed[at] ^ 1 << bit,)) + packed[at + 1 :]
    assert why(changed) is not None and why(packed[:at]) is not None


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=300))
def test_noise_says_nothing(noise: bytes) -> None:
    assert why(noise) is not None


@settings(max_examples=500, deadline=None)
@given(st.integers(0, 255), st.binary(min_size=1, max_size=MAX_BODY_BYTES))
def test_a_body_of_one_who_has_the_key_is_checked_too(kind: int, body: bytes) -> None:
    sender = codec()
    packed = sender.pack(IndirectPingRequest(1, 1, 1, "x"), 1, 1)
    head = packed[:1] + bytes((kind,)) + packed[2 : FIXED_HEADER_BYTES - 12 + 1]
    reason = why(head + sender._tag(head, body) + body)
    if kind not in sender._readers:
        assert reason is Drop.KIND
    else:
        assert reason in (None, Drop.BODY)


def test_each_reason() -> None:
    sender = codec()
    packed = sender.pack(IndirectPingRequest(1, 1, 1, "x"), 1, 1)
    assert why(packed) is None
    assert why(packed + bytes(MAX_DATAGRAM_BYTES)) is Drop.TOO_LONG
    assert why(packed[:30]) is Drop.TOO_SHORT
    assert why(b"\x09" + packed[1:]) is Drop.VERSION
    assert why(packed, codec("b", cluster="other")) is Drop.CLUSTER
    assert why(packed, codec("b", key=bytes(32))) is Drop.TAG
    assert (
        why(
            Codec("yards", KEY, "a", {"leases": (IndirectPingRequest,)}).pack(
                IndirectPingRequest(1, 1, 1, "x"), 1, 1
            )
        )
        is Drop.KIND
    )
    long_name = "é" * 30  # a name that no member has: its writer keeps other rules
    sender._name = long_name.encode()
    assert why(sender.pack(IndirectPingRequest(1, 1, 1, "x"), 1, 1)) is Drop.BODY


def test_what_is_too_long_is_never_packed() -> None:
    record = Record("w", 1, 0, 1, "k", bytes(120))
    with pytest.raises(MalformedError) as told:
        codec().pack(RecordBatch((record, record)), 1, 1)
    assert told.value.why is Drop.TOO_LONG


def test_kinds_of_deciders_do_not_meet() -> None:
    firsts = sorted(FIRST_KIND.values())
    assert all(after - before >= SPAN for before, after in itertools.pairwise(firsts))
    assert firsts[-1] + SPAN <= 256


@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 3 * WINDOW), max_size=60))
def test_no_number_of_a_start_is_fresh_twice(numbers: list[int]) -> None:
    guard, taken = Guard(), set[int]()
    for number in numbers:
        newest = max(taken, default=number)
        fresh = guard.fresh("a", 1, number)
        assert fresh is (number not in taken and newest - number < WINDOW)
        if fresh:
            taken.add(number)
    assert guard.fresh("a", 2, 0) and guard.fresh("b", 1, 0)
