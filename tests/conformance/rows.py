"""What the design wants kept, a row each, without tuned values: "clearly" is shown at both ends."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from ringledge.routing.endpoint_registry import AFFINITY_TTL_MS, EXPIRY_CHECK_MS
from ringledge.routing.interface import (
    ServerEntry,
)
from tests.router_harness import DECODE_KIND, FLEET, MIXED_KIND, PREFILL_KIND, server_entry


@dataclass(frozen=True)
class HashTo:
    """A session or prefix that rendezvous hashing maps to this server."""

    server: str


@dataclass(frozen=True)
class OtherHash:
    """A session or prefix that it maps to another server than the one that prefilled this request."""

    request: str


@dataclass(frozen=True)
class Step:
    """One event: `name` is a request, or a server where the event concerns the list."""

    what: str
    name: str = ""
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Row:
    """`id` names the claim, `description` states it; it holds for each seed and router, `all_of` over all."""

    id: str
    description: str
    steps: tuple[Step, ...]
    fleet: tuple[ServerEntry, ...] = FLEET
    same: tuple[tuple[str, ...], ...] = ()  # read at one server
    differ: tuple[tuple[str, str], ...] = ()  # read at two
    unless: tuple[str, tuple[tuple[str, str], ...]] = ("", ())  # pairs read at one, unless one is at that
    few: tuple[str, ...] = ()  # read at half of the readers at most
    reads: Mapping[str, set[str]] = field(default_factory=dict)  # where a request may be read
    writes: Mapping[str, set[str]] = field(default_factory=dict)  # where it may be written
    sends: Mapping[str, int] = field(default_factory=dict)  # how often it was sent
    all_of: Mapping[str, set[str]] = field(default_factory=dict)  # writers that it has over the seeds
    agree: tuple[str, ...] = ()  # read at the same server by every router
    entries: int | None = None  # sessions left in the table
    wire: bool = False  # it shows on the wire too


def step(what: str, name: str = "", **told: Any) -> Step:
    return Step(what, name, told)


serve = partial(step, "serve")  # from its arrival to its end
ask = partial(step, "ask")  # it comes, and nobody has answered it yet
read, ends, cancelled = partial(step, "read"), partial(step, "ends"), partial(step, "cancelled")
leaves, drains, up = partial(step, "leaves"), partial(step, "drains"), partial(step, "up")

IDLE = step("rest", ms=AFFINITY_TTL_MS + 2 * EXPIRY_CHECK_MS)
NEARLY = step("rest", ms=0.7 * AFFINITY_TTL_MS)
KNOWN = tuple(serve(f"k{n}", session=5000 + n) for n in range(8))  # from here on the pace of reads is known
READERS = {"r0", "r1", "r2", "r3"}
KEYS = range(1, 31)
ONE_MIXED = (server_entry("m", MIXED_KIND), server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND))
LONG = 100_000


def place(cell: int, zone: int, reader: str, writer: str) -> tuple[ServerEntry, ...]:
    return tuple(
        replace(server_entry(n, kind, cell), zone=zone)
        for n, kind in ((reader, PREFILL_KIND), (writer, DECODE_KIND))
    )


NEAR, MATE, ABROAD = place(0, 0, "r", "near"), place(1, 0, "s", "mate"), place(2, 1, "t", "abroad")
PLACES = (*NEAR, *MATE, *ABROAD)
CELLS = (*NEAR, *MATE)


def by_hash(mark: str) -> tuple[Step, ...]:
    """A request for each key, each of a session of its own."""
    first = 1000 if mark == "a" else 2000
    return tuple(serve(f"{mark}{key}", session=first + key, prefix=key) for key in KEYS)


def beside(**told: Any) -> tuple[Step, ...]:
    """A stream runs at the writer near the reader, as only that one was up; then a request is read there."""
    others = [each.server for each in PLACES if each.kind == DECODE_KIND and each.server != "near"]
    key = {"session": HashTo("r")}
    before = (*(drains(each) for each in others), ask("h", **key, **told), read("h"))
    return (*before, *(up(each) for each in others), ask("a", **key), read("a"))


ROWS = (
    Row("home-holds", "a later turn is read where the earlier was, whatever the hash says of its beginning",
        (serve("a", session=7), serve("b", session=7, prefix=OtherHash("a"))), same=(("a", "b"),), wire=True),
    Row("home-slides", "each turn begins the age anew, so a session in use outlives it",
        (serve("a", session=7), *(each for n in range(4) for each in (
            NEARLY, serve(f"b{n}", session=7, prefix=OtherHash("a"))))), same=(("a", "b0", "b1", "b2",
         "b3"),)),
    Row("home-ages", "left alone for longer than the age, a session is unknown again",
        (serve("a", session=7), IDLE, serve("b", session=7, prefix=OtherHash("a"))), differ=(("a", "b"),)),
    Row("home-reaped", "idle entries go by themselves, without a request",
        (serve("a", session=7), serve("b", session=8), IDLE), entries=0),
    Row("homes-apart", "each session has its own entry",
        (serve("a", session=7), serve("b", session=8, prefix=OtherHash("a")),
         serve("c", session=7, prefix=OtherHash("a")), serve("d", session=8)), same=(("a", "c"), ("b", "d")),
        differ=(("a", "b"),), wire=True),
    Row("home-left", "a session whose server is not listed any more goes by the hash",
        (serve("a", session=7), leaves("@a"), serve("b", session=7)), differ=(("a", "b"),)),
    Row("home-silent", "a server that says nothing keeps no session that was read elsewhere meanwhile",
        (serve("a", session=7), ask("b", session=7), step("rest", ms=2000), cancelled("b"), read("b"),
         ends("b"), serve("c", session=7)), same=(("b", "c"),), differ=(("a", "c"),)),
    Row("hash-beginning", "a beginning gathers at few servers, whoever asks",
        tuple(serve(f"a{n}", session=n, prefix=3, prefix_tokens=900) for n in range(12)),
        few=tuple(f"a{n}" for n in range(12)), wire=True),
    Row("hash-agrees", "each router reads a beginning that is new to it at the same server",
        (serve("a", session=1, prefix=3),), agree=("a",), wire=True),
    Row("hash-session", "a session that shares no beginning goes by itself, on every router alike",
        (serve("a", session=11),), agree=("a",), wire=True),
    Row("hash-leaver", "a server that goes moves the keys that it had, and no others",
        (*KNOWN, *by_hash("a"), leaves("r1"), *by_hash("b")),
        unless=("r1", tuple((f"a{key}", f"b{key}") for key in KEYS))),
    Row("hash-comer", "a server that comes takes keys to itself and moves no others",
        (*KNOWN, leaves("r1"), *by_hash("a"), up("r1"), *by_hash("b")),
        unless=("r1", tuple((f"a{key}", f"b{key}") for key in KEYS))),
    Row("hash-ready", "only servers that are up take part",
        (drains("r0"), serve("a", session=1, prefix=HashTo("r0"))), reads={"a": READERS - {"r0"}}),
    Row("no-key", "left open: a request with no key at all is read somewhere",
        (serve("a"),), reads={"a": READERS}, sends={"a": 2}),
    Row("mixed-hashed", "the hash covers mixed servers, and they write what they read",
        (ask("a", session=HashTo("m")), ends("a")), ONE_MIXED, reads={"a": {"m"}}, sends={"a": 1}),
    Row("mixed-home", "a session that a mixed server answered returns to it",
        (ask("a", session=HashTo("m")), ends("a"), ask("b", session=HashTo("m"), prefix=OtherHash("a"))),
        ONE_MIXED, same=(("a", "b"),)),
    Row("long-to-readers", "a prompt with a long new part is for readers only",
        (ask("a", session=HashTo("m"), prompt_tokens=LONG),), ONE_MIXED, reads={"a": {"r"}}),
    Row("long-but-kept", "what counts is the part that is not kept",
        (ask("a", session=HashTo("m")), ends("a"), *(each for n in range(2, 12) for each in (
            ask(f"a{n}", session=HashTo("m"), prompt_tokens=1000 * n), ends(f"a{n}")))),
        ONE_MIXED, reads={"a11": {"m"}}),
    Row("late-one", "no writer is held while a prompt is read",
        (ask("a", session=7),), reads={"a": READERS}, sends={"a": 1}, wire=True),
    Row("late-leaver", "the choice sees that a writer went during the read",
        (ask("a", session=HashTo("r")), leaves("near"), read("a")), CELLS, writes={"a": {"mate"}}),
    Row("late-comer", "the choice sees that a writer came during the read",
        (leaves("near"), ask("a", session=HashTo("r")), up("near"), read("a")), CELLS,
        writes={"a": {"near"}}),
    Row("near-alike", "among writers alike the one in the reader's cell is taken, drawn from all there",
        (ask("a", session=HashTo("r0")), read("a")), writes={"a": {"w0", "w1"}}, all_of={"a": {"w0", "w1"}}),
    Row("near-slightly", "the farther one is not taken for a little less",
        beside(prompt_tokens=10, max_output_tokens=10), PLACES, writes={"h": {"near"}, "a": {"near"}}),
    Row("far-clearly", "the farther one, of the reader's zone, is taken where it has clearly less",
        beside(prompt_tokens=LONG), PLACES, writes={"h": {"near"}, "a": {"mate"}}),
    Row("far-else-any", "where neither cell nor zone has a writer, any will do",
        (leaves("near"), leaves("mate"), ask("a", session=HashTo("r")), read("a")), PLACES,
        writes={"a": {"abroad"}}),
    Row("tokens-bound", "what a stream may produce counts as under way",
        beside(prompt_tokens=10, max_output_tokens=LONG), PLACES, writes={"a": {"mate"}}),
    Row("tokens-hint", "a hint of its length counts in place of that",
        beside(prompt_tokens=10, max_output_tokens=LONG, hint_ms=1), PLACES, writes={"a": {"near"}}),
    Row("tokens-ended", "a stream that has ended counts no more",
        (*beside(prompt_tokens=LONG), ends("a"), ends("h"),
         ask("b", session=HashTo("r")), read("b")), PLACES, writes={"a": {"mate"}, "b": {"near"}}),
)  # fmt: skip
BY_ID = {row.id: row for row in ROWS}
