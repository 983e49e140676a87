"""Every row against the decisions, and against decisions that break one claim each."""

from collections.abc import Callable
from typing import Any

import pytest

from crowstand import interface as i
from crowstand.evidence import Job, Server
from crowstand.policy import Policy
from crowstand.readers import draw
from tests.conformance.play import play
from tests.conformance.rows import BY_ID, ROWS, Row

bind, choose, arrive = Policy._bind, Policy._writer, Policy._arrive


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.id)
def test_the_decisions_keep_what_the_design_wants(row: Row) -> None:
    assert not play(row), row.says


def bound_once(self: Any, job: Job, server: Server) -> None:
    """The age does not begin anew."""
    before = self.homes.get(job.request.session)
    bind(self, job, server)
    if before is not None:
        self.homes[job.request.session] = before


def by(key: Callable[[Any, i.Request], Any]) -> Any:
    """A ranking by another key."""
    return lambda self, request: sorted(self.readers, key=lambda s: draw(f"{key(self, request)}", s))


def by_remainder(self: Any, request: i.Request) -> list[Server]:
    """In place of the highest random weight."""
    first = (request.prefix or request.session or 0) % len(self.readers)
    return [*self.readers[first:], *self.readers[:first]]


def chosen_ahead(self: Any, request: i.Request) -> None:
    """The writer is chosen when the request comes, and kept to."""
    arrive(self, request)
    job = self.jobs[request.request]
    self.__dict__.setdefault("chosen", {})[request] = choose(self, job, job.at or self.readers[0])


def in_cell(self: Any, _: Job, reader: Server) -> Server | None:
    return next((server for server in self.writers if server.entry.cell == reader.entry.cell), None)


MUTANTS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("home-holds mixed-home", {"_bind": lambda *_: None}),
    ("home-slides", {"_bind": bound_once}),
    ("home-ages home-reaped", {"_reap": lambda self: None}),
    ("hash-beginning", {"_ranking": by(lambda _, request: request.session)}),
    ("hash-agrees", {"_ranking": by(lambda self, request: (self.settings.router, request.prefix))}),
    ("hash-session", {"_ranking": by(lambda self, request: (self.settings.router, request.session))}),
    ("hash-leaver hash-comer", {"_ranking": by_remainder}),
    ("late-leaver late-comer", {"_arrive": chosen_ahead, "_writer": lambda s, j, _: s.chosen[j.request]}),
    ("near-alike", {"_writer": lambda self, *_: self.rng.choice(self.writers)}),
    ("near-slightly", {"_writer": lambda self, *_: min(self.writers, key=lambda server: server.tokens)}),
    ("far-clearly far-else-any", {"_writer": in_cell}),
    ("tokens-bound", {"_tokens": lambda _, job: job.request.prompt_tokens}),
    ("tokens-hint", {"_tokens": lambda _, job: job.request.max_output_tokens / 2}),
)


@pytest.mark.parametrize(("rows", "broken"), MUTANTS, ids=[rows for rows, _ in MUTANTS])
def test_a_broken_claim_is_caught(monkeypatch: pytest.MonkeyPatch, rows: str, broken: dict[str, Any]) -> None:
    for name, function in broken.items():
        monkeypatch.setattr(Policy, name, function)
    assert all(play(BY_ID[row]) for row in rows.split())
