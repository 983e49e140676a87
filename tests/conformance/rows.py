"""The conformance rows: requirements on the choice of servers that hold whatever the tuned constants are.

Where a requirement depends on a threshold, one row is far below it and another far above it.
"""

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
    """A session or prefix that rendezvous hashing maps to a server that did not prefill `request`."""

    request: str


@dataclass(frozen=True)
class Step:
    """An event of a row. `name` is a request, or a server if the event changes the endpoint list."""

    what: str
    name: str = ""
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Row:
    """A requirement with the steps that test it and the expected placements of the requests.

    The expectations hold for each seed and router; `all_of` and `agree` are evaluated over all of them.
    """

    id: str
    description: str
    steps: tuple[Step, ...]
    fleet: tuple[ServerEntry, ...] = FLEET
    same: tuple[tuple[str, ...], ...] = ()  # requests prefilled at the same server
    differ: tuple[tuple[str, str], ...] = ()  # requests prefilled at different servers
    # pairs prefilled at the same server, unless one of the two is at the named server
    unless: tuple[str, tuple[tuple[str, str], ...]] = ("", ())
    few: tuple[str, ...] = ()  # prefilled at no more than half of the prefill servers
    reads: Mapping[str, set[str]] = field(default_factory=dict)  # servers that may prefill a request
    writes: Mapping[str, set[str]] = field(default_factory=dict)  # servers that may decode it
    sends: Mapping[str, int] = field(default_factory=dict)  # number of attempts
    all_of: Mapping[str, set[str]] = field(default_factory=dict)  # decode servers used over all seeds
    agree: tuple[str, ...] = ()  # every router prefills it at the same server
    entries: int | None = None  # affinity entries at the end
    wire: bool = False  # also run against the program


def step(what: str, name: str = "", **fields: Any) -> Step:
    return Step(what, name, fields)


serve = partial(step, "serve")  # a request from arrival to end
ask = partial(step, "ask")  # a request arrives; its prefill is not answered yet
read, ends, cancelled = partial(step, "read"), partial(step, "ends"), partial(step, "cancelled")
leaves, drains, up = partial(step, "leaves"), partial(step, "drains"), partial(step, "up")

REST_OVER_TTL = step("rest", ms=AFFINITY_TTL_MS + 2 * EXPIRY_CHECK_MS)
REST_UNDER_TTL = step("rest", ms=0.7 * AFFINITY_TTL_MS)
MEASURED = tuple(
    serve(f"k{n}", session=5000 + n) for n in range(8)
)  # afterwards the prefill pace of the servers is known
READER_NAMES = {"r0", "r1", "r2", "r3"}
PREFIX_KEYS = range(1, 31)
ONE_MIXED = (server_entry("m", MIXED_KIND), server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND))
MANY_TOKENS = 100_000


def location(cell: int, zone: int, reader: str, writer: str) -> tuple[ServerEntry, ...]:
    return tuple(
        replace(server_entry(n, kind, cell), zone=zone)
        for n, kind in ((reader, PREFILL_KIND), (writer, DECODE_KIND))
    )


SAME_CELL, OTHER_CELL, OTHER_ZONE = (
    location(0, 0, "r", "near"),
    location(1, 0, "s", "mate"),
    location(2, 1, "t", "abroad"),
)
LOCATIONS = (*SAME_CELL, *OTHER_CELL, *OTHER_ZONE)
TWO_CELLS = (*SAME_CELL, *OTHER_CELL)


def request_per_prefix(name_prefix: str) -> tuple[Step, ...]:
    """One request per prefix key, each of a different session."""
    first = 1000 if name_prefix == "a" else 2000
    return tuple(serve(f"{name_prefix}{key}", session=first + key, prefix=key) for key in PREFIX_KEYS)


def beside_stream(**fields: Any) -> tuple[Step, ...]:
    """A stream runs at the writer in the reader's cell, the only one up; then a request is prefilled."""
    others = [each.server for each in LOCATIONS if each.kind == DECODE_KIND and each.server != "near"]
    key = {"session": HashTo("r")}
    before = (*(drains(each) for each in others), ask("h", **key, **fields), read("h"))
    return (*before, *(up(each) for each in others), ask("a", **key), read("a"))


ROWS = (
    Row("home-holds", "a later turn of a session is prefilled at the same server, whatever its prefix",
        (serve("a", session=7), serve("b", session=7, prefix=OtherHash("a"))), same=(("a", "b"),), wire=True),
    Row("home-slides", "each turn renews the affinity, so that a session in use keeps it beyond its lifetime",
        (serve("a", session=7), *(each for n in range(4) for each in (
            REST_UNDER_TTL, serve(f"b{n}", session=7, prefix=OtherHash("a"))))), same=(("a", "b0", "b1", "b2",
         "b3"),)),
    Row("home-ages", "a session idle for longer than the affinity lifetime is placed by the hash again",
        (serve("a", session=7), REST_OVER_TTL, serve("b", session=7, prefix=OtherHash("a"))),
        differ=(("a", "b"),)),
    Row("home-reaped", "expired affinities are removed without a request",
        (serve("a", session=7), serve("b", session=8), REST_OVER_TTL), entries=0),
    Row("homes-apart", "each session has its own affinity",
        (serve("a", session=7), serve("b", session=8, prefix=OtherHash("a")),
         serve("c", session=7, prefix=OtherHash("a")), serve("d", session=8)), same=(("a", "c"), ("b", "d")),
        differ=(("a", "b"),), wire=True),
    Row("home-left", "a session whose server was removed from the endpoint list is placed by the hash",
        (serve("a", session=7), leaves("@a"), serve("b", session=7)), differ=(("a", "b"),)),
    Row("home-silent", "a server that does not answer loses a session that another server has prefilled",
        (serve("a", session=7), ask("b", session=7), step("rest", ms=2000), cancelled("b"), read("b"),
         ends("b"), serve("c", session=7)), same=(("b", "c"),), differ=(("a", "c"),)),
    Row("hash-beginning", "requests with the same prefix are prefilled at few servers, whatever the session",
        tuple(serve(f"a{n}", session=n, prefix=3, prefix_tokens=900) for n in range(12)),
        few=tuple(f"a{n}" for n in range(12)), wire=True),
    Row("hash-agrees", "all routers place a prefix that is new to them at the same server",
        (serve("a", session=1, prefix=3),), agree=("a",), wire=True),
    Row("hash-session", "a session without a shared prefix is placed by its own hash, alike on all routers",
        (serve("a", session=11),), agree=("a",), wire=True),
    Row("hash-leaver", "removing a server moves only the keys placed there",
        (*MEASURED, *request_per_prefix("a"), leaves("r1"), *request_per_prefix("b")),
        unless=("r1", tuple((f"a{key}", f"b{key}") for key in PREFIX_KEYS))),
    Row("hash-comer", "a new server takes over keys and moves no others",
        (*MEASURED, leaves("r1"), *request_per_prefix("a"), up("r1"), *request_per_prefix("b")),
        unless=("r1", tuple((f"a{key}", f"b{key}") for key in PREFIX_KEYS))),
    Row("hash-ready", "only available servers take part in the hash",
        (drains("r0"), serve("a", session=1, prefix=HashTo("r0"))), reads={"a": READER_NAMES - {"r0"}}),
    Row("no-key", "a request without any key may be prefilled at any server",
        (serve("a"),), reads={"a": READER_NAMES}, sends={"a": 2}),
    Row("mixed-hashed", "the hash includes mixed servers, which decode what they prefilled",
        (ask("a", session=HashTo("m")), ends("a")), ONE_MIXED, reads={"a": {"m"}}, sends={"a": 1}),
    Row("mixed-home", "a session returns to the mixed server that answered it",
        (ask("a", session=HashTo("m")), ends("a"), ask("b", session=HashTo("m"), prefix=OtherHash("a"))),
        ONE_MIXED, same=(("a", "b"),)),
    Row("long-to-readers", "a prompt with many uncached tokens is prefilled at prefill servers only",
        (ask("a", session=HashTo("m"), prompt_tokens=MANY_TOKENS),), ONE_MIXED, reads={"a": {"r"}}),
    Row("long-but-kept", "only the uncached part of a prompt counts as long",
        (ask("a", session=HashTo("m")), ends("a"), *(each for n in range(2, 12) for each in (
            ask(f"a{n}", session=HashTo("m"), prompt_tokens=1000 * n), ends(f"a{n}")))),
        ONE_MIXED, reads={"a11": {"m"}}),
    Row("late-one", "no decode server is chosen during the prefill",
        (ask("a", session=7),), reads={"a": READER_NAMES}, sends={"a": 1}, wire=True),
    Row("late-leaver", "a decode server removed during the prefill is not chosen",
        (ask("a", session=HashTo("r")), leaves("near"), read("a")), TWO_CELLS, writes={"a": {"mate"}}),
    Row("late-comer", "a decode server added during the prefill may be chosen",
        (leaves("near"), ask("a", session=HashTo("r")), up("near"), read("a")), TWO_CELLS,
        writes={"a": {"near"}}),
    Row("near-alike", "among equal decode servers one in the prefill server's cell is chosen, at random",
        (ask("a", session=HashTo("r0")), read("a")), writes={"a": {"w0", "w1"}}, all_of={"a": {"w0", "w1"}}),
    Row("near-slightly", "a slightly lower load does not make a farther decode server preferable",
        beside_stream(prompt_tokens=10, max_output_tokens=10), LOCATIONS,
        writes={"h": {"near"}, "a": {"near"}}),
    Row("far-clearly", "a farther decode server in the same zone is chosen if its load is much lower",
        beside_stream(prompt_tokens=MANY_TOKENS), LOCATIONS, writes={"h": {"near"}, "a": {"mate"}}),
    Row("far-else-any", "a decode server in any zone is chosen if cell and zone have none",
        (leaves("near"), leaves("mate"), ask("a", session=HashTo("r")), read("a")), LOCATIONS,
        writes={"a": {"abroad"}}),
    Row("tokens-bound", "the maximum output of a stream counts as load of its decode server",
        beside_stream(prompt_tokens=10, max_output_tokens=MANY_TOKENS), LOCATIONS, writes={"a": {"mate"}}),
    Row("tokens-hint", "a hint of the output length replaces the maximum output",
        beside_stream(prompt_tokens=10, max_output_tokens=MANY_TOKENS, hint_ms=1), LOCATIONS,
        writes={"a": {"near"}}),
    Row("tokens-ended", "a stream that has ended is no longer load",
        (*beside_stream(prompt_tokens=MANY_TOKENS), ends("a"), ends("h"),
         ask("b", session=HashTo("r")), read("b")), LOCATIONS, writes={"a": {"mate"}, "b": {"near"}}),
)  # fmt: skip
BY_ID = {row.id: row for row in ROWS}
