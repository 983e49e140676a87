"""The events of a soak, grouped by request."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from benchmarks.soak.events import Event
from benchmarks.soak.hosted import host_of
from benchmarks.soak.plan import Plan

CUT_STREAM_WINDOW_S = 0.7  # SIGKILL may cut off a stream whose request arrived within this time of SIGTERM
TOLERANCE_S = 0.15  # delay that a busy machine may add between the events of two processes


@dataclass(slots=True)
class Attempt:
    """One attempt, as seen by the proxy and by the server."""

    server: str
    first_s: float  # arrival of its first byte at the proxy
    sent_s: float
    link: int
    arrived_s: float = inf  # complete request at the server
    end_s: float = inf  # its answer was complete, or one side closed the connection
    told_ms: float = 0.0  # the remaining budget that the router sent to the server
    ending: str = ""  # answered, closed (by the router) or broke (by the server or the path)


@dataclass(slots=True)
class Request:
    """One request, as seen by its client, with its attempts and the events of its servers."""

    id: str
    kind: str = ""
    budget_s: float = 0.0
    begun_s: float = inf  # the client sent its first byte
    posted_s: float = inf  # the client sent its last byte
    fresh: bool = True  # the connection had been opened less than 0.1 s before and carried no other request
    ahead: bool = False  # it was sent before the answer to the previous request
    answer: Event | None = None
    left_s: float = inf  # the client disconnected
    floods: bool = False  # the client sent invalid data after the request
    partial_s: float = inf  # the client sent part of a request and then waited
    partial_end: Event | None = None
    attempts: list[Attempt] = field(default_factory=list)
    server_events: list[Event] = field(default_factory=list)

    @property
    def router(self) -> str:
        """The name of the router that the request was sent to."""
        return self.id.partition("-")[0]

    @property
    def runs(self) -> list[Event]:
        """The events of servers that ran the request."""
        return [event for event in self.server_events if event["event"] == "ran"]


@dataclass(slots=True)
class History:
    """All events of a soak, with its requests and signals."""

    plan: Plan
    start_s: float
    requests: dict[str, Request]
    kills: dict[str, list[float]]  # times of SIGKILL without a grace period, by router
    terminations: dict[str, list[float]]  # times of the signals that start a grace period, by router
    grace_kills: dict[str, list[float]]  # times of SIGKILL at the end of a grace period, by router
    events: list[Event]

    def killed(self, router: str, from_s: float, until_s: float) -> bool:
        """Whether a process of the router was killed in this period."""
        times = self.kills[router] + self.grace_kills[router]
        return any(from_s - TOLERANCE_S <= at_s <= until_s + TOLERANCE_S for at_s in times)

    def excused(self, request: Request, until_s: float) -> bool:
        """Whether a kill of the router or failing reads of its sockets excuse a missing answer."""
        from_s = request.begun_s - TOLERANCE_S
        if any(from_s <= at_s <= until_s + TOLERANCE_S for at_s in self.kills[request.router]):
            return True
        if any(self._grace_kill_excuses(request, at_s) for at_s in self.grace_kills[request.router]):
            return True
        return any(
            each.target == request.router
            and each.detail.get("call") == "recv"
            and self.start_s + each.at_s <= until_s
            and request.begun_s <= self.start_s + each.until_s
            for each in self.plan.troubles
        )

    def _grace_kill_excuses(self, request: Request, killed_s: float) -> bool:
        """Whether a kill at the end of the grace period may have left the request unanswered.

        That holds for a request that the client was still sending at the kill, and for a stream whose request
        was sent at most 0.7 s after SIGTERM.
        """
        answer = request.answer
        if answer is None or not request.begun_s - TOLERANCE_S <= killed_s <= answer["t"] + TOLERANCE_S:
            return False
        terminated_s = max(
            (at_s for at_s in self.terminations[request.router] if at_s < killed_s), default=-inf
        )
        cut_stream = (
            answer["status"] == 200 and request.posted_s <= terminated_s + CUT_STREAM_WINDOW_S + TOLERANCE_S
        )
        return cut_stream or request.posted_s >= killed_s - TOLERANCE_S

    def accept_fails(self, router: str, from_s: float, until_s: float) -> bool:
        """Whether the router could have been unable to accept connections in this period."""
        calls = ("accept", "descriptors")
        return any(
            each.target == router
            and each.detail.get("call") in calls
            and self.start_s + each.at_s <= until_s
            and from_s <= self.start_s + each.until_s
            for each in self.plan.troubles
        )

    def fault_active(self, server: str, kinds: Iterable[str], from_s: float, until_s: float) -> bool:
        """Whether a fault of one of these kinds hit the server, or a whole zone, in this period."""
        zone = {server, host_of(server), "zone"}
        return any(
            each.kind in kinds
            and (each.target in zone or each.detail.get("zone"))
            and self.start_s + each.at_s <= until_s
            and from_s <= self.start_s + each.until_s
            for each in self.plan.troubles
        )


def build_history(plan: Plan, start_s: float, events: list[Event]) -> History:
    """Group the events by request."""
    links = dict[tuple[str, int], int]()  # link numbers by server and by the client port that the server sees
    requests = defaultdict[str, Request](lambda: Request(""))
    kills, terminations = defaultdict[str, list[float]](list), defaultdict[str, list[float]](list)
    grace_kills = defaultdict[str, list[float]](list)
    for event in events:
        kind = event["event"]
        if kind == "killed":
            (grace_kills if event.get("grace") else kills)[event["conductor"]].append(event["t"])
        elif kind == "sigterm":
            terminations[event["conductor"]].append(event["t"])
        elif kind == "linked":
            links[event["server"], event["port"]] = event["link"]
        elif "id" in event:
            request = requests[event["id"]]
            request.id = event["id"]
            if kind == "arrived":
                event["link"] = links.get((event["source"], event["port"]))
            _add_event(request, event)
    return History(plan, start_s, dict(requests), kills, terminations, grace_kills, events)


def _add_event(request: Request, event: Event) -> None:
    match event["event"]:
        case "request":
            request.kind, request.budget_s = event["kind"], event["budget_ms"] / 1000
        case "posted":
            request.posted_s, request.fresh, request.ahead = event["t"], event["fresh"], event["ahead"]
            request.begun_s = event["begun_s"]
        case "answer":
            request.answer = event
        case "left" | "again":  # a client that is back sends the request under its id once more
            request.left_s = event["t"] if event["event"] == "left" else inf
        case "floods":
            request.floods = True
        case "half":
            request.partial_s = event["t"]
        case "half_ended":
            request.partial_end = event
        case "sent":
            request.attempts.append(Attempt(event["server"], event["first_s"], event["t"], event["link"]))
        case "answered" | "closed" | "broke":
            for attempt in request.attempts:
                if attempt.link == event["link"] and not attempt.ending:
                    attempt.end_s, attempt.ending = event["t"], event["event"]
                    break
        case "arrived":  # a server that hung received the request earlier than it recorded
            request.server_events.append(event)
            for attempt in request.attempts:
                if attempt.link == event["link"] and attempt.arrived_s == inf:
                    attempt.arrived_s, attempt.told_ms = event["t"], event["told_ms"]
                    break
        case _:
            request.server_events.append(event)
