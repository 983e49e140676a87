"""The operators' front: health check, statistics, and operator overrides that exclude servers.

Each connection carries a single call.
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

MAX_CONNECTIONS = 24  # reserved for this front, so that clients cannot use them up
MAX_BODY_MEMORY_BYTES = 64 * 1024  # for the bodies of all calls; no call needs a body
REQUEST_TIMEOUT_S = 1.0  # a call that is incomplete by then is rejected
INSTANCE_PATH = re.compile(rb"/instances/([^/]+)/(maint|ready)")
STATSD_PREFIX = "relay"
STATSD_OUTCOMES = {"served": "answered", "refused": "deferred", "failed": "errored", "broken": "errored"}


class OperatorHandler:
    """Handles the operators' calls."""

    def __init__(
        self,
        classes: tuple[str, ...],
        metrics: Metrics,
        servers: ServerList,
        overrides: OperatorOverrides,
        can_serve: Callable[[], bool],
    ) -> None:
        self._classes, self._metrics, self._can_serve = classes, metrics, can_serve
        self._servers, self._overrides = servers, overrides

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one call."""
        await read_body(conn, head)
        path = head.target.partition(b"?")[0]
        if path == b"/healthcheck":
            require_method(head, b"GET")
            can_serve = self._can_serve()
            await respond(conn, 200 if can_serve else 503, b'{"serves":%s}' % str(can_serve).lower().encode())
        elif path == b"/stats":
            require_method(head, b"GET")
            await respond(
                conn, 200, format_statsd(self._metrics, self._classes).encode(), content_type=b"text/plain"
            )
        elif match := INSTANCE_PATH.fullmatch(path):
            require_method(head, b"POST")
            await self._set_excluded(
                unquote_to_bytes(match[1]).decode("utf-8", "replace"), match[2] == b"maint"
            )
            await respond(conn, 200, b'{"out":%s}' % (b"true" if match[2] == b"maint" else b"false"))
        else:
            raise HttpError(404, "no such call", "not_found")

    async def _set_excluded(self, server: str, out: bool) -> None:
        """Exclude a server if `out` is true, else include it again; HttpError for an unknown one."""
        if server not in self._servers.entries and server not in self._overrides.excluded:
            raise HttpError(404, "no such instance", "not_found")
        try:
            await self._overrides.set_excluded(server, out)
        except OSError as error:
            log.error("server_override_failed", server=server, out=out, error=str(error))
            raise HttpError(503, "it could not be written down", "unavailable") from error


def format_statsd(metrics: Metrics, classes: tuple[str, ...]) -> str:
    """The statistics in the statsd format, read from the Prometheus metrics."""
    answers = metrics.read(metrics.answers)
    counts = {f"{counter}.{name}": 0.0 for counter in STATSD_OUTCOMES.values() for name in classes}
    for (outcome, index), value in answers.items():
        if outcome in STATSD_OUTCOMES and int(index) < len(classes):
            counts[f"{STATSD_OUTCOMES[outcome]}.{classes[int(index)]}"] += value
    counts["sends"] = sum(metrics.read(metrics.sends).values())
    gauges = {
        "current": metrics.open_requests,
        "cluster_size": metrics.servers,
        "cluster_unhealthy": metrics.servers_avoided,
    }
    lines = [f"{STATSD_PREFIX}.{name}:{value:.0f}|c" for name, value in counts.items()]
    lines += [
        f"{STATSD_PREFIX}.{name}:{sum(metrics.read(each).values()):.0f}|g" for name, each in gauges.items()
    ]
    return "\n".join(lines) + "\n"
