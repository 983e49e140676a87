"""Runs every conformance row against the routing policy, and against mutants that violate a requirement."""

from collections.abc import Callable
from typing import Any

import pytest

from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.decode import DecodeSelector
from ringledge.routing.endpoint_registry import EndpointRegistry
from ringledge.routing.estimates import Estimates
from ringledge.routing.interface import (
    Request,
)
from ringledge.routing.prefill import PrefillSelector
from ringledge.routing.rendezvous import random_weight
from ringledge.routing.request_lifecycle import RequestLifecycle
from ringledge.routing.state import RequestState, Server
from tests.conformance.play import failed_over_seeds
from tests.conformance.rows import BY_ID, ROWS, Row

bind, choose, arrive = SessionAffinities.bind, DecodeSelector.select, RequestLifecycle.accept


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.id)
def test_policy_meets_conformance_row(row: Row) -> None:
    assert not failed_over_seeds(row), row.description


def bound_without_renewal(self: Any, request: Request, server: Server, now_ms: float) -> None:
    """Binds a session without renewing its affinity."""
    before = self.get(request.session)
    bind(self, request, server, now_ms)
    if before is not None:
        self.by_session[request.session] = before


def ranked_by(key: Callable[[Any, Request], Any]) -> Any:
    """Returns a ranking by the hash of another key."""

    def ranking(self: Any, request: Request) -> list[Server]:
        text = f"{key(self, request)}"
        return sorted(self.fleet.prefill_servers, key=lambda server: random_weight(text, server))

    return ranking


def ranked_by_remainder(self: Any, request: Request) -> list[Server]:
    """Ranks servers by the remainder of the key instead of the highest random weight."""
    first = (request.prefix or request.session or 0) % len(self.fleet.prefill_servers)
    return [*self.fleet.prefill_servers[first:], *self.fleet.prefill_servers[:first]]


def decode_selected_on_arrival(self: Any, request: Request) -> None:
    """Chooses the decode server when the request arrives."""
    arrive(self, request)
    state, selector = self.requests[request.request], self.decode_selector
    chosen = choose(selector, state, state.server or self.fleet.prefill_servers[0])
    selector.__dict__.setdefault("chosen", {})[request] = chosen


def first_in_cell(self: Any, _: RequestState, reader: Server) -> Server | None:
    return next(
        (server for server in self.fleet.decode_servers if server.entry.cell == reader.entry.cell), None
    )


def least_pending(self: Any, *_: Any) -> Any:
    return min(self.fleet.decode_servers, key=lambda server: server.pending_tokens)


MUTANTS: tuple[tuple[str, dict[tuple[type, str], Any]], ...] = (
    ("home-holds mixed-home", {(SessionAffinities, "bind"): lambda *_: None}),
    ("home-slides", {(SessionAffinities, "bind"): bound_without_renewal}),
    ("home-ages home-reaped", {(EndpointRegistry, "expire"): lambda self: []}),
    ("hash-beginning", {(PrefillSelector, "ranking"): ranked_by(lambda _, request: request.session)}),
    (
        "hash-agrees",
        {
            (PrefillSelector, "ranking"): ranked_by(
                lambda self, request: (self.settings.router, request.prefix)
            )
        },
    ),
    (
        "hash-session",
        {
            (PrefillSelector, "ranking"): ranked_by(
                lambda self, request: (self.settings.router, request.session)
            )
        },
    ),
    ("hash-leaver hash-comer", {(PrefillSelector, "ranking"): ranked_by_remainder}),
    (
        "late-leaver late-comer",
        {
            (RequestLifecycle, "accept"): decode_selected_on_arrival,
            (DecodeSelector, "select"): lambda self, state, _: self.chosen[state.request],
        },
    ),
    ("near-alike", {(DecodeSelector, "select"): lambda self, *_: self.rng.choice(self.fleet.decode_servers)}),
    ("near-slightly", {(DecodeSelector, "select"): least_pending}),
    ("far-clearly far-else-any", {(DecodeSelector, "select"): first_in_cell}),
    ("tokens-bound", {(Estimates, "decode_tokens"): lambda _, state: state.request.prompt_tokens}),
    ("tokens-hint", {(Estimates, "decode_tokens"): lambda _, state: state.request.max_output_tokens / 2}),
)


@pytest.mark.parametrize(("rows", "patches"), MUTANTS, ids=[rows for rows, _ in MUTANTS])
def test_mutant_fails_its_conformance_rows(
    monkeypatch: pytest.MonkeyPatch, rows: str, patches: dict[tuple[type, str], Any]
) -> None:
    for (component, name), function in patches.items():
        monkeypatch.setattr(component, name, function)
    assert all(failed_over_seeds(BY_ID[row]) for row in rows.split())
