"""xDS v3 over REST-JSON: other proxies poll here for the servers as the decisions see them now.

A poll answers at once when the asker lacks the present version, else when it changes, else with 304 after
a while. Nothing is decided here: health, warmth and doubt are the decision module's.
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

CLUSTERS = {Role.PREFILL: "readers", Role.DECODE: "writers", Role.MIXED: "mixed"}
TYPE = "type.googleapis.com/envoy.config."
ENDPOINTS, CLUSTER = TYPE + "endpoint.v3.ClusterLoadAssignment", TYPE + "cluster.v3.Cluster"
PATHS = {b"/v3/discovery:endpoints": ENDPOINTS, b"/v3/discovery:clusters": CLUSTER}
LOOK_S = 0.2  # how often a waiting poll looks for a change of weights; a change of the list wakes it at once


class Version(NamedTuple):
    """The resources of one type as they are now, and a version that follows from them alone."""

    name: str
    resources: list[dict[str, Any]]


class Xds:
    """Answers discovery requests."""

    def __init__(self, config: XdsConfig, names: WireNames, conductor: Conductor, metrics: Metrics) -> None:
        self._config, self._names, self._conductor, self._metrics = config, names, conductor, metrics
        self._nonces = count(1)

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one poll."""
        kind = PATHS.get(head.target.partition(b"?")[0])
        if kind is None:
            raise HttpError(404, "only /v3/discovery:endpoints and /v3/discovery:clusters", "not_found")
        require_method(head, b"POST")
        asked = _discovery_request(await read_body(conn, head), kind)
        rejected = asked.get("error_detail")
        if rejected:
            self._metrics.xds_rejections.inc()
            log.warning("xds_rejected", type=kind, version=asked.get("version_info"), detail=rejected)
        await write_while_connected(
            conn, self._answer(conn, kind, asked, bool(rejected)), lambda: True
        )  # it only reads

    async def _answer(self, conn: Connection, kind: str, asked: dict[str, Any], rejected: bool) -> None:
        wanted = set(asked.get("resource_names") or ())
        has = asked.get("version_info")
        now = self._version(kind, wanted)
        if rejected:
            # The version that was refused is not offered again: the nonce that came with it names it.
            has = str(asked.get("response_nonce", "")).partition("-")[0]
        with anyio.move_on_after(self._config.poll_s):
            while now.name == has:
                with anyio.move_on_after(LOOK_S):
                    await self._conductor.context.servers.changed.wait()
                now = self._version(kind, wanted)
        if now.name == has:
            await conn.send(h11.Response(status_code=304, headers=[]), h11.EndOfMessage())
            return
        told = {
            "version_info": now.name,
            "type_url": kind,
            "resources": now.resources,
            "nonce": f"{now.name}-{next(self._nonces)}",
        }
        await respond(conn, 200, orjson.dumps(told))

    def _version(self, kind: str, wanted: set[str]) -> Version:
        make = self._assignment if kind == ENDPOINTS else self._cluster
        resources = [make(role) for role, name in CLUSTERS.items() if not wanted or name in wanted]
        digest = blake2b(orjson.dumps(resources, option=orjson.OPT_SORT_KEYS), digest_size=8)
        return Version(digest.hexdigest(), resources)

    def _cluster(self, role: Role) -> dict[str, Any]:
        source = {
            "api_type": "REST",
            "transport_api_version": "V3",
            "cluster_names": [self._config.cluster],
            "refresh_delay": "0.200s",
            "request_timeout": f"{self._config.poll_s + 5:.3f}s",
        }
        return {
            "@type": CLUSTER,
            "name": CLUSTERS[role],
            "type": "EDS",
            "connect_timeout": f"{self._names.connect_timeout_s:.3f}s",
            "eds_cluster_config": {"eds_config": {"resource_api_version": "V3", "api_config_source": source}},
        }

    def _assignment(self, role: Role) -> dict[str, Any]:
        """The servers of a role by hall and rack, with the module's weights."""
        places: dict[tuple[int, int], list[dict[str, Any]]] = {}
        servers = self._conductor.context.servers
        for view in server_views(self._conductor.policy, self._conductor.clock.now_ms()):
            address = servers.address(view.server)
            if view.role is not role or address is None:
                continue
            host, _, port = address.rpartition(":")
            up = view.availability is Availability.UP
            # Steps of a tenth keep the version from changing with every breath of the evidence.
            warmth, doubt = round(view.warmth, 1), round(view.failure_probability, 1)
            weight = round(100 * view.weight * warmth * (1 - doubt))
            state = {"server": view.server, "warmth": warmth, "doubt": doubt}
            endpoint = {
                "endpoint": {"address": {"socket_address": {"address": host, "port_value": int(port)}}},
                "health_status": "HEALTHY" if up else "DRAINING",
                "load_balancing_weight": max(1, weight),
                "metadata": {"filter_metadata": {"ringledge": state}},
            }
            places.setdefault((view.zone, view.cell), []).append(endpoint)
        localities = [
            {
                "locality": {"zone": _name(self._names.zones, zone), "sub_zone": str(cell)},
                "load_balancing_weight": sum(each["load_balancing_weight"] for each in endpoints),
                "lb_endpoints": endpoints,
            }
            for (zone, cell), endpoints in sorted(places.items())
        ]
        return {"@type": ENDPOINTS, "cluster_name": CLUSTERS[role], "endpoints": localities}


def error_body(error: HttpError) -> bytes:
    """An error as google.rpc.Status in JSON."""
    return orjson.dumps({"code": 3 if error.status == 400 else 5, "message": error.reason})


def _name(names: tuple[str, ...], index: int) -> str:
    return names[index] if index < len(names) else ""


def _discovery_request(body: bytes, kind: str) -> dict[str, Any]:
    """A DiscoveryRequest; HttpError where it isn't one."""
    try:
        told = orjson.loads(body or b"{}")
    except orjson.JSONDecodeError as error:
        raise HttpError(400, f"the body is no JSON: {error}") from error
    if not isinstance(told, dict):
        raise HttpError(400, "the body is no DiscoveryRequest")
    # JSON of protocol buffers spells names either way.
    told = {re.sub("([A-Z])", r"_\1", name).lower(): each for name, each in told.items()}
    if told.get("type_url", kind) != kind:
        raise HttpError(400, f"type_url is not {kind}")
    names = told.get("resource_names") or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise HttpError(400, "resource_names is a list of names")
    return told
