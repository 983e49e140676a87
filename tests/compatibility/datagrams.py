"""One datagram of each kind, and the keys and values of records, with fixed contents."""

from __future__ import annotations

import msgspec

from ringledge.decide.interface import ClassDemand, QueueBacklog, RoleAssignment, ServerObservation
from ringledge.decide.leases import messages as leases
from ringledge.decide.membership import messages as membership
from ringledge.decide.paging import BUCKETS
from ringledge.decide.ratio import role_records as role_rows
from ringledge.decide.records import messages as records
from ringledge.decide.replay.capacity_loans import CapacityLoans, LoanGrant, LoanRequest
from ringledge.members.codec import Codec

KEY = bytes(range(32))
TABLES = {"membership": membership.MESSAGES, "facts": records.MESSAGES, "leases": leases.MESSAGES}
NEWS = membership.News("n1", 77, 3, membership.Status.SUSPECT, "10.0.0.1:9000", "north")
SUMS = tuple(range(BUCKETS))
RECORD = records.Record("n1", 77, 4, 5, "server/s1", b"\x01\x02")
ROW = records.Row("n1", 77, 5)

MESSAGES: tuple[msgspec.Struct, ...] = (
    membership.Ping(77, 78, 9, 1234, (NEWS,)),
    membership.Ack(78, 77, 9, 4321, ()),
    membership.Ask(77, 78, 9, "n3"),
    membership.Join(0, NEWS),
    membership.Roster(77, 78, (NEWS,)),
    membership.Look(),
    membership.Views(77, 78, SUMS),
    records.Sums(SUMS),
    records.Rows((ROW,), 6),
    records.Wants((ROW,)),
    records.Records((RECORD, records.Record("n1", 77, 5, 6, "k", None)), True),
    leases.Ask("planner", 77, 2, True, 99),
    leases.Promise("planner", 77, 2, 2**50),
    leases.Take("planner", 77, 2**50 + 1, 4, 3000, True, 99),
    leases.Taken("planner", 77, 2**50 + 1, 4),
    leases.Refused("planner", 77, 2, 0, 2**50, "n2", 1500),
    leases.Release("planner", 77, 2**50 + 1),
    leases.Freed("planner", 2**50 + 1, True),
    leases.Learn(77, 99),
    leases.Known(77, 78, True, 2**50, 99),
)
ROWS: dict[str, msgspec.Struct] = {
    "demand/query": ClassDemand(3.5, 900.0, 120.0),
    "server/s1": ServerObservation(7000.0, 0.0, 0.5, 2),
    "backlog/north": QueueBacklog(7, 12, 30.5, 1.5, 4000.0),
}


def packed() -> list[bytes]:
    """All messages as one sender packs them, in this order."""
    codec = Codec("yards", KEY, "n1", TABLES)
    return [codec.pack(message, 77, 78) for message in MESSAGES]


def _lending_rows() -> dict[str, LoanRequest | LoanGrant]:
    """A site's rows: it asks for capacity, and lends some."""
    weights = {"north": 1.0, "south": 1.0}
    asking, lending = CapacityLoans("north", weights, 5, 0.0), CapacityLoans("south", weights, 6, 0.0)
    asking.update_demand(0.0, 0.75)
    rows = asking.records()
    wants = {key.removeprefix("want/"): row for key, row in rows.items() if isinstance(row, LoanRequest)}
    lending.receive(20.0, wants, {})
    return rows | lending.records()


def record_rows() -> dict[str, bytes]:
    """Keys and values of records."""
    rows = {key: msgspec.msgpack.encode(row) for key, row in (ROWS | _lending_rows()).items()}
    key, value = role_rows.encode_assignment("s1", RoleAssignment(9, 4, "read"))
    return rows | {key: value}


def write_datagrams() -> dict[str, bytes]:
    """The golden files by name."""
    rows = (f"{key} {value.hex()}" for key, value in sorted(record_rows().items()))
    return {
        "datagrams.hex": "\n".join(each.hex() for each in packed()).encode() + b"\n",
        "records.hex": "\n".join(rows).encode() + b"\n",
    }
