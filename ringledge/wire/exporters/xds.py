"""xDS v3 over REST-JSON: other proxies poll this front for the servers with the router's view of them.

A poll is answered at once if the proxy lacks the current version, otherwise when the version changes, or with
304 after a timeout. Health, warmth and failure probability come from the routing policy; nothing is decided
here.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from itertools import count
from typing import Any, NamedTuple

import anyio
import h11
import orjson

from ringledge.core.conductor import Conductor
from ringledge.memory.names import WireNames
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Availability,
    Role,
)
from ringledge.routing.server_views import server_views
from ringledge.wire.clients.response import write_while_connected
from ringledge.wire.exporters.xds_settings import XdsConfig
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import read_body, require_method, respond

CLUSTER_NAMES = {Role.PREFILL: "readers", Role.DECODE: "writers", Role.MIXED: "mixed"}
TYPE_PREFIX = "type.googleapis.com/envoy.config."
ENDPOINT_TYPE, CLUSTER_TYPE = (
    TYPE_PREFIX + "endpoint.v3.ClusterLoadAssignment",
    TYPE_PREFIX + "cluster.v3.Cluster",
)
TYPES_BY_PATH = {b"/v3/discovery:endpoints": ENDPOINT_TYPE, b"/v3/discovery:clusters": CLUSTER_TYPE}
# Between two checks of a waiting poll for changed weights. A change of the endpoint list wakes it at once.
CHECK_INTERVAL_S = 0.2


class VersionedResources(NamedTuple):
    """The current resources of one type, and their version, which depends on their contents alone."""

    version: str
    resources: list[dict[str, Any]]


class Xds:
    """Serves discovery requests for endpoints and clusters."""

    def __init__(self, config: XdsConfig, names: WireNames, conductor: Conductor, metrics: Metrics) -> None:
        self._config, self._names, self._conductor, self._metrics = config, names, conductor, metrics
        self._nonces = count(1)

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one poll."""
        type_url = TYPES_BY_PATH.get(head.target.partition(b"?")[0])
        if type_url is None:
            raise HttpError(404, "only /v3/discovery:endpoints and /v3/discovery:clusters", "not_found")
        require_method(head, b"POST")
        request = _decode_request(await read_body(conn, head), type_url)
        error_detail = request.get("error_detail")
        if error_detail:
            self._metrics.xds_rejections.inc()
            log.warning(
                "xds_rejected", type=type_url, version=request.get("version_info"), detail=error_detail
            )
        # A poll only reads, so it may always be refused.
        await write_while_connected(
            conn, self._respond(conn, type_url, request, bool(error_detail)), lambda: True
        )

    async def _respond(
        self, conn: Connection, type_url: str, request: dict[str, Any], is_rejected: bool
    ) -> None:
        resource_names = set(request.get("resource_names") or ())
        known_version = request.get("version_info")
        current = self._current_resources(type_url, resource_names)
        if is_rejected:
            # The rejected version, which is the first part of its nonce, is not offered again.
            known_version = str(request.get("response_nonce", "")).partition("-")[0]
        with anyio.move_on_after(self._config.poll_s):
            while current.version == known_version:
                with anyio.move_on_after(CHECK_INTERVAL_S):
                    await self._conductor.context.servers.changed.wait()
                current = self._current_resources(type_url, resource_names)
        if current.version == known_version:
            await conn.send(h11.Response(status_code=304, headers=[]), h11.EndOfMessage())
            return
        response = {
            "version_info": current.version,
            "type_url": type_url,
            "resources": current.resources,
            "nonce": f"{current.version}-{next(self._nonces)}",
        }
        await respond(conn, 200, orjson.dumps(response))

    def _current_resources(self, type_url: str, resource_names: set[str]) -> VersionedResources:
        build = self._assignment if type_url == ENDPOINT_TYPE else self._cluster
        resources = [
            build(role)
            for role, name in CLUSTER_NAMES.items()
            if not resource_names or name in resource_names
        ]
        digest = blake2b(orjson.dumps(resources, option=orjson.OPT_SORT_KEYS), digest_size=8)
        return VersionedResources(digest.hexdigest(), resources)

    def _cluster(self, role: Role) -> dict[str, Any]:
        source = {
            "api_type": "REST",
            "transport_api_version": "V3",
            "cluster_names": [self._config.cluster],
            "refresh_delay": "0.200s",
            "request_timeout": f"{self._config.poll_s + 5:.3f}s",
        }
        return {
            "@type": CLUSTER_TYPE,
            "name": CLUSTER_NAMES[role],
            "type": "EDS",
            "connect_timeout": f"{self._names.connect_timeout_s:.3f}s",
            "eds_cluster_config": {"eds_config": {"resource_api_version": "V3", "api_config_source": source}},
        }

    def _assignment(self, role: Role) -> dict[str, Any]:
        """The servers of a role by zone and cell, weighted by the policy's view of them."""
        endpoints_by_locality: dict[tuple[int, int], list[dict[str, Any]]] = {}
        servers = self._conductor.context.servers
        for view in server_views(self._conductor.policy, self._conductor.clock.now_ms()):
            address = servers.address(view.server)
            if view.role is not role or address is None:
                continue
            host, _, port = address.rpartition(":")
            is_up = view.availability is Availability.UP
            # Rounded to tenths, so that the version does not change with every observation.
            warmth, failure_chance = round(view.warmth, 1), round(view.failure_probability, 1)
            weight = round(100 * view.weight * warmth * (1 - failure_chance))
            server_state = {"server": view.server, "warmth": warmth, "doubt": failure_chance}
            endpoint = {
                "endpoint": {"address": {"socket_address": {"address": host, "port_value": int(port)}}},
                "health_status": "HEALTHY" if is_up else "DRAINING",
                "load_balancing_weight": max(1, weight),
                "metadata": {"filter_metadata": {"ringledge": server_state}},
            }
            endpoints_by_locality.setdefault((view.zone, view.cell), []).append(endpoint)
        localities = [
            {
                "locality": {"zone": _zone_name(self._names.zones, zone), "sub_zone": str(cell)},
                "load_balancing_weight": sum(each["load_balancing_weight"] for each in endpoints),
                "lb_endpoints": endpoints,
            }
            for (zone, cell), endpoints in sorted(endpoints_by_locality.items())
        ]
        return {"@type": ENDPOINT_TYPE, "cluster_name": CLUSTER_NAMES[role], "endpoints": localities}


def error_body(error: HttpError) -> bytes:
    """Format an error as google.rpc.Status in JSON."""
    return orjson.dumps({"code": 3 if error.status == 400 else 5, "message": error.reason})


def _zone_name(names: tuple[str, ...], index: int) -> str:
    return names[index] if index < len(names) else ""


def _decode_request(body: bytes, type_url: str) -> dict[str, Any]:
    """Parse a DiscoveryRequest; raises HttpError if the body is not a valid one."""
    try:
        request = orjson.loads(body or b"{}")
    except orjson.JSONDecodeError as error:
        raise HttpError(400, f"the body is no JSON: {error}") from error
    if not isinstance(request, dict):
        raise HttpError(400, "the body is no DiscoveryRequest")
    # The JSON format of protocol buffers allows lowerCamelCase and snake_case names.
    request = {re.sub("([A-Z])", r"_\1", name).lower(): each for name, each in request.items()}
    if request.get("type_url", type_url) != type_url:
        raise HttpError(400, f"type_url is not {type_url}")
    names = request.get("resource_names") or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise HttpError(400, "resource_names is a list of names")
    return request
