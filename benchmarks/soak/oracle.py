"""The oracle of a soak: finds broken rules in the events of a run. Pure, so that tests can call it."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise
from math import inf

from benchmarks.soak.drain_rules import violations_of_drains
from benchmarks.soak.events import Event
from benchmarks.soak.history import TOLERANCE_S, Attempt, History, Request
from benchmarks.soak.plan import zone
from benchmarks.soak.process_rules import Violation, violations_of_processes

# Limits from the protocol.
ANSWER_SLACK_S = 0.5  # an answer after its deadline has no worth; after this delay it breaks a rule
OPEN_STREAM_S = 5.0  # from the last event of a stream until its client's connection is ended
MAX_HOLD_S = 0.85  # time without an attempt in flight until a KV cache entry is fetched or released
DISCONNECT_DELAY_S = 0.1  # until a router has noticed that the client left
BUDGET_TOLERANCE_MS = 150.0  # by which the budget sent to a server may exceed the client's
PARTIAL_TIMEOUT_S = 3.0  # until a router ends a connection with an incomplete request
DEDUP_WINDOW_S = 0.8  # of the classes order and ticket
SILENT_PATH_KINDS = ("path_silent", "path_stalls", "path_forgets")  # sent bytes do not arrive
OVERLAP_S = 0.02  # by which two attempts may appear to overlap

# Rules that compare the times of two processes; a process that got no processor may appear to break them.
TIMED_RULES = frozenset(
    "late second_copy sent_after_left told_too_much held half drain not_ready not_moved found_itself "
    "left_open".split()
)
MAX_STALL_S = 0.15  # up to this stall of a process, the timed rules count as well


def judge(history: History) -> list[Violation]:
    """All broken rules of a run."""
    found = [
        violation for request in history.requests.values() for violation in _in_request(history, request)
    ]
    return found + list(violations_of_drains(history)) + list(violations_of_processes(history))


def _in_request(history: History, request: Request) -> Iterator[Violation]:
    for check in CHECKS:
        for rule, note in check(history, request):
            yield Violation(rule, request.id, note)


Findings = Iterator[tuple[str, str]]


def _bad_answer(history: History, request: Request) -> Findings:
    """Each request gets a final answer in time."""
    answer, posted_s = request.answer, request.posted_s
    if posted_s == inf or request.left_s < inf or request.partial_s < inf or answer is None:
        return
    if history.excused(request, answer["t"]):
        return
    if not answer["status"]:
        sent = bool(request.attempts)
        accept_fails = history.plan.crowd or history.accept_fails(
            request.router, request.begun_s, answer["t"]
        )
        backlogged = accept_fails and not sent
        if not request.floods and not backlogged and (request.fresh or sent):
            yield (
                "lost",
                f"{answer['error']} after {answer['t'] - posted_s:.3f} s, fresh {request.fresh}, sent {sent}",
            )
        return
    final_s = answer["first_s"] if answer["status"] == 200 and answer["first_s"] else answer["t"]
    late_s = final_s - posted_s - request.budget_s
    if request.floods or request.ahead or history.accept_fails(request.router, request.begun_s, final_s):
        return
    if history.plan.crowd and not request.attempts:
        return  # it may have waited in the backlog of the listener
    if late_s > ANSWER_SLACK_S + TOLERANCE_S:
        yield "late", f"{late_s:.3f} s after its deadline, status {answer['status']}"


def _cut_stream(history: History, request: Request) -> Findings:
    """A stream is passed on to its end, unless its server or the path to it has failed."""
    answer = request.answer
    if answer is None or answer["status"] != 200 or answer["whole"] or request.left_s < inf or request.floods:
        return
    if any(event["event"] in ("truncated", "malformed") for event in request.server_events):
        return
    if history.excused(request, answer["t"]) or not request.attempts:
        return
    last = request.attempts[-1]
    silent = (*SILENT_PATH_KINDS, "server_hang", "server_kill", "path_reset", "path_breaks")
    if last.ending == "broke" or history.fault_active(last.server, silent, last.sent_s - 1.0, answer["t"]):
        return
    yield "cut", f"{answer['error']}, its server's side was {last.ending or 'open'}"


def _left_open(history: History, request: Request) -> Findings:
    """The client's stream is ended in time behind what its server sends in place of events.

    An earlier attempt whose stream was malformed before its first event has left the client without one.
    """
    answer = request.answer
    if answer is None or answer["status"] != 200 or history.excused(request, answer["t"]):
        return
    started_s = request.attempts[-1].first_s if request.attempts else inf
    malformed = (event["t"] for event in request.server_events if event["event"] == "malformed")
    malformed_s = min((at_s for at_s in malformed if at_s >= started_s), default=inf)
    if answer["t"] > malformed_s + OPEN_STREAM_S + TOLERANCE_S and not _has_complete_stream(request):
        yield "left_open", f"{answer['t'] - malformed_s:.3f} s behind the end of its events"


def _has_complete_stream(request: Request) -> bool:
    """Whether a server has finished a stream of the request, in a further attempt."""
    return any(event["event"] == "done" for event in request.server_events)


def _truncated(history: History, request: Request) -> Findings:
    """Only a stream that its server has finished is ended as whole."""
    answer = request.answer
    if answer is None or answer["status"] != 200 or not answer["whole"]:
        return
    if not _has_complete_stream(request):
        yield "truncated", "ended with the last chunk, and no server had finished its stream"


def _wrong_runs(history: History, request: Request) -> Findings:
    """A request runs twice only where its class allows that, and a rejected one has not run."""
    runs = request.runs
    if request.kind == "booking" and len(runs) > 1:
        yield "duplicate", f"ran at {[event['source'] for event in runs]}"
    if request.kind in ("order", "ticket") and len(runs) > 1:
        sent = [attempt for attempt in request.attempts if attempt.server in {e["source"] for e in runs}]
        if sent and sent[-1].first_s > sent[0].first_s + DEDUP_WINDOW_S + TOLERANCE_S:
            yield "duplicate", "repeated after its deduplication window"
        if request.kind == "ticket" and len({zone(event["source"]) for event in runs}) > 1:
            yield "duplicate", "repeated in another zone"
    status = request.answer["status"] if request.answer else 0
    if status in (429, 503) and runs and request.kind in ("booking", "ticket"):
        yield "refused_after_run", f"{status}, ran at {[event['source'] for event in runs]}"


def _overlaps(history: History, request: Request) -> Findings:
    """A request never has two attempts in flight at a time."""
    in_flight = sorted((a.arrived_s, a.end_s) for a in request.attempts if a.arrived_s < a.end_s)
    for (_, end_s), (next_s, _) in pairwise(in_flight):
        if next_s < end_s - OVERLAP_S:
            yield "second_copy", f"{end_s - next_s:.3f} s of overlap"


def _late_sends(history: History, request: Request) -> Findings:
    """No attempt starts for a client that has left."""
    for attempt in request.attempts:
        if attempt.first_s > request.left_s + DISCONNECT_DELAY_S + TOLERANCE_S:
            yield "sent_after_left", f"{attempt.first_s - request.left_s:.3f} s later, at {attempt.server}"


def _over_budget(history: History, request: Request) -> Findings:
    """The budget sent to a server does not exceed the client's remaining time."""
    for attempt in request.attempts:
        left_ms = (request.posted_s + request.budget_s - attempt.first_s) * 1000
        if attempt.told_ms > left_ms + BUDGET_TOLERANCE_MS + TOLERANCE_S * 1000:
            yield "told_too_much", f"{attempt.told_ms} ms of {left_ms:.0f}"


def _held(history: History, request: Request) -> Findings:
    """A KV cache entry is fetched or released in time; time with an attempt in flight does not count."""
    for prefill in (event for event in request.server_events if event["event"] == "prefilled"):
        freed_at = [e["t"] for e in request.server_events if _frees_entry(request, e)]
        # The server may notice a closed connection only after a release that the router sent later.
        since_s = prefill["t"] - (TOLERANCE_S if prefill.get("unseen") else 0.0)
        end_s = min((at_s for at_s in freed_at if at_s > since_s), default=inf)
        end_s = min(end_s, history.events[-1]["t"])
        if history.killed(request.router, prefill["t"], end_s):
            continue
        arrivals = [(_reached_server_s(history, a), a) for a in request.attempts]
        in_flight = sorted((at_s, min(a.end_s, end_s)) for at_s, a in arrivals if at_s < a.end_s)
        free_s, longest_s = prefill["t"], 0.0
        for from_s, until_s in [*in_flight, (end_s, end_s)]:
            longest_s = max(longest_s, min(from_s, end_s) - free_s)
            free_s = max(free_s, until_s)
        if longest_s > MAX_HOLD_S + TOLERANCE_S:
            yield ("held", f"{longest_s:.3f} s at {prefill['source']}, unseen {prefill.get('unseen', False)}")


def _frees_entry(request: Request, event: Event) -> bool:
    """Whether the event frees the entry: a release is void while a decode that has arrived waits for it."""
    if event["event"] == "released":
        return not any(
            a.server[0] != "p" and a.arrived_s <= event["t"] < a.end_s - OVERLAP_S for a in request.attempts
        )
    return event["event"] in ("first", "state_gone")


def _reached_server_s(history: History, attempt: Attempt) -> float:
    """When the attempt reached the server; data for a hung process is received by its kernel."""
    hung = history.fault_active(attempt.server, ("server_hang",), attempt.sent_s, attempt.sent_s)
    silent = history.fault_active(attempt.server, SILENT_PATH_KINDS, attempt.sent_s, attempt.sent_s)
    return attempt.sent_s if hung and not silent else attempt.arrived_s


def _partial(history: History, request: Request) -> Findings:
    """A client that sends an incomplete request gets an error or a close in time."""
    if request.partial_end is None or history.killed(
        request.router, request.partial_s, request.partial_end["t"]
    ):
        return
    if history.accept_fails(request.router, request.partial_s, request.partial_end["t"]):
        return
    took_s = request.partial_end["t"] - request.partial_s
    if request.partial_end["error"] == "open" or took_s > PARTIAL_TIMEOUT_S + TOLERANCE_S:
        yield "half", f"{request.partial_end['error']} after {took_s:.3f} s"


CHECKS = (
    _bad_answer,
    _cut_stream,
    _left_open,
    _truncated,
    _wrong_runs,
    _overlaps,
    _late_sends,
    _over_budget,
    _held,
    _partial,
)
