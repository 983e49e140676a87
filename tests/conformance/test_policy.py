"""Every row against the decisions, and against decisions that break one claim each."""

from collections.abc import Callable
from typing import Any

import pytest

from ringledge.routing.interface import (
    Request,
)
from ringledge.routing.policy import Policy
from ringledge.routing.prefill import random_weight
from ringledge.routing.state import Job, Server
from tests.conformance.play import play
from tests.conformance.rows import BY_ID, ROWS, Row

bind, choose, arrive = Policy._bind, Policy._choose_decode, Policy._accept


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.id)
def test_the_decisions_keep_what_the_design_wants(row: Row) -> None:
    assert not play(row), row.says


def bound_once(self: Any, job: Job, server: Server) -> None:
    """The age does not begin anew."""
    before = self.affinities.get(job.request.session)
    bind(self, job, server)
    if before is not None:
        self.affinities[job.request.session] = before


def by(key: Callable[[Any, Request], Any]) -> Any:
    """A ranking by another key."""

    def ranking(self: Any, request: Request) -> list[Server]:
        text = f"{key(self, request)}"
        return sorted(self.prefill_servers, key=lambda server: random_weight(text, server))

    return ranking


def by_remainder(self: Any, request: Request) -> list[Server]:
    """In place of the highest random weight."""
    first = (request.prefix or request.session or 0) % len(self.prefill_servers)
    return [*self.prefill_servers[first:], *self.prefill_servers[:first]]


def chosen_ahead(self: Any, request: Request) -> None:
    """The writer is chosen when the request comes, and kept to."""
    arrive(self, request)
    job = self.jobs[request.request]
    self.__dict__.setdefault("chosen", {})[request] = choose(self, job, job.server or self.prefill_servers[0])


def in_cell(self: Any, _: Job, reader: Server) -> Server | None:
    return next((server for server in self.decode_servers if server.entry.cell == reader.entry.cell), None)


def least_pending(self: Any, *_: Any) -> Any:
    return min(self.decode_servers, key=lambda server: server.pending_tokens)


MUTANTS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("home-holds mixed-home", {"_bind": lambda *_: None}),
    ("home-slides", {"_bind": bound_once}),
    ("home-ages home-reaped", {"_expire": lambda self: None}),
    ("hash-beginning", {"_ranking": by(lambda _, request: request.session)}),
    ("hash-agrees", {"_ranking": by(lambda self, request: (self.settings.router, request.prefix))}),
    ("hash-session", {"_ranking": by(lambda self, request: (self.settings.router, request.session))}),
    ("hash-leaver hash-comer", {"_ranking": by_remainder}),
    (
        "late-leaver late-comer",
        {
            "_accept": chosen_ahead,
            "_choose_decode": lambda self, job, _: self.chosen[job.request],
        },
    ),
    ("near-alike", {"_choose_decode": lambda self, *_: self.rng.choice(self.decode_servers)}),
    ("near-slightly", {"_choose_decode": least_pending}),
    ("far-clearly far-else-any", {"_choose_decode": in_cell}),
    ("tokens-bound", {"_decode_tokens": lambda _, job: job.request.prompt_tokens}),
    ("tokens-hint", {"_decode_tokens": lambda _, job: job.request.max_output_tokens / 2}),
)


@pytest.mark.parametrize(("rows", "broken"), MUTANTS, ids=[rows for rows, _ in MUTANTS])
def test_a_broken_claim_is_caught(monkeypatch: pytest.MonkeyPatch, rows: str, broken: dict[str, Any]) -> None:
    for name, function in broken.items():
        monkeypatch.setattr(Policy, name, function)
    assert all(play(BY_ID[row]) for row in rows.split())
