"""A datagram of each message kind, and keys and values of records, with fixed contents."""

from __future__ import annotations

import msgspec

from ringledge.decide.interface import ClassDemand, QueueBacklog, RoleAssignment, ServerObservation
from ringledge.decide.leases import messages as leases
from ringledge.decide.membership import messages as membership
from ringledge.decide.paging import BUCKET_COUNT
from ringledge.decide.ratio import role_records as role_rows
from ringledge.decide.records import messages as records
from ringledge.decide.replay.capacity_loans import CapacityLoans, LoanGrant, LoanRequest
from ringledge.members.codec import Codec

KEY = bytes(range(32))
TABLES = {"membership": membership.MESSAGES, "facts": records.MESSAGES, "leases": leases.MESSAGES}
UPDATE = membership.MembershipUpdate("n1", 77, 3, membership.MemberStatus.SUSPECT, "10.0.0.1:9000", "north")
DIGESTS = tuple(range(BUCKET_COUNT))
RECORD = records.Record("n1", 77, 4, 5, "server/s1", b"\x01\x02")
VERSION = records.WriterVersion("n1", 77, 5)

MESSAGES: tuple[msgspec.Struct, ...] = (
    membership.Ping(77, 78, 9, 1234, (UPDATE,)),
    membership.Ack(78, 77, 9, 4321, ()),
    membership.IndirectPingRequest(77, 78, 9, "n3"),
    membership.Join(0, UPDATE),
    membership.MemberList(77, 78, (UPDATE,)),
    membership.MemberListQuery(),
    membership.ViewDigests(77, 78, DIGESTS),
    records.VersionDigests(DIGESTS),
    records.VersionVector((VERSION,), 6),
    records.RecordRequest((VERSION,)),
    records.RecordBatch((RECORD, records.Record("n1", 77, 5, 6, "k", None)), True),
    leases.PrepareRequest("planner", 77, 2, True, 99),
    leases.PrepareResponse("planner", 77, 2, 2**50),
    leases.ProposeRequest("planner", 77, 2**50 + 1, 4, 3000, True, 99),
    leases.ProposeAccepted("planner", 77, 2**50 + 1, 4),
    leases.Rejected("planner", 77, 2, 0, 2**50, "n2", 1500),
    leases.LeaseRelease("planner", 77, 2**50 + 1),
    leases.LeaseReleased("planner", 2**50 + 1, True),
    leases.StateTransferRequest(77, 99),
    leases.StateTransferResponse(77, 78, True, 2**50, 99),
)
RECORD_VALUES: dict[str, msgspec.Struct] = {
    "demand/query": ClassDemand(3.5, 900.0, 120.0),
    "server/s1": ServerObservation(7000.0, 0.0, 0.5, 2),
    "backlog/north": QueueBacklog(7, 12, 30.5, 1.5, 4000.0),
}


def encoded_messages() -> list[bytes]:
    """All messages, encoded in this order by one sender."""
    codec = Codec("yards", KEY, "n1", TABLES)
    return [codec.encode(message, 77, 78) for message in MESSAGES]


def _loan_records() -> dict[str, LoanRequest | LoanGrant]:
    """The records of a site that requests capacity and of one that lends it."""
    weights = {"north": 1.0, "south": 1.0}
    borrower, lender = CapacityLoans("north", weights, 5, 0.0), CapacityLoans("south", weights, 6, 0.0)
    borrower.update_demand(0.0, 0.75)
    rows = borrower.records()
    requests = {key.removeprefix("want/"): row for key, row in rows.items() if isinstance(row, LoanRequest)}
    lender.receive(20.0, requests, {})
    return rows | lender.records()


def record_rows() -> dict[str, bytes]:
    """The records, as encoded values by key."""
    rows = {key: msgspec.msgpack.encode(row) for key, row in (RECORD_VALUES | _loan_records()).items()}
    key, value = role_rows.encode_assignment("s1", RoleAssignment(9, 4, "read"))
    return rows | {key: value}


def write_datagrams() -> dict[str, bytes]:
    """The golden files, by name."""
    rows = (f"{key} {value.hex()}" for key, value in sorted(record_rows().items()))
    return {
        "datagrams.hex": "\n".join(each.hex() for each in encoded_messages()).encode() + b"\n",
        "records.hex": "\n".join(rows).encode() + b"\n",
    }
