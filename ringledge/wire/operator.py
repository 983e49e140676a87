"""The operators' front: whether this process can serve, and its figures. One call to a connection."""

from __future__ import annotations

from collections.abc import Callable

import h11

from ringledge.memory.metrics import Metrics
from ringledge.wire.http import Connection, HttpError, only, read_body, respond

CONNECTIONS = 24  # its own: no client can take them
MEMORY = 64 * 1024  # bytes that all calls' bodies may hold: none needs any
CALL_S = 1.0  # a call that has not come whole by then is turned away
PREFIX = "relay"
ANSWERED = {"served": "answered", "refused": "deferred", "failed": "errored", "broken": "errored"}


class Operator:
    """Answers the operators' calls."""

    def __init__(self, classes: tuple[str, ...], metrics: Metrics, can_serve: Callable[[], bool]) -> None:
        self._classes, self._metrics, self._can_serve = classes, metrics, can_serve

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one call."""
        await read_body(conn, head)
        path = head.target.partition(b"?")[0]
        if path == b"/healthcheck":
            only(head, b"GET")
            yes = self._can_serve()
            await respond(conn, 200 if yes else 503, b'{"serves":%s}' % str(yes).lower().encode())
        elif path == b"/stats":
            only(head, b"GET")
            await respond(conn, 200, stats(self._metrics, self._classes).encode(), kind=b"text/plain")
        else:
            raise HttpError(404, "no such call", "not_found")


def stats(metrics: Metrics, classes: tuple[str, ...]) -> str:
    """The figures in statsd's form, from where Prometheus has them too."""
    answers = metrics.read(metrics.answers)
    counts = {f"{what}.{name}": 0.0 for what in ANSWERED.values() for name in classes}
    for (how, index), value in answers.items():
        if how in ANSWERED and int(index) < len(classes):
            counts[f"{ANSWERED[how]}.{classes[int(index)]}"] += value
    counts["sends"] = sum(metrics.read(metrics.sends).values())
    gauges = {
        "current": metrics.open_requests,
        "cluster_size": metrics.servers,
        "cluster_unhealthy": metrics.avoided,
    }
    lines = [f"{PREFIX}.{name}:{value:.0f}|c" for name, value in counts.items()]
    lines += [f"{PREFIX}.{name}:{sum(metrics.read(each).values()):.0f}|g" for name, each in gauges.items()]
    return "\n".join(lines) + "\n"
