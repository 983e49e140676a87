"""The operators' front: whether this process serves, its figures, instances left out by hand.

One call to a connection.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

import h11

from ringledge.memory.operator_overrides import OperatorOverrides
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import read_body, require_method, respond

MAX_CONNECTIONS = 24  # its own: no client can take them
MAX_BODY_MEMORY_BYTES = 64 * 1024  # bytes that all calls' bodies may hold: none needs any
REQUEST_TIMEOUT_S = 1.0  # a call that has not come whole by then is turned away
INSTANCE = re.compile(rb"/instances/([^/]+)/(maint|ready)")
PREFIX = "relay"
ANSWERED = {"served": "answered", "refused": "deferred", "failed": "errored", "broken": "errored"}


class OperatorHandler:
    """Answers the operators' calls."""

    def __init__(
        self,
        classes: tuple[str, ...],
        metrics: Metrics,
        servers: ServerList,
        by_hand: OperatorOverrides,
        can_serve: Callable[[], bool],
    ) -> None:
        self._classes, self._metrics, self._can_serve = classes, metrics, can_serve
        self._servers, self._by_hand = servers, by_hand

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one call."""
        await read_body(conn, head)
        path = head.target.partition(b"?")[0]
        if path == b"/healthcheck":
            require_method(head, b"GET")
            yes = self._can_serve()
            await respond(conn, 200 if yes else 503, b'{"serves":%s}' % str(yes).lower().encode())
        elif path == b"/stats":
            require_method(head, b"GET")
            await respond(conn, 200, stats(self._metrics, self._classes).encode(), content_type=b"text/plain")
        elif told := INSTANCE.fullmatch(path):
            require_method(head, b"POST")
            await self._change(unquote_to_bytes(told[1]).decode("utf-8", "replace"), told[2] == b"maint")
            await respond(conn, 200, b'{"out":%s}' % (b"true" if told[2] == b"maint" else b"false"))
        else:
            raise HttpError(404, "no such call", "not_found")

    async def _change(self, server: str, out: bool) -> None:
        """Leave an instance out or call it back; HttpError for one that nobody has."""
        if server not in self._servers.entries and server not in self._by_hand.excluded:
            raise HttpError(404, "no such instance", "not_found")
        try:
            await self._by_hand.set_excluded(server, out)
        except OSError as error:
            log.error("server_override_failed", server=server, out=out, error=str(error))
            raise HttpError(503, "it could not be written down", "unavailable") from error


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
